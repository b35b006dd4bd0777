//! Endpoints that answer a call once more, where the answer to a later call on the connection should be. An answer belongs to one
//! call: it is in no other caller's response, and neither a slot, a prompt nor a report is taken from it.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::listed_start, harness::CallerResponse,
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
  },
};

/// Requests of one test.
const REQUESTS: u64 = 6;
/// The start that engines are listed with.
pub(super) const LISTED_START_MS: u64 = 7;
/// The number of an engine's start.
const LISTED_START: u64 = 1;
/// Time from an answer that comes again to the one that is due.
pub(super) const OWN_ANSWER_DELAY: Duration = Duration::from_millis(50);
/// Until a changed entry has reached the box.
const ENTRY_DELAY: Duration = Duration::from_millis(500);

/// What a request to an endpoint is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum CallKind {
  Listing,
  Plain,
  Prefill,
  Release,
  Report,
  Reservation,
  RoleCommand,
  Stream,
}

impl CallKind {
  pub(super) fn of(seen: &ReceivedRequest) -> Self {
    match seen.path.as_str() {
      "/hold-take" => Self::Reservation,
      "/kv-list" => Self::Listing,
      "/order" => Self::RoleCommand,
      "/report" => Self::Report,
      _ if seen.method == "DELETE" => Self::Release,
      _ if seen.is_prefill() => Self::Prefill,
      path if path.starts_with("/safe/") || path.starts_with("/unsafe/") => Self::Plain,
      _ => Self::Stream,
    }
  }
}

/// An endpoint's answer: a head that repeats the call's id, where it has one, and a body of the given type.
fn answer(seen: &ReceivedRequest, status: &str, content_type: &str, body: &str) -> String {
  let id = match seen.id() {
    "" => String::new(),
    id => format!("x-request-id: {id}\r\n"),
  };
  format!(
    "HTTP/1.1 {status}\r\n{id}x-response-seal: s\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}",
    body.len()
  )
}

fn json_answer(seen: &ReceivedRequest, body: &str) -> String {
  answer(seen, "200 OK", "application/json", body)
}

fn events(number: u64) -> String {
  (1..=3)
    .map(|event| format!("id: {event}\ndata: answer {number}\n\n"))
    .collect()
}

