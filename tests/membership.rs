//! Which boxes count as live, in small and large halls.

use rillford::{
  decide::{BoxEntry, FULL_MESH_BOXES, Heartbeat, Membership},
  ids::Name,
};

const TIMEOUT_MS: u64 = 1_000;

fn entries(count: usize) -> Vec<BoxEntry> {
  (0..count)
    .map(|index| BoxEntry {
      hall: "hall".into(),
      leaving: false,
      name: format!("box-{index}").into(),
      peer_address: "".into(),
    })
    .collect()
}

fn heartbeat() -> Heartbeat {
  Heartbeat {
    configuration_digest: 0,
    incarnation: 1,
    latest_revision: 0,
    leaving: false,
    leaving_endpoints: Vec::new(),
    loads: Vec::new(),
  }
}

fn membership(own: &Name, boxes: &[BoxEntry]) -> Membership {
  let mut members = Membership::new(own.clone(), "hall".into());
  members.apply_box_list(0, boxes);
  members
}

/// One round in which every box but the silent ones sends heartbeats to its neighbours; returns how many peers each box
/// finds lost.
fn lost_after_a_round(boxes: &[BoxEntry], silent: &[usize]) -> Vec<usize> {
  let names = boxes
    .iter()
    .map(|entry| entry.name.clone())
    .collect::<Vec<_>>();
  let mut members = names
    .iter()
    .map(|name| membership(name, boxes))
    .collect::<Vec<_>>();
  for (index, name) in names.iter().enumerate() {
    if silent.contains(&index) {
      continue;
    }
    for neighbour in members[index].hall_neighbours() {
      let to = names.iter().position(|known| *known == neighbour).unwrap();
      members[to].record_heartbeat(TIMEOUT_MS, name, &heartbeat());
    }
  }
  members
    .iter_mut()
    .map(|members| members.expire(TIMEOUT_MS + 1, TIMEOUT_MS).len())
    .collect()
}

#[test]
fn small_hall_detects_a_silent_box_everywhere() {
  let lost = lost_after_a_round(&entries(FULL_MESH_BOXES), &[3]);
  let expected = (0..FULL_MESH_BOXES).map(|index| if index == 3 { 0 } else { 1 });
  assert_eq!(lost, expected.collect::<Vec<_>>());
}

#[test]
fn large_hall_loses_no_live_box_and_detects_a_silent_one_among_its_neighbours() {
  let boxes = entries(43);
  assert!(
    lost_after_a_round(&boxes, &[])
      .iter()
      .all(|lost| *lost == 0)
  );
  let lost = lost_after_a_round(&boxes, &[3]);
  assert_eq!(lost.iter().sum::<usize>(), FULL_MESH_BOXES - 1);
}
