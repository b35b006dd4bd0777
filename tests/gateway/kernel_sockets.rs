//! Streams over sockets whose ends the kernel tells in its own way: an error is told once, and a read after it ends as after a close; a
//! reset may follow the last bytes; a process that ends closes its sockets at once, and resets those that hold unread bytes.
//! A caller gets no event twice and none of another run, and no end that looks complete before the last event.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply,
    endpoint::engine_reply,
    raw_caller::{RawCaller, RawRequest, RawResponse},
    socket_engine::{BodyRead, EndTime, SocketAnswer, SocketEnd, SocketEngine, Successor},
    stream_framing::{
      Framing, INTERRUPTED_AFTER, broken_off, complete, events, is_stream, rest, whole,
    },
  },
  futures_util::future::{join, join_all},
  rstest::rstest,
  std::{
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
  },
  tokio::time::sleep,
};

/// Streams that run at one engine when it ends.
const STREAMS_AT_ONCE: usize = 5;
/// Retries of all boxes that allow each end of a test to be checked.
const ROOMY_RETRY_SLACK: f64 = 300.0;
/// The longest prompt that a box takes, which the kernel's buffers do not hold.
const LONG_PROMPT: &[u8] = &[b'p'; 65_536];
/// A box that holds some long streams.
const BOX_MB: u64 = 260;
/// A long stream, whose events the kernel's buffers do not hold.
const LONG_EVENTS: u64 = 600;
const LONG_EVENT_BYTES: usize = 16 * 1024;
/// The last event that a caller has read of a long stream.
const READ_EVENT: u64 = 3;
/// The box has filled the buffers of a caller that does not read.
const BOX_BLOCKED: Duration = Duration::from_millis(500);

/// How much of a stream an engine sends before its connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
  /// Up to within an event.
  WithinEvent,
  /// Up to an event before the last one.
  BetweenEvents,
  /// All events, without the end of the body.
  AllEvents,
  /// All of it.
  Whole,
}

impl Part {
  /// The bytes of an answer.
  fn of(self, seen: &ReceivedRequest, framing: Framing) -> Vec<u8> {
    let begun = format!("id: {}\ndata: e", INTERRUPTED_AFTER + 1);
    let (body, end) = match self {
      Self::WithinEvent => {
        let body = framing.part(&events(1..=INTERRUPTED_AFTER));
        (body + framing.part(&begun).as_str(), "")
      }
      Self::BetweenEvents => (framing.part(&events(1..=INTERRUPTED_AFTER)), ""),
      Self::AllEvents => (framing.part(&whole()), ""),
      Self::Whole => (framing.part(&whole()), framing.end()),
    };
    (framing.head(seen, 0) + body.as_str() + end).into_bytes()
  }

  /// The events that it has.
  fn events(self) -> String {
    match self {
      Self::WithinEvent | Self::BetweenEvents => events(1..=INTERRUPTED_AFTER),
      Self::AllEvents | Self::Whole => whole(),
    }
  }
}

/// An answer that stays open for the next request.
fn kept(seen: &ReceivedRequest) -> SocketAnswer {
  SocketAnswer {
    body_read: BodyRead::Whole,
    end: SocketEnd::Kept,
    end_time: EndTime::AtOnce,
    writes: vec![(Framing::Chunks.head(seen, 0) + rest_in_chunks(seen).as_str()).into_bytes()],
  }
}

fn rest_in_chunks(seen: &ReceivedRequest) -> String {
  let rest = rest(seen);
  let chunk = match rest.is_empty() {
    true => String::new(),
    false => Framing::Chunks.part(&rest),
  };
  chunk + Framing::Chunks.end()
}

/// A box with a prefill engine and two decode engines.
struct Fleet {
  gateway: GatewayBox,
  engines: [SocketEngine; 2],
  _prefill: EndpointStandIn,
}

impl Fleet {
  /// Two engines that answer a stream alike, and bring the rest of one that was interrupted.
  async fn start<S>(begins: S) -> Self
  where
    S: Fn(&ReceivedRequest) -> SocketAnswer + Clone + Send + Sync + 'static,
  {
    Self::start_with_successor(begins, None).await
  }

