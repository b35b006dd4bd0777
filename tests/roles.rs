//! One steward a hall orders roles, by its fence; a paused one orders nothing late.

use {
  crate::{
    Test,
    test::{PATIENCE, Running},
  },
  emulator::{EngineOptions, HallPlan, eventually},
  rillford::decide::Role,
  rstest::rstest,
};

/// Wants half of the engines to read; with one of three reading, none turns within the dead band.
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

fn readers(test: &Running) -> usize {
  let engines = test.deployment.engines();
  engines
    .filter(|engine| engine.role() == Role::Prefill)
    .count()
}

async fn steward(test: &Running) -> &'static str {
  let mut found = "";
  let has = eventually(PATIENCE, async || {
    for name in ["north-1", "north-2"] {
      if test.status(name).await.steward {
        found = name;
      }
    }
    !found.is_empty()
  });
  assert!(has.await, "no steward");
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
async fn engines_shift_to_the_wanted_split_and_keep_one_of_each() {
  let test = Test::halls(vec![hall(true)])
    .plan(|plan| plan.platform_document = document("1.0"))
    .start()
    .await;
  let shifted = eventually(PATIENCE, async || readers(&test) == 2);
  assert!(shifted.await);
  test.wait_serving("north-1").await;
  assert_eq!(readers(&test), 2);
}

#[rstest]
#[case::engines_check_fences(true)]
#[case::engines_check_nothing(false)]
#[tokio::test]
async fn steward_that_wakes_after_its_lease_orders_nothing_old(#[case] checks_fence: bool) {
  let test = Test::halls(vec![hall(checks_fence)])
    .plan(|plan| plan.platform_document = document("0.34"))
    .start()
    .await;
  let first = steward(&test).await;
  test.deployment.boxes[first].signal(libc::SIGSTOP);
  let next = other(first);
  test.wait_status(next, |status| status.steward).await;
  // Now the wanted split changes: the new steward turns an engine.
  let key = "rillford/configuration/platform";
  test.deployment.key_value.put(key, &document("0.7"));
  let shifted = eventually(PATIENCE, async || readers(&test) == 2);
  assert!(shifted.await);
  test.deployment.boxes[first].signal(libc::SIGCONT);
  test.wait_status(first, |status| !status.steward).await;
  for engine in test.deployment.engines() {
    let orders = engine.tally().role_orders;
    assert!(orders.is_sorted(), "an old order came late: {orders:?}");
  }
  assert_eq!(readers(&test), 2);
}

#[tokio::test]
async fn roles_stay_as_they_are_without_a_lease() {
  let test = Test::halls(vec![hall(true)])
    .plan(|plan| plan.platform_document = document("0.34"))
    .start()
    .await;
  let name = steward(&test).await;
  test.deployment.doors["north"].set(emulator::KeyValueFaults {
    down: true,
    ..emulator::KeyValueFaults::default()
  });
  test.wait_status(name, |status| !status.steward).await;
  test.wait_serving("north-1").await;
  let orders = test
    .deployment
    .engines()
    .map(|engine| engine.tally().role_orders.len());
  assert_eq!(orders.sum::<usize>(), 0);
}
