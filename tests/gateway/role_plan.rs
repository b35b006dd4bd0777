//! Which engines are to change their role, without a box around it.

use {
  rillford::{
    decide::Role,
    gateway::{EndpointEntry, RecentEngines, plan_roles, stable_engines},
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
  }
}

/// So many engines, of which the first ones read prompts.
fn engines(reading: usize, total: usize) -> Vec<EndpointEntry> {
  (0..total)
    .map(|number| {
      let role = if number < reading {
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
  // Two engines that write crash, and are back after 3.4 s under other ids.
  let left = &all[..7];
  recent.record(left, 300);
  assert_eq!(plan_roles(left, &recent.missing("llm"), 0.25), None);
  let mut back = all.clone();
  for engine in &mut back[7..] {
    engine.id = format!("{}-again", engine.id).into();
  }
  recent.record(&back, 3_400);
  assert!(recent.missing("llm").is_empty());
  assert_eq!(plan_roles(&back, &recent.missing("llm"), 0.25), None);
}

/// Seen on a day with a crash: the old entries and those of the next incarnations together looked like more engines.
#[test]
fn engine_that_stands_twice_for_a_moment_changes_no_role() {
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
#[case::gone_without_a_word(false, 6_900, 7_000)]
#[case::leaving(true, 2_900, 3_100)]
fn engines_that_stay_away_no_longer_count(
  #[case] is_leaving: bool,
  #[case] still_ms: u64,
  #[case] no_longer_ms: u64,
) {
  let all = engines(3, 9);
  let mut recent = RecentEngines::default();
  recent.record(&all, 0);
  let mut left = all.clone();
  if is_leaving {
    for engine in &mut left[7..] {
      engine.leaving = true;
    }
  } else {
    left.truncate(7);
  }
  recent.record(&left, 100);
  recent.record(&left, still_ms);
  assert_eq!(recent.missing("llm").len(), 2);
  recent.record(&left, no_longer_ms);
  let missing = recent.missing("llm");
  let turning = plan_roles(&left[..7], &missing, 0.25).unwrap();
  assert_eq!((turning.role, turning.engines.len()), (Role::Decode, 1));
}

#[rstest]
#[case::readers_away(1, 0)]
#[case::writers_away(0, 1)]
fn last_engine_of_a_role_keeps_it(#[case] reading: usize, #[case] writing: usize) {
  let here = engines(reading, reading + writing);
  let away: Vec<EndpointEntry> = engines(4, 8);
  assert_eq!(plan_roles(&here, &away, 0.01), None);
  assert_eq!(plan_roles(&here, &away, 0.99), None);
}