  async fn start_with_successor<S>(begins: S, successor: Option<Successor>) -> Self
  where
    S: Fn(&ReceivedRequest) -> SocketAnswer + Clone + Send + Sync + 'static,
  {
    // The other engine runs on when the one that began the first stream ends.
    let owner = Arc::new(AtomicUsize::new(0));
    let script = move |seen: &ReceivedRequest, engine: usize| {
      if !seen.header("last-event-id").is_empty() {
        return kept(seen);
      }
      let claimed = owner.compare_exchange(0, engine, Ordering::Relaxed, Ordering::Relaxed);
      match claimed.is_ok() || claimed == Err(engine) {
        true => begins(seen),
        false => kept(seen),
      }
    };
    let prefill = EndpointStandIn::engine("").await;
    let one = script.clone();
    let engines = [
      SocketEngine::start(move |seen| one(seen, 1), successor.clone()).await,
      SocketEngine::start(move |seen| script(seen, 2), successor).await,
    ];
    let mut test = GatewayTest::new().await;
    test.retry_slack = ROOMY_RETRY_SLACK;
    test.enter("e-1", "llm", Some("prefill"), &prefill);
    for (id, engine) in ["e-2", "e-3"].into_iter().zip(&engines) {
      test.enter_at(id, "llm", Some("decode"), engine.address, "ready");
    }
    let gateway = test.start().await;
    Self {
      _prefill: prefill,
      engines,
      gateway,
    }
  }

  async fn ask(&self, path: &str) -> RawResponse {
    self.send(path, 1).await.finish().await
  }

  async fn send(&self, path: &str, number: usize) -> RawCaller {
    let request = RawRequest::new(path, &format!("r{number}"));
    request.send(self.gateway.callers).await
  }

  fn end_engines(&self) {
    for engine in &self.engines {
      engine.end();
    }
  }
}

/// Checks that a response has nothing twice or left out, and does not look complete before its last event.
fn assert_is_sound(response: &RawResponse, whole: &str) {
  let RawResponse {
    body, is_complete, ..
  } = response;
  assert!(whole.starts_with(body.as_str()), "{response:?}");
  assert!(!is_complete || body == whole, "{response:?}");
}

/// Guards against a reset, which is told once, that looks like an end.
#[rstest]
#[tokio::test]
async fn stream_whose_engine_resets_it_does_not_look_complete(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(Part::WithinEvent, Part::BetweenEvents, Part::AllEvents, Part::Whole)] part: Part,
  #[values(EndTime::AtOnce, EndTime::WhenTold)] end_time: EndTime,
  #[values(BodyRead::Whole, BodyRead::Not)] body_read: BodyRead,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let fleet = Fleet::start(move |seen: &ReceivedRequest| SocketAnswer {
    body_read,
    end: SocketEnd::Reset,
    end_time,
    writes: vec![part.of(seen, framing)],
  })
  .await;
  let mut caller = fleet.send(path, 1).await;
  caller.read_until(&events(1..=1)).await;
  fleet.end_engines();
  let response = caller.finish().await;
  // Only the last chunk tells an end before a reset.
  let is_whole = part == Part::Whole && framing == Framing::Chunks;
  let expected = match is_whole || path.starts_with("/resumable/") {
    true => complete(whole()),
    false => broken_off(part.events()),
  };
  assert_eq!(response, expected);
}

/// Guards against an end that looks complete because an engine closes a connection with unread bytes, which resets it.
#[rstest]
#[tokio::test]
async fn stream_whose_engine_closes_it_with_its_request_unread_does_not_look_complete(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(Part::WithinEvent, Part::BetweenEvents, Part::Whole)] part: Part,
  #[values(EndTime::AtOnce, EndTime::WhenTold)] end_time: EndTime,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let fleet = Fleet::start(move |seen: &ReceivedRequest| SocketAnswer {
    body_read: BodyRead::Not,
    end: SocketEnd::Closed,
    end_time,
    writes: vec![part.of(seen, framing)],
  })
  .await;
  let mut caller = fleet.send(path, 1).await;
  caller.read_until(&events(1..=1)).await;
  fleet.end_engines();
  let response = caller.finish().await;
  assert_is_sound(&response, &whole());
  if path.starts_with("/resumable/") {
    assert_eq!(response, complete(whole()));
  }
}

/// Guards against an end that looks complete because the write of a long request, which its engine does not read, takes the error of a
/// reset before a read does.
#[rstest]
#[tokio::test]
async fn stream_whose_engine_resets_it_during_the_write_of_its_request_does_not_look_complete(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(Part::BetweenEvents, Part::AllEvents)] part: Part,
  #[values(SocketEnd::Closed, SocketEnd::Reset)] end: SocketEnd,
  #[values(EndTime::AtOnce, EndTime::WhenTold)] end_time: EndTime,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let fleet = Fleet::start(move |seen: &ReceivedRequest| SocketAnswer {
    body_read: BodyRead::Not,
    end,
    end_time,
    writes: vec![part.of(seen, framing)],
  })
  .await;
  let mut request = fleet.gateway.request(path, "r1");
  *request.body_mut() = LONG_PROMPT.into();
  let (response, ()) = join(fleet.gateway.send(request), async {
    sleep(BOX_BLOCKED).await;
    fleet.end_engines();
  })
  .await;
  match (path, response.body) {
    ("/stream/a", body) => assert!(body.is_err(), "{body:?}"),
    (_, body) => assert_eq!(body, Ok(whole())),
  }
}

