//! Streams that lack an event at a place where their ids have not shown yet that they count events.

use {
  super::{
    ReceivedRequest,
    raw_caller::{RawRequest, RawResponse},
    review_findings::{Fleet, answer, begins},
    stream_framing::{EVENTS, Framing, events, rest, whole},
  },
  rstest::rstest,
};

/// Bytes that are no answer.
const NOISE: &str = "\u{16}\u{3}\u{1} no answer\r\n\r\n";
/// The event that a caller names.
const NAMED: u64 = 3;

/// The events after one, of which the first is replaced.
fn without_first(last: u64, replacement: &str) -> String {
  replacement.to_owned() + events(last + 2..=EVENTS).as_str()
}

fn assert_is_not_complete_without_an_event(response: &RawResponse, expected: &str) {
  assert!(
    !response.is_complete || response.status != 200 || response.body == expected,
    "{response:?}"
  );
  assert!(expected.starts_with(&response.body), "{response:?}");
}

/// Guards against a stream that looks complete without one of its first events, in whose place its engine has sent noise.
#[rstest]
#[tokio::test]
async fn stream_does_not_look_complete_without_an_event_in_whose_place_noise_came(
  #[values(1, 2, 3, 4)] replaced: u64,
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let script = move |seen: &ReceivedRequest| match begins(seen) {
    true => {
      let body = events(1..=replaced - 1) + without_first(replaced - 1, NOISE).as_str();
      answer(seen, framing, &body)
    }
    false => answer(seen, framing, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new(path, "r1")).await;
  assert_is_not_complete_without_an_event(&response, &whole());
}

/// Guards against a stream whose caller takes it up and gets noise in place of its next event, and the events after that.
#[rstest]
#[tokio::test]
async fn resumed_stream_does_not_look_complete_without_an_event_in_whose_place_noise_came(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
) {
  let script = move |seen: &ReceivedRequest| answer(seen, framing, &without_first(NAMED, NOISE));
  let fleet = Fleet::start(script).await;
  let request = RawRequest::new("/resumable/a", "r1").header("last-event-id", &NAMED.to_string());
  let response = fleet.ask(request).await;
  assert_is_not_complete_without_an_event(&response, &events(NAMED + 1..=EVENTS));
}
