//! An accepted configuration is in force in every hall within seconds and is never replaced by an older one.

use {
  crate::{Test, test::PATIENCE},
  emulator::{KeyValueFaults, eventually},
  http::{Method, StatusCode},
  rillford::ConfigurationBody,
};

const PLATFORM: &str = "/configuration/platform";

fn document(queue_limit: u64) -> String {
  format!("{{\"tuning\": {{\"queue_limit\": {queue_limit}, \"hold_ms\": 2000}}}}")
}

fn revision(body: &str) -> u64 {
  serde_json::from_str::<ConfigurationBody>(body)
    .unwrap()
    .revision
}

/// Reads the platform document's revision from one box and writes a new text through another.
async fn rewrite(test: &crate::test::Running, name: &str, text: &str) -> (StatusCode, String) {
  let (_, body) = test.admin("north-1", Method::GET, PLATFORM, None, "").await;
  let read = Some(revision(&body));
  test.admin(name, Method::PUT, PLATFORM, read, text).await
}

async fn digests(test: &crate::test::Running) -> Vec<u64> {
  let mut digests = Vec::new();
  for name in test.deployment.boxes.keys() {
    if test.deployment.boxes[name].id().is_some() {
      digests.push(test.status(name).await.configuration_digest);
    }
  }
  digests
}

async fn all_converge_on_new_digest(test: &crate::test::Running, old: u64) -> bool {
  eventually(PATIENCE, async || {
    let digests = digests(test).await;
    digests
      .iter()
      .all(|digest| *digest == digests[0] && *digest != old)
  })
  .await
}

#[tokio::test]
async fn written_configuration_is_in_force_on_all_boxes_of_all_halls() {
  let test = Test::two_halls().start().await;
  let old = test.status("north-1").await.configuration_digest;
  let (status, body) = rewrite(&test, "north-2", &document(99)).await;
  assert_eq!(status, StatusCode::OK, "{body}");
  assert!(all_converge_on_new_digest(&test, old).await);
}

#[tokio::test]
async fn of_two_operators_writing_at_once_one_gets_a_conflict() {
  let test = Test::two_halls().start().await;
  for round in 0..5 {
    let (_, body) = test.admin("north-1", Method::GET, PLATFORM, None, "").await;
    let read = Some(revision(&body));
    let texts = [document(100 + round), document(200 + round)];
    let (one, other) = tokio::join!(
      test.admin("north-1", Method::PUT, PLATFORM, read, &texts[0]),
      test.admin("south-1", Method::PUT, PLATFORM, read, &texts[1]),
    );
    let mut statuses = [one.0, other.0];
    statuses.sort();
    assert_eq!(
      statuses,
      [StatusCode::OK, StatusCode::CONFLICT],
      "{one:?} {other:?}"
    );
  }
}

#[tokio::test]
async fn write_whose_response_is_lost_is_read_back() {
  let test = Test::new().start().await;
  let (_, body) = test.admin("north-1", Method::GET, PLATFORM, None, "").await;
  test.deployment.doors["north"].set(KeyValueFaults {
    lose_write_answers: 1,
    ..KeyValueFaults::default()
  });
  let (status, body) = test
    .admin(
      "north-1",
      Method::PUT,
      PLATFORM,
      Some(revision(&body)),
      &document(77),
    )
    .await;
  assert_eq!(status, StatusCode::OK, "{body}");
}

#[tokio::test]
async fn hall_that_is_cut_from_the_platform_receives_changes_from_its_peers() {
  let test = Test::two_halls().start().await;
  test.deployment.doors["south"].set(KeyValueFaults {
    cut: true,
    ..KeyValueFaults::default()
  });
  let old = test.status("south-1").await.configuration_digest;
  let (status, _) = rewrite(&test, "north-1", &document(55)).await;
  assert_eq!(status, StatusCode::OK);
  assert!(all_converge_on_new_digest(&test, old).await);
}

#[tokio::test]
async fn isolated_hall_keeps_serving_and_catches_up() {
  let test = Test::two_halls().start().await;
  test.deployment.doors["south"].set(KeyValueFaults {
    cut: true,
    ..KeyValueFaults::default()
  });
  test.deployment.cut_halls("north", "south");
  let old = test.status("south-1").await.configuration_digest;
  rewrite(&test, "north-1", &document(44)).await;
  let changed = eventually(PATIENCE, async || {
    test.status("north-2").await.configuration_digest != old
  });
  assert!(changed.await);
  for _ in 0..5 {
    test.wait_serving("south-1").await;
  }
  assert_eq!(test.status("south-1").await.configuration_digest, old);
  test.deployment.mend_links();
  assert!(all_converge_on_new_digest(&test, old).await);
}

#[tokio::test]
async fn restarted_box_gets_the_newest_configuration_from_its_peers_during_a_store_outage() {
  let mut test = Test::new().start().await;
  let old = test.status("north-1").await.configuration_digest;
  rewrite(&test, "north-1", &document(33)).await;
  assert!(all_converge_on_new_digest(&test, old).await);
  test.deployment.doors["north"].set(KeyValueFaults {
    down: true,
    ..KeyValueFaults::default()
  });
  test.deployment.boxes.get_mut("north-2").unwrap().kill();
  test.deployment.start_box("north-2").unwrap();
  test.wait_serving("north-2").await;
  let new = test.status("north-1").await.configuration_digest;
  test
    .wait_status("north-2", |status| status.configuration_digest == new)
    .await;
}

#[tokio::test]
async fn box_with_neither_store_nor_peer_stays_unready_and_logs_it() {
  let test = Test::halls(vec![emulator::HallPlan::small("north", &["north-1"])])
    .plan(|plan| plan.start_boxes = false);
  let mut test = test.start_unready();
  test.deployment.doors["north"].set(KeyValueFaults {
    down: true,
    ..KeyValueFaults::default()
  });
  test.deployment.start_box("north-1").unwrap();
  let logged = eventually(PATIENCE, async || {
    test.deployment.boxes["north-1"].log().contains("E440")
  });
  assert!(logged.await, "{}", test.deployment.boxes["north-1"].log());
  assert!(!test.caller.is_ready(&test.url("north-1")).await);
  test.deployment.doors["north"].set(KeyValueFaults::default());
  test.wait_serving("north-1").await;
}

#[tokio::test]
async fn lost_watch_event_is_recovered() {
  let test = Test::new().start().await;
  let old = test.status("north-1").await.configuration_digest;
  test.deployment.doors["north"].set(KeyValueFaults {
    swallow_events: 1,
    ..KeyValueFaults::default()
  });
  // Written directly to the store, not through a box: only a watch reports the change.
  let key = "rillford/configuration/platform";
  test.deployment.key_value.put(key, &document(22));
  assert!(all_converge_on_new_digest(&test, old).await);
}

#[tokio::test]
async fn invalid_document_in_the_store_leaves_the_old_one_in_force() {
  let test = Test::new().start().await;
  let old = test.status("north-1").await.configuration_digest;
  let key = "rillford/configuration/platform";
  test
    .deployment
    .key_value
    .put(key, "{\"policy\": \"fn rank(\"}");
  let refused = eventually(PATIENCE, async || {
    test.deployment.boxes["north-1"].log().contains("E421")
  });
  assert!(refused.await);
  assert_eq!(test.status("north-1").await.configuration_digest, old);
  test.wait_serving("north-1").await;
}
