//! Engine memory is freed when a caller disconnects or its box fails.

use {
  crate::{Test, test::finish},
  emulator::{Ask, EngineFaults, Told, answer_text, eventually},
  rillford::decide::Role,
  rstest::rstest,
  std::time::Duration,
};

fn stall_faults(stage: &str) -> (Role, EngineFaults) {
  match stage {
    "prefill" => (
      Role::Prefill,
      EngineFaults {
        stall_prefill: true,
        ..EngineFaults::default()
      },
    ),
    "transfer" => (
      Role::Decode,
      EngineFaults {
        stall_transfer: true,
        ..EngineFaults::default()
      },
    ),
    _ => (
      Role::Decode,
      EngineFaults {
        stall_decode_after: Some(3),
        ..EngineFaults::default()
      },
    ),
  }
}

#[rstest]
#[case::prefilling("prefill", 0)]
#[case::transferring("transfer", 0)]
#[case::decoding("decode", 0)]
#[case::decoding_and_cancel_responses_lost("decode", 2)]
#[tokio::test]
async fn caller_disconnect_frees_the_engines(#[case] stage: &str, #[case] lost: u32) {
  let test = Test::new()
    .plan(|plan| plan.more_settings = "[limits]\nstall_ms = 30000\n".into())
    .start()
    .await;
  let (role, faults) = stall_faults(stage);
  let faults = EngineFaults {
    lose_cancel_answers: lost,
    ..faults
  };
  test.set_faults(role, faults);
  let url = test.url("north-1");
  let caller = test.caller.clone();
  let pending = tokio::spawn(async move {
    let ask = Ask::new("A question nobody waits for. ", 500);
    caller.complete(&url, &ask).await
  });
  test.wait_held().await;
  // The status is refreshed periodically: waits until it includes the request.
  test
    .wait_status("north-1", |status| status.in_progress == 1)
    .await;
  pending.abort();
  test.wait_nothing_held().await;
  test
    .wait_status("north-1", |status| {
      status.open_orders == 0 && status.in_progress == 0 && status.seats_granted == 0
    })
    .await;
}

#[tokio::test]
async fn caller_disconnect_from_an_unstreamed_answer_frees_the_engines() {
  let test = Test::new().slow_answers().start().await;
  let url = test.url("north-1");
  let caller = test.caller.clone();
  let ask = Ask::new("A whole answer nobody waits for. ", 2_000).whole();
  let pending = tokio::spawn(async move { caller.complete(&url, &ask).await });
  test.wait_held().await;
  pending.abort();
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn attempts_of_a_killed_box_are_cancelled_by_the_engines_owners() {
  let mut test = Test::new().slow_answers().start().await;
  let ask = Ask::new("An answer from a box that dies. ", 4_000);
  let stream = test.open("north-1", &ask).await;
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  assert!(matches!(finish(stream).await, Told::Lost(_)));
  assert!(test.deployment.held() > 0);
  test.wait_nothing_held().await;
  test.wait_serving("north-2").await;
}

#[tokio::test]
async fn restarted_box_cancels_attempts_of_its_previous_incarnation() {
  let mut test = Test::halls(vec![emulator::HallPlan::small("north", &["north-1"])])
    .slow_answers()
    .start()
    .await;
  let ask = Ask::new("An answer from a box that is replaced. ", 4_000);
  let stream = test.open("north-1", &ask).await;
  test.deployment.boxes.get_mut("north-1").unwrap().kill();
  drop(stream);
  test.deployment.start_box("north-1").unwrap();
  test.wait_nothing_held().await;
  test.wait_serving("north-1").await;
}

#[tokio::test]
async fn paused_box_loses_its_attempts_and_aborts_them_on_resume() {
  let test = Test::new().slow_answers().start().await;
  let ask = Ask::new("An answer from a box that freezes. ", 300);
  let stream = test.open("north-1", &ask).await;
  test.deployment.boxes["north-1"].signal(libc::SIGSTOP);
  test.wait_nothing_held().await;
  test.deployment.boxes["north-1"].signal(libc::SIGCONT);
  let result = finish(stream).await;
  let whole = answer_text("An answer from a box that freezes. ", 300);
  match result {
    Told::Answered(text) => assert_eq!(text, whole),
    Told::Unknown { .. } => {}
    other => panic!("{other:?}"),
  }
  test.wait_nothing_held().await;
  test.wait_serving("north-1").await;
}

#[tokio::test]
async fn live_attempts_are_not_cancelled_while_their_holds_are_extended() {
  let test = Test::new().slow_answers().start().await;
  // The answer takes four times as long as a hold lives.
  let ask = Ask::new("A long answer. ", 320);
  let result = test.complete("north-1", &ask).await;
  assert_eq!(result, Told::Answered(answer_text("A long answer. ", 320)));
}

#[tokio::test]
async fn attempts_move_from_an_engine_that_ignores_hold_extensions() {
  let test = Test::new().slow_answers().start().await;
  let ask = Ask::new("An answer that moves. ", 400);
  let stream = test.open("north-1", &ask).await;
  let decoding = ["north-decode-1", "north-decode-2"]
    .into_iter()
    .find(|name| !test.engine(name).held().is_empty())
    .unwrap();
  test.engine(decoding).set_faults(EngineFaults {
    deaf_to_holds: true,
    ..EngineFaults::default()
  });
  let freed = eventually(Duration::from_secs(60), async || {
    test.engine(decoding).held().is_empty()
  });
  assert!(freed.await);
  let result = finish(stream).await;
  assert_eq!(
    result,
    Told::Answered(answer_text("An answer that moves. ", 400))
  );
  test.wait_nothing_held().await;
}
