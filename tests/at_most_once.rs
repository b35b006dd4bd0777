//! A request that is rejected as not run did not run, and a non-repeatable request runs at most once.

use {
  crate::{Test, test::PATIENCE},
  emulator::{Ask, EngineFaults, KeyValueFaults, ServiceFaults, Told, eventually},
  http::Method,
  rillford::decide::Role,
};

fn code(told: &Told) -> &str {
  match told {
    Told::NotRun { code, .. } | Told::Unknown { code, .. } => code,
    Told::Answered(_) | Told::Lost(_) => "",
  }
}

#[tokio::test]
async fn refund_with_a_key_runs_once_however_often_it_is_sent() {
  let test = Test::new().start().await;
  assert!(test.refund("north-1", "refund-1").await.is_answered());
  for name in ["north-1", "north-2"] {
    let told = test.refund(name, "refund-1").await;
    assert_eq!(code(&told), "already_claimed", "{told:?}");
  }
  assert_eq!(test.refund_runs("refund-1"), 1);
}

#[tokio::test]
async fn lost_response_of_a_refund_is_reported_as_unknown_and_never_run_again() {
  let test = Test::new().start().await;
  test.portal().set_faults(ServiceFaults {
    lose_answer: true,
    ..ServiceFaults::default()
  });
  let told = test.refund("north-1", "refund-2").await;
  assert!(matches!(told, Told::Unknown { .. }), "{told:?}");
  test.portal().set_faults(ServiceFaults::default());
  let told = test.refund("north-2", "refund-2").await;
  assert_eq!(code(&told), "already_claimed");
  assert_eq!(test.refund_runs("refund-2"), 1);
}

#[tokio::test]
async fn claim_whose_write_lost_its_response_is_read_back() {
  let test = Test::new().start().await;
  test.deployment.doors["north"].set(KeyValueFaults {
    lose_write_answers: 1,
    ..KeyValueFaults::default()
  });
  let told = test.refund("north-1", "refund-3").await;
  assert!(told.is_answered(), "{told:?}");
  assert_eq!(test.refund_runs("refund-3"), 1);
}

#[tokio::test]
async fn refund_during_a_store_outage_is_rejected_and_can_be_sent_again() {
  let test = Test::new().start().await;
  let door = &test.deployment.doors["north"];
  door.set(KeyValueFaults {
    down: true,
    ..KeyValueFaults::default()
  });
  let told = test.refund("north-1", "refund-4").await;
  assert!(
    matches!(&told, Told::NotRun { status: 503, code, retry_after_s: Some(_) } if code == "claim_unavailable"),
    "{told:?}"
  );
  assert_eq!(test.refund_runs("refund-4"), 0);
  // Repeatable requests are served during the outage.
  assert!(
    test
      .complete("north-1", &Ask::new("on", 3))
      .await
      .is_answered()
  );
  door.set(KeyValueFaults::default());
  let sent = eventually(PATIENCE, async || {
    test.refund("north-2", "refund-4").await.is_answered()
  });
  assert!(sent.await);
  assert_eq!(test.refund_runs("refund-4"), 1);
}

#[tokio::test]
async fn claim_that_takes_effect_after_the_rejection_is_released() {
  let test = Test::new().start().await;
  let door = &test.deployment.doors["north"];
  door.set(KeyValueFaults {
    late_writes_ms: 2_500,
    ..KeyValueFaults::default()
  });
  let told = test.refund("north-1", "refund-5").await;
  assert_eq!(code(&told), "claim_unavailable", "{told:?}");
  door.set(KeyValueFaults::default());
  assert_eq!(test.refund_runs("refund-5"), 0);
  let claimed = eventually(PATIENCE, async || {
    !test
      .deployment
      .key_value
      .keys("rillford/claims/")
      .is_empty()
  });
  assert!(claimed.await, "the late write never took effect");
  let released = eventually(PATIENCE, async || {
    test
      .deployment
      .key_value
      .keys("rillford/claims/")
      .is_empty()
  });
  assert!(released.await, "the late claim is never released");
  assert!(test.refund("north-2", "refund-5").await.is_answered());
  assert_eq!(test.refund_runs("refund-5"), 1);
}