fn report(started_ms: u64) -> String {
  format!(r#"{{"callSeq":0,"utilization":false,"born":{started_ms}}}"#)
}

/// Answers each call with a number of its own, and some of one kind once more right before the answer to a later call on the same
/// connection.
pub(super) struct Repeater {
  repeated: CallKind,
  before: CallKind,
  started_ms: u64,
  answers: AtomicU64,
  /// By connection, the answer that comes again.
  pending: Mutex<HashMap<SocketAddr, String>>,
  /// Calls before which an answer could come once more; it does before every other one.
  chances: AtomicU64,
}

impl Repeater {
  pub(super) fn new(repeated: CallKind, before: CallKind) -> Self {
    Self {
      answers: AtomicU64::new(0),
      before,
      chances: AtomicU64::new(0),
      pending: Mutex::default(),
      repeated,
      started_ms: LISTED_START_MS,
    }
  }

  /// The number of answers that came once more.
  fn sent_again(&self) -> u64 {
    self.chances.load(Ordering::Relaxed).div_ceil(2)
  }

  pub(super) fn own_answer(&self, seen: &ReceivedRequest) -> String {
    let number = self.answers.fetch_add(1, Ordering::Relaxed);
    match CallKind::of(seen) {
      CallKind::Plain => answer(seen, "200 OK", "text/plain", &format!("answer {number}")),
      CallKind::Listing => json_answer(seen, r#"{"epoch":1,"held":[]}"#),
      CallKind::Prefill => json_answer(
        seen,
        &format!(r#"{{"promptHandle":"e{number}","tokens":100,"version":1}}"#),
      ),
      CallKind::Release => json_answer(seen, ""),
      CallKind::Report => json_answer(seen, &report(self.started_ms)),
      CallKind::Reservation => json_answer(seen, &format!(r#"{{"hold":"h{number}"}}"#)),
      CallKind::RoleCommand => answer(seen, "202 Accepted", "application/json", ""),
      CallKind::Stream => answer(seen, "200 OK", "text/event-stream", &events(number)),
    }
  }

  /// The answer to a call, with the one that comes again before it.
  fn reply(&self, seen: &ReceivedRequest) -> Reply {
    let own = self.own_answer(seen);
    self.reply_with(seen, own)
  }

  fn reply_with(&self, seen: &ReceivedRequest, own: String) -> Reply {
    let kind = CallKind::of(seen);
    let mut pending = self.pending.lock().unwrap();
    let former = if kind == self.before {
      pending.remove(&seen.connection)
    } else {
      None
    };
    if kind == self.repeated {
      pending.insert(seen.connection, own.clone());
    }
    let is_due = |_: &String| {
      self
        .chances
        .fetch_add(1, Ordering::Relaxed)
        .is_multiple_of(2)
    };
    let Some(again) = former.filter(is_due) else {
      return Reply::Write(own);
    };
    Reply::WriteInTwoParts(again, OWN_ANSWER_DELAY, own)
  }
}

/// An endpoint that answers some calls once more.
async fn start(repeater: &Arc<Repeater>) -> EndpointStandIn {
  let repeater = repeater.clone();
  EndpointStandIn::start(move |seen| repeater.reply(seen)).await
}

/// A box with a prefill engine and a decode engine, which is listed with its start.
pub(super) async fn start_box(prefill: &EndpointStandIn, decode: &EndpointStandIn) -> GatewayBox {
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), prefill);
  test.enter_version_started("e-2", decode, "v1", LISTED_START_MS);
  test.start().await
}

/// Asks for streams one after another, at routes with and without resumption in turn.
async fn ask_for_streams(gateway: &GatewayBox) -> Vec<CallerResponse> {
  let mut responses = Vec::new();
  for number in 0..REQUESTS {
    let path = ["/stream/a", "/resumable/a"][number as usize % 2];
    responses.push(gateway.ask(path, &format!("r{number}")).await);
  }
  responses
}

/// The values of a header in the streams that an endpoint received.
fn stream_headers(endpoint: &EndpointStandIn, name: &str) -> Vec<String> {
  let streams = endpoint.requests().into_iter();
  let values = streams.map(|seen| seen.header(name).to_owned());
  values.filter(|value| !value.is_empty()).collect()
}

pub(super) fn assert_distinct(values: &[String]) {
  let distinct: HashSet<&String> = values.iter().collect();
  assert_eq!(distinct.len(), values.len(), "{values:?}");
}

/// Guards against a slot, a prompt or a stream that is taken from the answer to an earlier call on the connection.
#[rstest]
#[case::stream_for_a_reservation(CallKind::Stream, CallKind::Reservation)]
#[case::stream_for_a_report(CallKind::Stream, CallKind::Report)]
#[case::stream_for_a_stream(CallKind::Stream, CallKind::Stream)]
#[case::reservation_for_a_reservation(CallKind::Reservation, CallKind::Reservation)]
#[case::reservation_for_a_report(CallKind::Reservation, CallKind::Report)]
#[case::reservation_for_a_stream(CallKind::Reservation, CallKind::Stream)]
#[case::report_for_a_reservation(CallKind::Report, CallKind::Reservation)]
#[case::report_for_a_stream(CallKind::Report, CallKind::Stream)]
#[tokio::test]
async fn answer_that_comes_again_is_no_answer_to_another_call_at_a_decode_engine(
  #[case] repeated: CallKind,
  #[case] before: CallKind,
) {
  let prefill = EndpointStandIn::engine("").await;
  let repeater = Arc::new(Repeater::new(repeated, before));
  let decode = start(&repeater).await;
  let gateway = start_box(&prefill, &decode).await;
  let responses = ask_for_streams(&gateway).await;
  assert!(repeater.sent_again() > 0);
  let mut bodies = Vec::new();
  for response in responses {
    if response.status == StatusCode::OK {
      bodies.push(response.body.unwrap());
    }
  }
  assert!(!bodies.is_empty());
  assert!(bodies.iter().all(|body| body.starts_with("id: 1\n")));
  assert_distinct(&bodies);
  assert_distinct(&stream_headers(&decode, "x-hold"));
}

/// Guards against a prompt that is taken from the answer to an earlier prefill, or to the release of one.
#[rstest]
#[case::prefill_for_a_prefill(CallKind::Prefill, CallKind::Prefill)]
#[case::release_for_a_prefill(CallKind::Release, CallKind::Prefill)]
#[tokio::test]
async fn answer_that_comes_again_is_no_answer_to_another_prefill(
  #[case] repeated: CallKind,
  #[case] before: CallKind,
) {
  let repeater = Arc::new(Repeater::new(repeated, before));
  let prefill = start(&repeater).await;
  // Rejects every stream, so that prompts are released.
  let decode = EndpointStandIn::start(|seen| match CallKind::of(seen) {
    CallKind::Report => Reply::Write(json_answer(seen, &report(LISTED_START_MS))),
    CallKind::Reservation => Reply::Write(json_answer(seen, r#"{"hold":"h"}"#)),
    _ => Reply::not_run(seen),
  })
  .await;
  let gateway = start_box(&prefill, &decode).await;
  ask_for_streams(&gateway).await;
  assert!(repeater.sent_again() > 0);
  assert_distinct(&stream_headers(&decode, "x-kv-source"));
}

/// Guards against a stream at an engine that has restarted, since the answer to an earlier call on the connection passes for its
/// report.
#[rstest]
#[case::reservation(CallKind::Reservation)]
#[case::stream(CallKind::Stream)]
#[tokio::test]
async fn start_is_not_confirmed_by_the_answer_to_another_call(#[case] repeated: CallKind) {
  let prefill = EndpointStandIn::engine("").await;
  let repeater = Arc::new(Repeater {
    started_ms: LISTED_START_MS + 1,
    ..Repeater::new(repeated, CallKind::Report)
  });
  let restarted = start(&repeater).await;
  let gateway = start_box(&prefill, &restarted).await;
  // A stream that may not be resumed needs no report.
  assert_eq!(gateway.ask("/stream/a", "r0").await.status, StatusCode::OK);
  gateway.ask("/resumable/a", "r1").await;
  assert!(repeater.sent_again() > 0);
  let ran = restarted.requests();
  assert!(ran.iter().all(|seen| seen.path == "/stream/a"), "{ran:?}");
}

/// Guards against a prefill's answer in the place of a stream, at an engine that has prefilled the prompt and then decodes it.
#[rstest]
#[tokio::test]
async fn prefill_is_no_answer_to_the_stream_of_the_same_request(
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let started_ms = listed_start(LISTED_START);
  let repeater = Arc::new(Repeater {
    started_ms,
    ..Repeater::new(CallKind::Prefill, CallKind::Stream)
  });
  let both = start(&repeater).await;
  let test = GatewayTest::new().await;
  let store = test.store.clone();
  let address = both.address;
  let changes_role = move |seen: &ReceivedRequest| match CallKind::of(seen) {
    CallKind::Report => Reply::Write(json_answer(seen, &report(started_ms))),
    CallKind::Reservation => Reply::Write(json_answer(seen, r#"{"hold":"h"}"#)),
    CallKind::Release => Reply::Write(json_answer(seen, "")),
    _ => {
      GatewayTest::enter_incarnation(&store, "e-1", "decode", address, LISTED_START);
      let Reply::Write(rejection) = Reply::not_run(seen) else {
        unreachable!()
      };
      Reply::WriteLater(ENTRY_DELAY, rejection)
    }
  };
  let rejecting = EndpointStandIn::start(changes_role).await;
  GatewayTest::enter_incarnation(&test.store, "e-1", "prefill", address, LISTED_START);
  GatewayTest::enter_incarnation(
    &test.store,
    "e-2",
    "decode",
    rejecting.address,
    LISTED_START,
  );
  let gateway = test.start().await;
  let response = gateway.ask(path, "r1").await;
  let kinds: HashSet<CallKind> = both.received().iter().map(CallKind::of).collect();
  assert!(kinds.contains(&CallKind::Prefill) && kinds.contains(&CallKind::Stream));
  assert_eq!(response.status, StatusCode::OK);
  assert!(response.body.unwrap().starts_with("id: 1\n"));
}

/// Guards against the answer to a former request in the place of a later one's, also where a caller uses an id again.
#[rstest]
#[tokio::test]
async fn answer_that_comes_again_is_no_answer_to_another_request(
  #[values("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a")] path: &str,
  #[values(false, true)] is_same_id: bool,
) {
  let kind = match path {
    "/safe/a" | "/unsafe/a" => CallKind::Plain,
    _ => CallKind::Stream,
  };
  let prefill = EndpointStandIn::engine("").await;
  let repeater = Arc::new(Repeater::new(kind, kind));
  let endpoint = start(&repeater).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &endpoint);
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter_version_started("e-2", &endpoint, "v1", LISTED_START_MS);
  let gateway = test.start().await;
  let mut bodies = Vec::new();
  for number in 0..REQUESTS {
    let id = if is_same_id {
      "r0".into()
    } else {
      format!("r{number}")
    };
    let response = gateway.ask(path, &id).await;
    if response.status == StatusCode::OK {
      bodies.push(response.body.unwrap());
    }
  }
  assert!(!bodies.is_empty());
  assert!(bodies.iter().all(|body| body.contains("answer")));
  assert_distinct(&bodies);
}

/// Guards against a rejection that is taken for the answer to the same request when it is sent to its engine again.
#[rstest]
#[tokio::test]
async fn rejection_that_comes_again_is_no_answer_to_the_next_try(
  #[values("/stream/a", "/resumable/a")] path: &str,
) {
  let prefill = EndpointStandIn::engine("").await;
  let repeater = Arc::new(Repeater::new(CallKind::Stream, CallKind::Stream));
  let rejects = AtomicBool::new(true);
  let script = repeater.clone();
  let decode = EndpointStandIn::start(move |seen| {
    if CallKind::of(seen) != CallKind::Stream || !rejects.swap(false, Ordering::Relaxed) {
      return script.reply(seen);
    }
    let Reply::Write(rejection) = Reply::not_run(seen) else {
      unreachable!()
    };
    script.reply_with(seen, rejection)
  })
  .await;
  let gateway = start_box(&prefill, &decode).await;
  let is_served = async || gateway.ask(path, "r1").await.status == StatusCode::OK;
  assert!(eventually(TIMEOUT, is_served).await);
  let streams = decode.requests();
  assert_eq!(streams.len(), 2, "{streams:?}");
}

/// Guards against calls of the box's own whose answers can't be told from one another.
#[tokio::test]
async fn own_calls_to_engines_have_ids_of_their_own() {
  let prefill = EndpointStandIn::engine("").await;
  let decode = start(&Arc::new(Repeater::new(CallKind::Plain, CallKind::Plain))).await;
  let gateway = start_box(&prefill, &decode).await;
  ask_for_streams(&gateway).await;
  let received = decode.received();
  let kinds: HashSet<CallKind> = received.iter().map(CallKind::of).collect();
  assert!(kinds.contains(&CallKind::Report) && kinds.contains(&CallKind::Reservation));
  let own = received
    .iter()
    .filter(|seen| CallKind::of(seen) != CallKind::Stream);
  let ids: Vec<String> = own.map(|seen| seen.id().to_owned()).collect();
  assert!(ids.iter().all(|id| !id.is_empty()));
  assert_distinct(&ids);
}

/// Guards against an engine that gets no streams as it repeats the ids of callers' requests alone.
#[tokio::test]
async fn engine_that_repeats_no_id_of_an_own_call_serves_streams() {
  let prefill = EndpointStandIn::engine("").await;
  let decode = EndpointStandIn::start(|seen| {
    let unnamed = ReceivedRequest {
      headers: HashMap::new(),
      ..seen.clone()
    };
    Reply::Write(match CallKind::of(seen) {
      CallKind::Report => json_answer(&unnamed, &report(LISTED_START_MS)),
      CallKind::Reservation => json_answer(&unnamed, r#"{"hold":"h"}"#),
      _ => answer(seen, "200 OK", "text/event-stream", &events(0)),
    })
  })
  .await;
  let gateway = start_box(&prefill, &decode).await;
  for response in ask_for_streams(&gateway).await {
    assert_eq!(response.body.unwrap(), events(0));
  }
}
