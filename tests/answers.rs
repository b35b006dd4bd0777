//! Each caller receives the complete response to its own request, exactly once.

use {
  crate::{Test, test::finish},
  emulator::{Ask, EngineFaults, Told, answer_text},
  rillford::decide::Role,
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

const PROMPT: &str = "Which theorem was that? ";
/// Stall timeout of the boxes in these tests.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

fn faults(change: impl FnOnce(&mut EngineFaults)) -> EngineFaults {
  let mut faults = EngineFaults::default();
  change(&mut faults);
  faults
}

#[rstest]
#[case::doubled_chunks(faults(|faults| faults.double_chunks = true))]
#[case::reordered_chunks(faults(|faults| faults.swap_chunks = true))]
#[case::chunks_of_another_attempt(faults(|faults| faults.foreign_chunks = true))]
#[tokio::test]
async fn disordered_chunks_still_make_the_whole_answer(#[case] faults: EngineFaults) {
  let test = Test::new().start().await;
  test.set_faults(Role::Decode, faults);
  let told = test.complete("north-1", &Ask::new(PROMPT, 41)).await;
  assert_eq!(told, Told::Answered(answer_text(PROMPT, 41)));
  test.wait_nothing_held().await;
}

#[rstest]
#[case::cut_in_the_middle(faults(|faults| faults.cut_decode_after = Some(7)))]
#[case::stall_in_the_middle(faults(|faults| faults.stall_decode_after = Some(7)))]
#[case::cut_before_the_first(faults(|faults| faults.cut_decode_after = Some(0)))]
#[case::wrong_offset(faults(|faults| faults.shift_offset = 5))]
#[case::malformed_line(faults(|faults| faults.malformed_line = true))]
#[case::endless_line(faults(|faults| faults.endless_line = true))]
#[case::stalled_transfer(faults(|faults| faults.stall_transfer = true))]
#[case::refused_as_full(faults(|faults| faults.full = true))]
#[case::failing_before(faults(|faults| faults.fail_before = true))]
#[tokio::test]
async fn failed_decode_engine_is_replaced_and_the_response_is_whole(#[case] faults: EngineFaults) {
  let test = Test::new().start().await;
  test.engine("north-decode-1").set_faults(faults);
  // Several requests, so that the faulty engine gets at least one.
  for index in 0..4 {
    let prompt = format!("{PROMPT}{index}");
    let told = test.complete("north-1", &Ask::new(&prompt, 23)).await;
    assert_eq!(told, Told::Answered(answer_text(&prompt, 23)), "{index}");
  }
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn response_resumes_at_the_exact_offset_after_its_decode_engine_crashed() {
  let mut test = Test::new().slow_answers().start().await;
  let stream = test.open("north-1", &Ask::new(PROMPT, 120)).await;
  let crashed = ["north-decode-1", "north-decode-2"]
    .into_iter()
    .find(|name| !test.engine(name).held().is_empty())
    .unwrap();
  test.deployment.hosts.get_mut(crashed).unwrap().kill();
  assert_eq!(
    finish(stream).await,
    Told::Answered(answer_text(PROMPT, 120))
  );
}

#[tokio::test]
async fn answer_that_no_engine_can_finish_never_ends_as_if_whole() {
  let test = Test::new().start().await;
  test.set_faults(
    Role::Decode,
    faults(|faults| faults.cut_decode_after = Some(7)),
  );
  let told = test.complete("north-1", &Ask::new(PROMPT, 23)).await;
  let Told::Unknown { code, .. } = told else {
    panic!("{told:?}");
  };
  assert_eq!(code, "answer_broken");
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn concurrent_callers_each_get_their_own_response() {
  let test = Test::new().start().await;
  let asks = (0..60).map(|index| {
    let caller = test.caller.clone();
    let url = test.url(if index % 2 == 0 { "north-1" } else { "north-2" });
    tokio::spawn(async move {
      let prompt = format!("Question {index}. ");
      let ask = Ask::new(&prompt, 10).header("x-rillford-deadline-ms", "60000");
      (prompt, caller.complete(&url, &ask).await)
    })
  });
  for task in asks.collect::<Vec<_>>() {
    let (prompt, told) = task.await.unwrap();
    assert_eq!(told, Told::Answered(answer_text(&prompt, 10)));
  }
  test.wait_nothing_held().await;
}

#[tokio::test]
async fn truncated_response_of_a_plain_service_breaks_the_callers_connection() {
  let test = Test::new().start().await;
  test.portal().set_faults(emulator::ServiceFaults {
    cut_answer: true,
    ..emulator::ServiceFaults::default()
  });
  let told = test
    .caller
    .call(
      &test.url("north-1"),
      http::Method::GET,
      "portal/clip",
      &[],
      "",
    )
    .await;
  assert!(matches!(told, Told::Lost(_)), "{told:?}");
}

/// A `Retry-After` delay applies to the box itself, not only to the caller that got it.
#[tokio::test]
async fn service_that_asks_for_backoff_is_not_called_until_it_ends() {
  let test = Test::new().start().await;
  let portal = test.portal();
  portal.set_faults(emulator::ServiceFaults {
    pause_s: Some(3),
    ..emulator::ServiceFaults::default()
  });
  let (url, method) = (test.url("north-1"), http::Method::GET);
  for _ in 0..6 {
    let call = test
      .caller
      .call(&url, method.clone(), "portal/clip", &[], "");
    // The calls after the first wait for the end of the delay and are dropped.
    let _ = tokio::time::timeout(std::time::Duration::from_millis(250), call).await;
  }
  assert_eq!(portal.turned_away(), 1);
  portal.set_faults(emulator::ServiceFaults::default());
  let is_answered = async || {
    let call = test
      .caller
      .call(&url, method.clone(), "portal/clip", &[], "");
    matches!(call.await, Told::Answered(_))
  };
  assert!(emulator::eventually(std::time::Duration::from_secs(30), is_answered).await);
}

// Guards against streams that are dropped while their engine is silent although no retry is left for them.
#[tokio::test]
async fn silent_stream_without_a_retry_left_continues() {
  let test = Test::new()
    .plan(|plan| {
      plan.platform_document = r#"{"tuning": {"retry_share": 0.0, "retry_burst": 0.0}}"#.into();
    })
    .start()
    .await;
  let stall_faults = faults(|faults| faults.stall_decode_after = Some(7));
  test.set_faults(Role::Decode, stall_faults);
  let stream = test.open("north-1", &Ask::new(PROMPT, 23)).await;
  sleep(3 * STALL_TIMEOUT).await;
  test.set_faults(Role::Decode, EngineFaults::default());
  let told = finish(stream).await;
  assert_eq!(told, Told::Answered(answer_text(PROMPT, 23)));
  test.wait_nothing_held().await;
}

// Guards against responses of plain services that are cut in a silence although nothing can replace them.
#[tokio::test]
async fn response_of_a_plain_service_continues_after_a_silence() {
  let test = Test::new().start().await;
  test.portal().set_faults(emulator::ServiceFaults {
    stall_answer: true,
    ..emulator::ServiceFaults::default()
  });
  let url = test.url("north-1");
  let caller = test.caller.clone();
  let call = tokio::spawn(async move {
    caller
      .call(&url, http::Method::GET, "portal/clip", &[], "")
      .await
  });
  sleep(3 * STALL_TIMEOUT).await;
  test.portal().set_faults(emulator::ServiceFaults::default());
  assert_eq!(
    call.await.unwrap(),
    Told::Answered("half of an answer".into())
  );
}
