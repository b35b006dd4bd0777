//! Injects cuts between boxes, halls, endpoints and the store.

use {
  super::{disturbance::Target, fleet::Fleet, hall::Hall},
  stand_ins::{Cut, Link, LinkFault},
  std::time::Duration,
  tokio::time::sleep,
};

/// Cuts a box off from all endpoints for a while.
pub(crate) async fn cut_from_endpoints(fleet: &Fleet, index: usize, cut: Cut, for_ms: u64) {
  let links = fleet.places.iter().map(|place| &place.links[index]);
  cut_links(
    fleet,
    vec![Target::EndpointPaths(index)],
    links,
    cut,
    for_ms,
  )
  .await;
}

/// Cuts a box from all other boxes for a while.
pub(crate) async fn cut_from_boxes(fleet: &Fleet, index: usize, cut: Cut, for_ms: u64) {
  let links = fleet.links_between_boxes(|from, to| from == index || to == index);
  cut_links(fleet, vec![Target::BoxPaths(index)], links, cut, for_ms).await;
}

/// Cuts a hall from the others for a while.
pub(crate) async fn cut_halls(fleet: &Fleet, hall: Hall, cut: Cut, for_ms: u64) {
  let profile = &fleet.profile;
  let is_box_in = |index: usize| profile.hall_of_box(index) == hall;
  let mut targets = Vec::new();
  let mut links: Vec<&Link> = fleet
    .links_between_boxes(|from, to| is_box_in(from) != is_box_in(to))
    .collect();
  for index in 0..fleet.boxes.len() {
    targets.push(Target::BoxPaths(index));
    for (number, place) in fleet.places.iter().enumerate() {
      if (profile.hall_of_place(number) == hall) != is_box_in(index) {
        targets.push(Target::EndpointPath(index, number));
        links.push(&place.links[index]);
      }
    }
  }
  let of_hall = fleet.boxes.iter().filter(|target| is_box_in(target.index));
  let store_links: Vec<&Link> = of_hall.clone().map(|target| &target.store_link).collect();
  targets.extend(of_hall.map(|target| Target::StoreLink(target.index)));
  for link in &store_links {
    if cut.resets_open() {
      link.begin_fault(LinkFault::Reset);
    }
    link.begin_fault(LinkFault::Blocked);
  }
  cut_links(fleet, targets, links, cut, for_ms).await;
  for link in store_links {
    link.clear_fault();
  }
}

async fn cut_links<'a>(
  fleet: &Fleet,
  targets: Vec<Target>,
  links: impl IntoIterator<Item = &'a Link>,
  cut: Cut,
  for_ms: u64,
) {
  let links: Vec<&Link> = links.into_iter().collect();
  let _disturbed: Vec<_> = targets
    .into_iter()
    .map(|target| fleet.recorder.begin_disturbance(target))
    .collect();
  for link in &links {
    link.begin_cut(cut);
  }
  sleep(Duration::from_millis(for_ms)).await;
  for link in &links {
    link.end_cut(cut);
  }
}

/// Cuts the boxes of a hall off from the store and from other halls' endpoints for a while.
pub(crate) async fn cut_off_hall(fleet: &Fleet, hall: Hall, fault: LinkFault, for_ms: u64) {
  let of_hall = |index: &usize| fleet.profile.hall_of_box(*index) == hall;
  let boxes: Vec<usize> = (0..fleet.boxes.len()).filter(of_hall).collect();
  let links: Vec<&Link> = boxes
    .iter()
    .flat_map(|index| fleet.links_out_of_hall(*index))
    .collect();
  let _disturbed: Vec<_> = boxes
    .iter()
    .flat_map(|index| [Target::StoreLink(*index), Target::EndpointPaths(*index)])
    .map(|target| fleet.recorder.begin_disturbance(target))
    .collect();
  for link in &links {
    link.begin_fault(fault);
  }
  sleep(Duration::from_millis(for_ms)).await;
  for link in &links {
    link.clear_fault();
  }
}
