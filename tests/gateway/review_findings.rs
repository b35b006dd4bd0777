//! Streams whose events, or whose ends, are mistaken for something else: sound ones that are damaged, and others that look complete.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply,
    endpoint::{ConnectionEnd, engine_reply},
    raw_caller::{RawRequest, RawResponse},
    stream_framing::{
      EVENTS, Framing, INTERRUPTED_AFTER, complete, events, is_stream, rest, whole,
    },
  },
  rstest::rstest,
  std::{
    sync::{
      Arc, OnceLock,
      atomic::{AtomicU64, Ordering},
    },
    time::Duration,
  },
};

/// Bytes that are no answer, without the end of a line.
const NOISE: &str = "\u{16}\u{3}\u{1}";
/// Pieces of noise until after the deadline of a stream, and the time between them.
const NOISE_PIECES: usize = 60;
const NOISE_PAUSE: Duration = Duration::from_millis(100);
/// The body of a plain response.
const PLAIN_BODY: &str = "a whole answer";
/// Streams of a service of which each fourth one skips an id.
const MIXED_STREAMS: u64 = 32;
/// Retries of all boxes that allow each end of a test to be checked.
const ROOMY_RETRY_SLACK: f64 = 300.0;

/// A box with a prefill engine and three decode engines of one script.
pub(super) struct Fleet {
  _engines: [EndpointStandIn; 4],
  gateway: GatewayBox,
}

impl Fleet {
  pub(super) async fn start<S>(script: S) -> Self
  where
    S: Fn(&ReceivedRequest) -> Reply + Clone + Send + Sync + 'static,
  {
    let script = move |seen: &ReceivedRequest| match is_stream(seen) {
      true => script(seen),
      false => engine_reply(seen, ""),
    };
    let engines = [
      EndpointStandIn::engine("").await,
      EndpointStandIn::start(script.clone()).await,
      EndpointStandIn::start(script.clone()).await,
      EndpointStandIn::start(script).await,
    ];
    let mut test = GatewayTest::new().await;
    test.retry_slack = ROOMY_RETRY_SLACK;
    test.enter("e-3", "llm", Some("decode"), &engines[2]);
    test.enter("e-4", "llm", Some("decode"), &engines[3]);
    let gateway = test.with_engines(&engines[0], &engines[1]).await;
    Self {
      _engines: engines,
      gateway,
    }
  }

  pub(super) async fn ask(&self, request: RawRequest) -> RawResponse {
    request.send(self.gateway.callers).await.finish().await
  }
}

/// A stream's body in a framing, after which the connection ends where that tells the body's end.
pub(super) fn answer(seen: &ReceivedRequest, framing: Framing, body: &str) -> Reply {
  let text = framing.head(seen, body.len()) + framing.part(body).as_str() + framing.end();
  let end = match framing {
    Framing::Chunks | Framing::Length => ConnectionEnd::Kept,
    Framing::Neither => ConnectionEnd::Closed,
  };
  Reply::WritePieces(vec![text.into_bytes()], end)
}

pub(super) fn begins(seen: &ReceivedRequest) -> bool {
  seen.header("last-event-id").is_empty()
}

/// Guards against sound streams that are damaged or aborted because of fields, blank lines or ids that readers of server-sent events
/// allow.
#[rstest]
#[case::byte_order_mark("\u{feff}data: a\n\ndata: b\n\n")]
#[case::byte_order_mark_before_id("\u{feff}id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::blank_line_at_the_end("id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n")]
#[case::blank_line_between("id: 1\ndata: a\n\n\nid: 2\ndata: b\n\n")]
#[case::crlf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
#[case::lone_carriage_returns("id: 1\rdata: a\r\rid: 2\rdata: b\r\r")]
#[case::several_lines_of_data("id: 1\ndata: a\ndata: HTTP/1.1 200 OK\ndata\n\nid: 2\ndata: b\n\n")]
#[case::heartbeat_with_the_last_id("id: 1\ndata: a\n\nevent: ping\nid: 1\n\nid: 2\ndata: b\n\n")]
#[case::ids_that_are_no_numbers("id: a\ndata: a\n\nid: b\ndata: a\n\n")]
#[case::no_ids("data: a\n\ndata: a\n\ndata: [DONE]\n\n")]
#[case::some_ids("id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n")]
#[tokio::test]
async fn sound_events_are_forwarded_unchanged(
  #[case] body: &'static str,
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
) {
  let script = move |seen: &ReceivedRequest| answer(seen, framing, body);
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new("/stream/a", "r1")).await;
  assert_eq!(response, complete(body.to_owned()));
}

