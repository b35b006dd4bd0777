//! One role leader per hall switches roles with its fence; a paused leader sends no stale commands.

use {
  crate::{
    Test,
    test::{PATIENCE, Running},
  },
  emulator::{EngineOptions, HallPlan, eventually},
  rillford::decide::Role,
  rstest::rstest,
};

/// `SHARE` is the wanted share of prefill engines. One of three engines starts in the prefill role: at 0.34 none switches,
/// within the dead band.
const POLICY: &str = "fn rank(request, now) { #{} } fn shift(now, pools) { #{ lecture: SHARE } }";

fn document(share: &str) -> String {
  let policy = POLICY.replace("SHARE", share);
  format!(
    "{{\"policy\": \"{policy}\", \"tuning\": {{\"role_least_stay_ms\": 0, \"hold_ms\": 2000}}}}"
  )
}

fn hall(checks_fence: bool) -> HallPlan {
  let mut hall = HallPlan::small("north", &["north-1", "north-2"]);
  for (_, endpoint) in &mut hall.endpoints {
    if let emulator::EndpointPlan::Engine(options) = endpoint {
      *options = EngineOptions {
        checks_fence,
        ..options.clone()
      };
    }
  }
  hall
}

fn prefill_engines(test: &Running) -> usize {
  let engines = test.deployment.engines();
  engines
    .filter(|engine| engine.role() == Role::Prefill)
    .count()
}

async fn leader(test: &Running) -> &'static str {
  let mut found = "";
  let has = eventually(PATIENCE, async || {
    for name in ["north-1", "north-2"] {
      if test.status(name).await.steward {
        found = name;
      }
    }
    !found.is_empty()
  });
  assert!(has.await, "no leader");
  found
}

fn other(name: &str) -> &'static str {
  if name == "north-1" {
    "north-2"
  } else {
    "north-1"
  }
}

#[tokio::test]
async fn engines_switch_to_the_wanted_split_and_keep_one_of_each_role() {
  let test = Test::halls(vec![hall(true)])
    .plan(|plan| plan.platform_document = document("1.0"))
    .start()
    .await;
  let switched = eventually(PATIENCE, async || prefill_engines(&test) == 2);
  assert!(switched.await);
  test.wait_serving("north-1").await;
  assert_eq!(prefill_engines(&test), 2);
}

#[rstest]
#[case::engines_check_fences(true)]
#[case::engines_check_no_fences(false)]
#[tokio::test]
async fn leader_that_resumes_after_its_lease_sends_no_stale_commands(#[case] checks_fence: bool) {
  let test = Test::halls(vec![hall(checks_fence)])
    .plan(|plan| plan.platform_document = document("0.34"))
    .start()
    .await;
  let first = leader(&test).await;
  test.deployment.boxes[first].signal(libc::SIGSTOP);
  let next = other(first);
  test.wait_status(next, |status| status.steward).await;
  // After a change of the wanted split the new leader switches an engine.
  let key = "rillford/configuration/platform";
  test.deployment.key_value.put(key, &document("0.7"));
  let switched = eventually(PATIENCE, async || prefill_engines(&test) == 2);
  assert!(switched.await);
  test.deployment.boxes[first].signal(libc::SIGCONT);
  test.wait_status(first, |status| !status.steward).await;
  for engine in test.deployment.engines() {
    let commands = engine.tally().role_orders;
    assert!(
      commands.is_sorted(),
      "a stale command was obeyed: {commands:?}"
    );
  }
  assert_eq!(prefill_engines(&test), 2);
}

#[tokio::test]
async fn no_role_switches_without_a_lease() {
  let test = Test::halls(vec![hall(true)])
    .plan(|plan| plan.platform_document = document("0.34"))
    .start()
    .await;
  let name = leader(&test).await;
  test.deployment.doors["north"].set(emulator::KeyValueFaults {
    down: true,
    ..emulator::KeyValueFaults::default()
  });
  test.wait_status(name, |status| !status.steward).await;
  test.wait_serving("north-1").await;
  let commands = test
    .deployment
    .engines()
    .map(|engine| engine.tally().role_orders.len());
  assert_eq!(commands.sum::<usize>(), 0);
}
