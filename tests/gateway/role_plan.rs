//! Planning of role changes.

use {
  rillford::{
    decide::Role,
    gateway::{EndpointEntry, RecentEngines, SoftwareVersion, plan_roles, stable_engines},
  },
  rstest::rstest,
};

const HALLS: [&str; 3] = ["north", "south", "west"];

fn engine(number: usize, role: Role) -> EndpointEntry {
  EndpointEntry {
    address: format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
    started_ms: None,
    cold_ms: 0,
    hall: HALLS[number % HALLS.len()].into(),
    id: format!("e-{number}").into(),
    leaving: false,
    role: Some(role),
    slots: 16,
    service: "llm".into(),
    version: SoftwareVersion::default(),
  }
}

/// `total` engines, the first `prefill` of them prefill engines.
fn engines(prefill: usize, total: usize) -> Vec<EndpointEntry> {
  (0..total)
    .map(|number| {
      let role = if number < prefill {
        Role::Prefill
      } else {
        Role::Decode
      };
      engine(number, role)
    })
    .collect()
}

#[test]
fn short_outage_changes_no_role() {
  let all = engines(3, 9);
  let mut recent = RecentEngines::default();
  recent.record(&all, 0);
  // Two decode engines crash, and restart after 3.4 s under other ids.
  let remaining = &all[..7];
  recent.record(remaining, 300);
  assert_eq!(plan_roles(remaining, &recent.missing("llm"), 0.25), None);
  let mut back = all.clone();
  for engine in &mut back[7..] {
    engine.id = format!("{}-again", engine.id).into();
  }
  recent.record(&back, 3_400);
  assert!(recent.missing("llm").is_empty());
  assert_eq!(plan_roles(&back, &recent.missing("llm"), 0.25), None);
}

/// After a crash, the old entries and those of the next incarnations together looked like more engines.
#[test]
fn engine_that_is_listed_twice_for_a_moment_changes_no_role() {
  let all = engines(3, 9);
  let mut recent = RecentEngines::default();
  recent.record(&all, 0);
  let mut doubled = all.clone();
  for engine in &all[7..] {
    let again = EndpointEntry {
      id: format!("{}-again", engine.id).into(),
      role: Some(Role::Prefill),
      ..engine.clone()
    };
    doubled.push(again);
  }
  recent.record(&doubled, 3_000);
  let here: Vec<EndpointEntry> = stable_engines(&doubled).cloned().collect();
  assert_eq!(here.len(), 7);
  assert_eq!(recent.missing("llm").len(), 2);
  assert_eq!(plan_roles(&here, &recent.missing("llm"), 0.25), None);
}

#[rstest]
#[case::crashed(false, 6_900, 7_000)]
#[case::leaving(true, 2_900, 3_100)]
fn engines_that_do_not_return_no_longer_count(
  #[case] is_leaving: bool,
  #[case] still_ms: u64,
  #[case] no_longer_ms: u64,
) {
  let all = engines(3, 9);
  let mut recent = RecentEngines::default();
  recent.record(&all, 0);
  let mut remaining = all.clone();
  if is_leaving {
    for engine in &mut remaining[7..] {
      engine.leaving = true;
    }
  } else {
    remaining.truncate(7);
  }
  recent.record(&remaining, 100);
  recent.record(&remaining, still_ms);
  assert_eq!(recent.missing("llm").len(), 2);
  recent.record(&remaining, no_longer_ms);
  let missing = recent.missing("llm");
  let plan = plan_roles(&remaining[..7], &missing, 0.25).unwrap();
  assert_eq!((plan.role, plan.engines.len()), (Role::Decode, 1));
}

#[rstest]
#[case::only_a_prefill_engine(1, 0)]
#[case::only_a_decode_engine(0, 1)]
fn last_engine_of_a_role_keeps_it(#[case] prefill: usize, #[case] decode: usize) {
  let here = engines(prefill, prefill + decode);
  let away: Vec<EndpointEntry> = engines(4, 8);
  assert_eq!(plan_roles(&here, &away, 0.01), None);
  assert_eq!(plan_roles(&here, &away, 0.99), None);
}