/// Guards against an end that looks complete, or two runs in one stream, because the process of an engine ends with all of its sockets
/// at once.
#[rstest]
#[tokio::test]
async fn streams_whose_engine_dies_do_not_look_complete(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(Part::WithinEvent, Part::BetweenEvents, Part::AllEvents, Part::Whole)] part: Part,
  #[values(BodyRead::Whole, BodyRead::Not)] body_read: BodyRead,
  #[values("/stream/a", "/resumable/a")] path: &str,
  #[values(1, STREAMS_AT_ONCE)] streams: usize,
) {
  let fleet = Fleet::start(move |seen: &ReceivedRequest| SocketAnswer {
    body_read,
    end: SocketEnd::Died,
    end_time: EndTime::WhenTold,
    writes: vec![part.of(seen, framing)],
  })
  .await;
  let mut callers = Vec::new();
  for number in 1..=streams {
    let mut caller = fleet.send(path, number).await;
    caller.read_until(&events(1..=1)).await;
    callers.push(caller);
  }
  fleet.end_engines();
  for response in join_all(callers.into_iter().map(RawCaller::finish)).await {
    assert_is_sound(&response, &whole());
    if path.starts_with("/resumable/") {
      assert_eq!(response, complete(whole()));
    }
  }
}

/// How the bytes of an answer are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Writes {
  /// All at once, and the end of the connection with them.
  One,
  /// One byte at a time.
  Bytes,
}

/// Guards against bytes of a second answer in a stream, or events that are lost, where the last event, the end of the body, a second
/// answer and the end of the connection come together.
#[rstest]
#[tokio::test]
async fn second_answer_behind_the_end_of_a_stream_is_not_forwarded(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(Framing::Chunks, Framing::Neither)] second: Framing,
  #[values(Writes::One, Writes::Bytes)] writes: Writes,
  #[values(SocketEnd::Closed, SocketEnd::Reset, SocketEnd::Died)] end: SocketEnd,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let fleet = Fleet::start(move |seen: &ReceivedRequest| {
    let mut bytes = Part::Whole.of(seen, framing);
    let another = second.head(seen, 0).replace(seen.id(), "another");
    bytes.extend(another.into_bytes());
    bytes.extend(second.part(&events(1..=2)).into_bytes());
    SocketAnswer {
      body_read: BodyRead::Whole,
      end,
      end_time: EndTime::AtOnce,
      writes: match writes {
        Writes::One => vec![bytes],
        Writes::Bytes => bytes.into_iter().map(|byte| vec![byte]).collect(),
      },
    }
  })
  .await;
  let response = fleet.ask(path).await;
  assert_is_sound(&response, &whole());
  if framing == Framing::Chunks || path.starts_with("/resumable/") {
    assert_eq!(response, complete(whole()));
  }
}

/// Guards against events of another process, which listens at the address of an engine that has just ended, in the engine's streams.
#[rstest]
#[tokio::test]
async fn stream_has_no_events_of_the_next_process_at_the_address_of_its_engine(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(Part::WithinEvent, Part::BetweenEvents)] part: Part,
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let successor: Successor = Arc::new(|seen: &ReceivedRequest| {
    if !seen.header("x-expect-instance").is_empty() {
      return Reply::Write(format!(
        "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        seen.id()
      ));
    }
    match is_stream(seen) {
      true => Reply::stream(seen, &rest(seen).replace("data: e", "data: another e")),
      false => Reply::status(seen, "400 Bad Request", ""),
    }
  });
  let begins = move |seen: &ReceivedRequest| SocketAnswer {
    body_read: BodyRead::Whole,
    end: SocketEnd::Died,
    end_time: EndTime::WhenTold,
    writes: vec![part.of(seen, framing)],
  };
  let fleet = Fleet::start_with_successor(begins, Some(successor)).await;
  let mut callers = Vec::new();
  for number in 1..=STREAMS_AT_ONCE {
    let mut caller = fleet.send(path, number).await;
    caller.read_until(&events(1..=1)).await;
    callers.push(caller);
  }
  fleet.end_engines();
  for response in join_all(callers.into_iter().map(RawCaller::finish)).await {
    assert_is_sound(&response, &whole());
    if path.starts_with("/resumable/") {
      assert_eq!(response, complete(whole()));
    }
  }
}

/// Long events, which tell their numbers.
fn long_events(after: u64) -> String {
  let data = "x".repeat(LONG_EVENT_BYTES);
  (after + 1..=LONG_EVENTS)
    .map(|id| format!("id: {id}\ndata: {id} {data}\n\n"))
    .collect()
}

