//! Boxes and engines of the prefill simulation, scaled from a deployment of 87 boxes.

use {
  super::engine::SPEEDS,
  crate::places::PlaceFleet,
  rillford::{
    decide::Role,
    gateway::{
      BoxList, EndpointEntry, EndpointIncarnation, PrefillGroup, SoftwareVersion, prefill_shard,
      prefill_shard_count,
    },
  },
  std::collections::HashMap,
};

pub(super) const HALLS: usize = 3;
const SERVICE: &str = "chat";
const BASE_BOXES: f64 = 87.0;
const BASE_ENGINES: f64 = 23.0;
const BASE_REQUESTS_PER_S: f64 = 79.0;
/// Port of engine 0. An engine's port is this plus its number, so that an address identifies its engine.
const FIRST_PORT: usize = 1_000;

/// The engines of a group, and its coordinator by box number: with all boxes, and without the one that fails.
pub(super) struct Group {
  pub(super) hall: usize,
  pub(super) engines: Vec<EndpointIncarnation>,
  pub(super) coordinator: usize,
  pub(super) next_coordinator: usize,
}

pub(super) struct Fleet {
  pub(super) boxes: usize,
  pub(super) requests_per_s: f64,
  pub(super) engines: Vec<EndpointEntry>,
  pub(super) numbers: HashMap<EndpointIncarnation, usize>,
  pub(super) groups: Vec<Group>,
  /// The box that fails: a coordinator of the first hall.
  pub(super) failing: usize,
}

impl Fleet {
  pub(super) fn new(boxes: usize) -> Self {
    let scale = boxes as f64 / BASE_BOXES;
    let count = ((BASE_ENGINES * scale).round() as usize).max(HALLS);
    let engines: Vec<_> = (0..count).map(entry).collect();
    let mut fleet = Self {
      boxes,
      engines,
      failing: 0,
      groups: Vec::new(),
      numbers: HashMap::new(),
      requests_per_s: BASE_REQUESTS_PER_S * scale,
    };
    for (number, entry) in fleet.engines.iter().enumerate() {
      fleet.numbers.insert(incarnation(entry), number);
    }
    let places = PlaceFleet::pressed(boxes, 1.0);
    let list = places.list_without(None);
    fleet.failing = coordinator(0, 0, &list);
    let shorter = places.list_without(Some(fleet.failing));
    for hall in 0..HALLS {
      fleet.add_groups(hall, &list, &shorter);
    }
    fleet
  }

  fn add_groups(&mut self, hall: usize, list: &BoxList, shorter: &BoxList) {
    let in_hall = self.engines.iter().enumerate();
    let in_hall: Vec<_> = in_hall
      .filter(|(number, _)| hall_of_engine(*number) == hall)
      .map(|(_, entry)| entry.clone())
      .collect();
    let shards = prefill_shard_count(in_hall.len());
    for shard in 0..shards {
      let in_shard = in_hall
        .iter()
        .filter(|entry| prefill_shard(&entry.id, shards) == shard);
      let engines: Vec<_> = in_shard.map(incarnation).collect();
      if engines.is_empty() {
        continue;
      }
      self.groups.push(Group {
        coordinator: coordinator(hall, shard, list),
        engines,
        hall,
        next_coordinator: coordinator(hall, shard, shorter),
      });
    }
  }

  /// The numbers of the groups of a hall.
  pub(super) fn groups_of(&self, hall: usize) -> Vec<usize> {
    let groups = self.groups.iter().enumerate();
    groups
      .filter(|(_, group)| group.hall == hall)
      .map(|(number, _)| number)
      .collect()
  }
}

pub(super) fn hall_of_engine(number: usize) -> usize {
  // The speeds follow each other in threes: shifted, each hall has all of them.
  (number + number / SPEEDS.len()) % HALLS
}

pub(super) fn hall_of_box(number: usize) -> usize {
  number % HALLS
}

pub(super) fn incarnation(entry: &EndpointEntry) -> EndpointIncarnation {
  EndpointIncarnation::of(&entry.id, entry.started_ms)
}

fn coordinator(hall: usize, shard: u32, list: &BoxList) -> usize {
  let group = PrefillGroup {
    hall: PlaceFleet::hall(hall).as_str().into(),
    service: SERVICE.into(),
    shard,
  };
  let (_, address) = group.coordinator(list).expect("each hall has boxes");
  PlaceFleet::number(address)
}

fn entry(number: usize) -> EndpointEntry {
  let port = u16::try_from(FIRST_PORT + number).unwrap_or(u16::MAX);
  EndpointEntry {
    address: ([127, 0, 0, 1], port).into(),
    cold_ms: 0,
    hall: PlaceFleet::hall(hall_of_engine(number)).as_str().into(),
    id: format!("e-{number}").as_str().into(),
    leaving: false,
    role: Some(Role::Prefill),
    slots: 128,
    started_ms: Some(1),
    service: SERVICE.into(),
    version: SoftwareVersion::default(),
  }
}