#[tokio::test]
async fn refund_whose_service_refuses_connections_is_not_run_and_frees_its_key() {
  let mut test = Test::new().start().await;
  test
    .deployment
    .hosts
    .get_mut("north-portal-1")
    .unwrap()
    .kill();
  let told = test.refund("north-1", "refund-6").await;
  assert!(matches!(told, Told::NotRun { .. }), "{told:?}");
  let released = eventually(PATIENCE, async || {
    test
      .deployment
      .key_value
      .keys("rillford/claims/")
      .is_empty()
  });
  assert!(released.await);
}

#[tokio::test]
async fn two_boxes_with_the_same_key_at_once_run_it_once() {
  let test = Test::new().start().await;
  for round in 0..10 {
    let key = format!("quiz-{round}");
    let (one, other) = tokio::join!(test.refund("north-1", &key), test.refund("north-2", &key));
    let answered = [&one, &other].into_iter().filter(|told| told.is_answered());
    assert_eq!(answered.count(), 1, "{one:?} {other:?}");
    assert_eq!(test.refund_runs(&key), 1);
  }
}

#[tokio::test]
async fn box_killed_during_a_refund_leaves_its_key_claimed() {
  let mut test = Test::new().start().await;
  test.portal().set_faults(ServiceFaults {
    lose_answer: true,
    ..ServiceFaults::default()
  });
  let url = test.url("north-1");
  let caller = test.caller.clone();
  let sent = tokio::spawn(async move {
    let headers = [
      ("idempotency-key".to_string(), "refund-7".to_string()),
      ("x-rillford-not-repeatable".to_string(), "true".to_string()),
    ];
    let told = caller.call(&url, Method::POST, "portal/refund", &headers, "refund-7");
    told.await
  });
  let ran = eventually(PATIENCE, async || test.refund_runs("refund-7") == 1);
  assert!(ran.await);
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  assert!(matches!(sent.await.unwrap(), Told::Lost(_)));
  test.portal().set_faults(ServiceFaults::default());
  let told = test.refund("north-2", "refund-7").await;
  assert_eq!(code(&told), "already_claimed");
  assert_eq!(test.refund_runs("refund-7"), 1);
}

#[tokio::test]
async fn not_repeatable_completion_is_never_prefilled_twice() {
  let test = Test::new().start().await;
  test.set_faults(
    Role::Prefill,
    EngineFaults {
      fail_after: true,
      ..EngineFaults::default()
    },
  );
  let before = test.engine("north-prefill-1").tally().prefills;
  let ask = Ask::new("Publish the quiz. ", 5)
    .header("x-rillford-not-repeatable", "true")
    .header("idempotency-key", "quiz");
  let told = test.complete("north-1", &ask).await;
  assert!(matches!(told, Told::Unknown { .. }), "{told:?}");
  let after = test.engine("north-prefill-1").tally().prefills;
  assert_eq!(after, before + 1);
}

#[tokio::test]
async fn not_run_means_that_no_engine_began() {
  let test = Test::new().start().await;
  let tally = || {
    let engines = test.deployment.engines();
    engines.map(|engine| engine.tally().prefills).sum::<u64>()
  };
  test.set_faults(
    Role::Prefill,
    EngineFaults {
      full: true,
      ..EngineFaults::default()
    },
  );
  let before = tally();
  let told = test.complete("north-1", &Ask::new("Full house. ", 5)).await;
  assert!(
    matches!(
      told,
      Told::NotRun {
        retry_after_s: Some(_),
        ..
      }
    ),
    "{told:?}"
  );
  assert_eq!(tally(), before);
}