/// Guards against events that are dropped because the caller names an event of another stream where streams always begin anew.
#[tokio::test]
async fn stream_that_may_not_be_resumed_begins_anew_for_a_caller_that_names_an_event() {
  let script = |seen: &ReceivedRequest| answer(seen, Framing::Chunks, &whole());
  let fleet = Fleet::start(script).await;
  let request = RawRequest::new("/stream/a", "r1").header("last-event-id", "3");
  assert_eq!(fleet.ask(request).await, complete(whole()));
}

/// Guards against a damaged event in a stream that looks complete, because bytes that are no answer hide its id.
#[rstest]
#[tokio::test]
async fn event_behind_bytes_that_are_no_answer_is_not_forwarded_damaged(
  #[values(1, 4, EVENTS)] damaged: u64,
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let script = move |seen: &ReceivedRequest| match begins(seen) {
    true => {
      let parts = [
        events(1..=damaged - 1),
        NOISE.into(),
        events(damaged..=EVENTS),
      ];
      answer(seen, framing, &parts.concat())
    }
    false => answer(seen, framing, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new(path, "r1")).await;
  assert!(
    !response.is_complete || response.body == whole(),
    "{response:?}"
  );
}

/// Guards against the head of another answer in an event that an engine has begun.
#[rstest]
#[case::between_lines("id: 4\ndata: e4\n")]
#[case::within_a_line("id: 4\ndata: e")]
#[tokio::test]
async fn head_of_another_answer_within_an_event_is_not_forwarded(
  #[case] begun: &'static str,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let script = move |seen: &ReceivedRequest| match begins(seen) {
    true => {
      let another = Framing::Neither.head(seen, 0) + events(1..=2).as_str();
      let body = events(1..=INTERRUPTED_AFTER) + begun + another.as_str();
      answer(seen, Framing::Neither, &body)
    }
    false => answer(seen, Framing::Chunks, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new(path, "r1")).await;
  assert!(!response.body.contains("HTTP/1.1"), "{response:?}");
  assert!(whole().starts_with(&response.body), "{response:?}");
}

/// Guards against an event that is damaged by the head of another answer within its chunk, which the engine cut off.
#[rstest]
#[tokio::test]
async fn head_of_another_answer_within_a_chunk_is_not_forwarded(
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let script = move |seen: &ReceivedRequest| match begins(seen) {
    true => {
      let another = Framing::Chunks.head(seen, 0) + Reply::stream_chunk(&events(1..=2)).as_str();
      let cut = format!("id: 4\ndata: e{another}{another}");
      let text = Framing::Chunks.head(seen, 0)
        + Reply::stream_chunk(&events(1..=INTERRUPTED_AFTER)).as_str()
        + Reply::stream_chunk(&cut).as_str();
      Reply::WriteAndClose(text)
    }
    false => answer(seen, Framing::Chunks, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new(path, "r1")).await;
  assert!(!response.body.contains("HTTP/1.1"), "{response:?}");
  assert!(whole().starts_with(&response.body), "{response:?}");
}

/// Guards against a stream that is complete without an event, because the engine that left it out was asked to go on and left it out
/// again.
#[tokio::test]
async fn stream_goes_on_at_another_engine_than_the_one_that_left_an_event_out() {
  let faulty = Arc::new(OnceLock::new());
  let script = move |seen: &ReceivedRequest| {
    let engine = seen.header("x-expect-instance").to_owned();
    let is_faulty = *faulty.get_or_init(|| engine.clone()) == engine;
    match (is_faulty, begins(seen)) {
      (true, true) => {
        let sparse = events(1..=3) + events(5..=EVENTS).as_str();
        answer(seen, Framing::Chunks, &sparse)
      }
      (true, false) => answer(seen, Framing::Chunks, &events(5..=EVENTS)),
      (false, _) => answer(seen, Framing::Chunks, &rest(seen)),
    }
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new("/resumable/a", "r1")).await;
  assert_eq!(response, complete(whole()));
}

/// Guards against sound events that are taken for damaged ones because their text is about answers.
#[rstest]
#[case::alone("id: 1\ndata: HTTP/1.1 200 OK\n\n")]
#[case::before_data("data: see HTTP/1.1 404 Not Found\ndata: x-request-id: 7\nid: 1\n\n")]
#[case::before_an_unknown_line("data: as in HTTP/1.1 says\nnote: x\nid: 1\n\n")]
#[tokio::test]
async fn event_whose_text_holds_a_status_line_is_forwarded_unchanged(#[case] body: &'static str) {
  let script = move |seen: &ReceivedRequest| answer(seen, Framing::Chunks, body);
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new("/stream/a", "r1")).await;
  assert_eq!(response, complete(body.to_owned()));
}

/// Guards against an early end that looks complete because the run that checks it sent nothing but bytes that are no answer.
#[rstest]
#[case::no_answer_then_cut_off(Framing::Neither, "\u{16}\u{3}\u{1} no answer\r\n\r\n")]
#[case::no_answer(Framing::Chunks, "\u{16}\u{3}\u{1} no answer\r\n\r\n")]
#[tokio::test]
async fn end_that_a_run_of_noise_checks_does_not_look_complete(
  #[case] framing: Framing,
  #[case] body: &'static str,
) {
  let runs = Arc::new(AtomicU64::new(0));
  let script = move |seen: &ReceivedRequest| match runs.fetch_add(1, Ordering::Relaxed) {
    0 => answer(seen, Framing::Neither, &events(1..=INTERRUPTED_AFTER)),
    1 => answer(seen, framing, body),
    _ => answer(seen, Framing::Chunks, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new("/resumable/a", "r1")).await;
  assert!(
    !response.is_complete || response.body == whole(),
    "{response:?}"
  );
}

/// Guards against sound streams that are aborted for good because few streams of their version skip an id.
#[rstest]
#[tokio::test]
async fn streams_that_seldom_skip_an_id_are_complete_in_the_end(
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let sparse = events(1..=3) + events(5..=EVENTS).as_str();
  let sent = sparse.clone();
  let script = move |seen: &ReceivedRequest| {
    let number: u64 = seen.id().trim_start_matches('r').parse().unwrap();
    match begins(seen) {
      true if number.is_multiple_of(4) => answer(seen, Framing::Chunks, &sent),
      true => answer(seen, Framing::Chunks, &whole()),
      false => answer(seen, Framing::Chunks, &events(5..=EVENTS)),
    }
  };
  let fleet = Fleet::start(script).await;
  let mut last = None;
  for number in 1..=MIXED_STREAMS {
    last = Some(
      fleet
        .ask(RawRequest::new(path, &format!("r{number}")))
        .await,
    );
  }
  assert_eq!(last, Some(complete(sparse)));
}

/// Guards against another answer that is a part of a plain response, because it follows on the same connection.
#[rstest]
#[tokio::test]
async fn answer_behind_a_plain_response_is_no_part_of_it(
  #[values("/safe/a", "/unsafe/a")] path: &str,
) {
  let script = |seen: &ReceivedRequest| {
    let answer = Framing::Neither.head(seen, 0) + PLAIN_BODY;
    Reply::WriteAndClose(answer.repeat(2))
  };
  let endpoint = EndpointStandIn::start(script).await;
  let gateway = GatewayTest::new().await.with_portal(&endpoint).await;
  let response = gateway.ask(path, "r1").await;
  let is_whole = response.body.as_deref() == Ok(PLAIN_BODY);
  assert!(is_whole || !response.status.is_success(), "{response:?}");
}

/// Guards against a stream that waits until its deadline for an engine that sends nothing but bytes that are no answer.
#[tokio::test]
async fn stream_whose_engine_sends_no_more_than_noise_goes_on() {
  let script = |seen: &ReceivedRequest| match begins(seen) {
    true => {
      let framing = Framing::Chunks;
      let begun = framing.head(seen, 0) + framing.part(&events(1..=INTERRUPTED_AFTER)).as_str();
      let noise = framing.part(&format!("{NOISE}\r\n\r\n"));
      let mut parts = vec![(Duration::ZERO, begun)];
      parts.extend((0..NOISE_PIECES).map(|_| (NOISE_PAUSE, noise.clone())));
      Reply::WriteInParts(parts)
    }
    false => answer(seen, Framing::Chunks, &rest(seen)),
  };
  let fleet = Fleet::start(script).await;
  let response = fleet.ask(RawRequest::new("/resumable/a", "r1")).await;
  assert_eq!(response, complete(whole()));
}
