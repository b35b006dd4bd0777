//! No engine memory stays held by a request whose caller has gone.

use {
  crate::{Test, test::finish},
  emulator::{Ask, EngineFaults, Told, answer_text, eventually},
  rillford::decide::Role,
  rstest::rstest,
  std::time::Duration,
};

fn stalled(stage: &str) -> (Role, EngineFaults) {
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
#[case::decoding_and_cancel_answers_lost("decode", 2)]
#[tokio::test]
async fn caller_who_leaves_frees_the_engines(#[case] stage: &str, #[case] lost: u32) {
  let test = Test::new()
    .plan(|plan| plan.more_settings = "[limits]\nstall_ms = 30000\n".into())
    .start()
    .await;
  let (role, faults) = stalled(stage);
  let faults = EngineFaults {
    lose_cancel_answers: lost,
    ..faults
  };
  test.set_faults(role, faults);
  let url = test.url("north-1");
  let caller = test.caller.clone();
  let waiting = tokio::spawn(async move {
    let ask = Ask::new("A question nobody waits for. ", 500);
    caller.complete(&url, &ask).await
  });
  test.wait_held().await;
  // The status may be a little old: from here on it is of after the arrival.
  test
    .wait_status("north-1", |status| status.in_progress == 1)
    .await;
  waiting.abort();
  test.wait_nothing_held().await;
  test
    .wait_status("north-1", |status| {
      status.open_orders == 0 && status.in_progress == 0 && status.seats_granted == 0
    })
    .await;
}

#[tokio::test]
async fn caller_who_leaves_a_whole_answer_frees_the_engines() {
  let test = Test::new().slow_answers().start().await;
  let url = test.url("north-1");
  let caller = test.caller.clone();
  let ask = Ask::new("A whole answer nobody waits for. ", 2_000).whole();
  let waiting = tokio::spawn(async move { caller.complete(&url, &ask).await });
  test.wait_held().await;
  waiting.abort();
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn killed_box_leaves_nothing_held_once_the_homes_have_swept() {
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
async fn replaced_box_sweeps_what_its_former_self_left() {
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
async fn frozen_box_loses_its_attempts_and_gives_them_up_when_it_wakes() {
  let test = Test::new().slow_answers().start().await;
  let ask = Ask::new("An answer from a box that freezes. ", 300);
  let stream = test.open("north-1", &ask).await;
  test.deployment.boxes["north-1"].signal(libc::SIGSTOP);
  test.wait_nothing_held().await;
  test.deployment.boxes["north-1"].signal(libc::SIGCONT);
  let told = finish(stream).await;
  let whole = answer_text("An answer from a box that freezes. ", 300);
  match told {
    Told::Answered(text) => assert_eq!(text, whole),
    Told::Unknown { .. } => {}
    other => panic!("{other:?}"),
  }
  test.wait_nothing_held().await;
  test.wait_serving("north-1").await;
}

#[tokio::test]
async fn live_attempts_are_not_swept_while_their_box_holds_on() {
  let test = Test::new().slow_answers().start().await;
  // Four holds long.
  let ask = Ask::new("A long answer. ", 320);
  let told = test.complete("north-1", &ask).await;
  assert_eq!(told, Told::Answered(answer_text("A long answer. ", 320)));
}

#[tokio::test]
async fn engine_deaf_to_holds_loses_its_attempts_to_another() {
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
  let left = eventually(Duration::from_secs(60), async || {
    test.engine(decoding).held().is_empty()
  });
  assert!(left.await);
  let told = finish(stream).await;
  assert_eq!(
    told,
    Told::Answered(answer_text("An answer that moves. ", 400))
  );
  test.wait_nothing_held().await;
}