/// A box with two decode engines that write long streams.
async fn long_streams(
  framing: Framing,
  memory_mb: Option<u64>,
) -> (GatewayBox, [EndpointStandIn; 3]) {
  let script = move |seen: &ReceivedRequest| {
    if !is_stream(seen) {
      return engine_reply(seen, "");
    }
    let after = seen.header("last-event-id").parse().unwrap_or(0);
    let head = framing.head(seen, 0);
    let body = framing.part(&long_events(after));
    match framing {
      Framing::Chunks => Reply::Write(head + body.as_str() + framing.end()),
      Framing::Length | Framing::Neither => Reply::WriteAndClose(head + body.as_str()),
    }
  };
  let engines = [
    EndpointStandIn::engine("").await,
    EndpointStandIn::start(script).await,
    EndpointStandIn::start(script).await,
  ];
  let mut test = GatewayTest::new().await;
  test.memory_mb = memory_mb;
  test.retry_slack = ROOMY_RETRY_SLACK;
  let test = test.configure(|configuration| {
    for route in [2, 3] {
      configuration["routes"][route]["timeoutMs"] = 120_000.into();
    }
  });
  test.enter("e-3", "llm", Some("decode"), &engines[2]);
  let gateway = test.with_engines(&engines[0], &engines[1]).await;
  (gateway, engines)
}

fn long_request(path: &str, id: &str) -> RawRequest {
  RawRequest::with_tokens(path, id, LONG_EVENTS * 2)
}

/// Guards against a stream that looks complete because its box is killed while the caller has bytes of it unread.
#[rstest]
#[tokio::test]
async fn stream_of_a_killed_box_does_not_look_complete(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values("/stream/a", "/resumable/a")] path: &str,
  #[values(true, false)] has_small_buffer: bool,
  #[values(None, Some(BOX_MB))] memory_mb: Option<u64>,
) {
  let (mut gateway, _engines) = long_streams(framing, memory_mb).await;
  let request = long_request(path, "r1");
  let request = match has_small_buffer {
    true => request.small_buffer(),
    false => request,
  };
  let mut caller = request.send(gateway.callers).await;
  caller.read_until("id: 1\n").await;
  sleep(BOX_BLOCKED).await;
  gateway.process.kill().unwrap();
  gateway.process.wait().unwrap();
  let response = caller.finish().await;
  assert!(!response.is_complete);
  assert!(long_events(0).starts_with(&response.body));
}

/// What a caller does with its first request when it takes the stream up on another connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstRequest {
  /// It has been reset.
  Reset,
  /// It is reset while the second one is answered.
  ResetLater,
  /// It is read to its end, too.
  Read,
}

/// Guards against events that come twice or not at all where a caller takes a stream up while the box is blocked in a write of the
/// first answer.
#[rstest]
#[tokio::test]
async fn stream_that_is_taken_up_while_the_box_writes_the_first_answer_has_each_event_once(
  #[values(Framing::Chunks, Framing::Neither)] framing: Framing,
  #[values(FirstRequest::Reset, FirstRequest::ResetLater, FirstRequest::Read)] first: FirstRequest,
  #[values(None, Some(BOX_MB))] memory_mb: Option<u64>,
) {
  let (gateway, _engines) = long_streams(framing, memory_mb).await;
  let request = long_request("/resumable/a", "r1");
  let request = match first {
    // Reads too slowly with a small one.
    FirstRequest::Read => request,
    FirstRequest::Reset | FirstRequest::ResetLater => request.small_buffer(),
  };
  let mut former = Some(request.send(gateway.callers).await);
  let read = format!("id: {READ_EVENT}\n");
  former.as_mut().unwrap().read_until(&read).await;
  sleep(BOX_BLOCKED).await;
  if first == FirstRequest::Reset {
    former = None;
  }
  let request = long_request("/resumable/a", "r2")
    .header("last-event-id", &READ_EVENT.to_string())
    .header("resumes", "r1");
  let mut caller = request.send(gateway.callers).await;
  let next = format!("id: {}\n", READ_EVENT + 1);
  caller.read_until(&next).await;
  if first == FirstRequest::ResetLater {
    former = None;
  }
  let response = caller.finish().await;
  assert_eq!(response.status, 200);
  assert!(response.body == long_events(READ_EVENT) && response.is_complete);
  if let Some(former) = former {
    let response = former.finish().await;
    assert!(long_events(0).starts_with(&response.body));
    // A box whose memory is not bounded closes the connection of a caller that pauses for long.
    let is_whole = response.is_complete && response.body == long_events(0);
    assert!(is_whole || memory_mb.is_none() && !response.is_complete);
  }
}
