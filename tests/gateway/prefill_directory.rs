//! The prefill engines of each group as a box lists them, and which of them a coordinator may grant.

use {
  rillford::{
    decide::Role,
    gateway::{
      ColdPeriod, EndpointEntry, EndpointIncarnation, EndpointNotice, EndpointRegistry,
      LimitHeader, PrefillDirectory, PrefillGroup, SoftwareVersion,
    },
  },
  std::collections::BTreeSet,
};

fn entry(id: &str, hall: &str, role: Role) -> EndpointEntry {
  EndpointEntry {
    address: "127.0.0.1:1".parse().unwrap(),
    started_ms: Some(1),
    cold_ms: 0,
    hall: hall.into(),
    id: id.into(),
    leaving: false,
    role: Some(role),
    slots: 8,
    service: "llm".into(),
    version: SoftwareVersion::default(),
  }
}

fn group(hall: &str, shard: u32) -> PrefillGroup {
  PrefillGroup {
    hall: hall.into(),
    service: "llm".into(),
    shard,
  }
}

fn ids(directory: &PrefillDirectory, group: &PrefillGroup) -> Vec<String> {
  let engines = directory.engines(group).iter();
  engines.map(|engine| engine.id.to_string()).collect()
}

/// Boxes and coordinators that divide the engines differently would ask for places in groups that nobody has.
#[test]
fn each_prefill_engine_is_in_one_group_of_its_hall() {
  let mut registry = EndpointRegistry::default();
  for number in 0..40 {
    registry.put(entry(&format!("n-{number}"), "north", Role::Prefill));
    registry.put(entry(&format!("d-{number}"), "north", Role::Decode));
  }
  registry.put(entry("s-1", "south", Role::Prefill));
  let mut directory = PrefillDirectory::default();
  directory.update(&registry, 0);
  let halls: Vec<_> = directory.halls("llm").map(|hall| &**hall).collect();
  assert_eq!(halls, ["north", "south"]);
  assert_eq!(directory.shard_count("llm", "north"), 4);
  assert_eq!(directory.shard_count("llm", "south"), 1);
  assert_eq!(directory.shard_count("other", "north"), 0);
  let grouped: Vec<String> = (0..4)
    .flat_map(|shard| ids(&directory, &group("north", shard)))
    .collect();
  assert_eq!(grouped.len(), 40);
  assert_eq!(grouped.iter().collect::<BTreeSet<_>>().len(), 40);
  assert!(grouped.iter().all(|id| id.starts_with("n-")));
  assert!(ids(&directory, &group("north", 4)).is_empty());
  let incarnation = EndpointIncarnation::of("s-1", Some(1));
  assert_eq!(
    directory.id("llm", incarnation).map(|id| &**id),
    Some("s-1")
  );
}

/// An engine that changes its role, restarts or is removed must not be granted under its former entry.
#[test]
fn changed_engines_are_regrouped() {
  let mut registry = EndpointRegistry::default();
  for id in ["a", "b", "c"] {
    registry.put(entry(id, "north", Role::Prefill));
  }
  let mut directory = PrefillDirectory::default();
  directory.update(&registry, 0);
  assert_eq!(ids(&directory, &group("north", 0)), ["a", "b", "c"]);
  registry.put(entry("a", "north", Role::Decode));
  directory.update(&registry, 1_000);
  assert_eq!(ids(&directory, &group("north", 0)), ["b", "c"]);
  registry.remove("c");
  directory.update(&registry, 2_000);
  assert_eq!(ids(&directory, &group("north", 0)), ["b"]);
  let of = |started_ms| EndpointIncarnation::of("b", Some(started_ms));
  registry.put(EndpointEntry {
    started_ms: Some(2),
    ..entry("b", "north", Role::Prefill)
  });
  directory.update(&registry, 3_000);
  assert!(directory.id("llm", of(1)).is_none());
  assert!(directory.id("llm", of(2)).is_some());
}

/// Entries are written again with other figures all the time; each computation hashes all prefill engines.
#[test]
fn entry_that_lists_the_same_engine_changes_no_revision() {
  let mut registry = EndpointRegistry::default();
  registry.put(entry("a", "north", Role::Prefill));
  let revision = registry.prefill_revision();
  registry.put(EndpointEntry {
    cold_ms: 500,
    leaving: true,
    ..entry("a", "north", Role::Prefill)
  });
  registry.put(entry("d", "north", Role::Decode));
  registry.remove("d");
  assert_eq!(registry.prefill_revision(), revision);
  registry.remove("a");
  assert_ne!(registry.prefill_revision(), revision);
}

/// A coordinator that grants places at an engine that takes no work, or little, sends all boxes there at once.
#[test]
fn engine_that_leaves_backs_off_or_is_limited_is_not_unrestricted() {
  let mut registry = EndpointRegistry::default();
  let ids = ["leaves", "listed", "backs-off", "cold", "limited", "lapsed"];
  for id in ids {
    registry.put(entry(id, "north", Role::Prefill));
    assert!(registry.unrestricted_entry(id, 0).is_some());
  }
  let of = |id| entry(id, "north", Role::Prefill);
  let leaving = EndpointNotice {
    leaving: true,
    ..EndpointNotice::default()
  };
  registry.record_notice(&of("leaves"), &leaving, 0);
  registry.put(EndpointEntry {
    leaving: true,
    ..of("listed")
  });
  let backoff = EndpointNotice {
    backoff_ms: Some(1_000),
    ..EndpointNotice::default()
  };
  registry.record_notice(&of("backs-off"), &backoff, 0);
  let cold = ColdPeriod {
    per_s: 2.0,
    recorded_ms: 0,
    until_ms: 1_000,
  };
  registry
    .limits_mut()
    .record_cold(&"cold".into(), Some(1), cold);
  registry.record_limit(&of("limited"), LimitHeader::PerSecond(3.0), 0, 0);
  registry.mark_lapsed("lapsed", 1_000);
  for id in ids {
    assert!(registry.unrestricted_entry(id, 1).is_none(), "{id}");
  }
  assert!(registry.unrestricted_entry("unlisted", 1).is_none());
}
