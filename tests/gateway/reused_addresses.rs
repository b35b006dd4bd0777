//! The address of an engine that is gone is given to an endpoint of another service, which runs each request that has an id and does
//! not name another endpoint. Boxes learn of it later, or not at all while the store is silent.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::engine_reply,
    extra_answers::{CallKind, LISTED_START_MS},
    harness::CallerResponse,
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  std::{
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

/// The endpoint that has the address now.
const OTHER_ENDPOINT: &str = "p-9";
/// Requests of one test.
const REQUESTS: usize = 6;
/// Calls in the background have been sent by then.
const BACKGROUND_CALLS: Duration = Duration::from_millis(300);
/// Longer than the first backoff from an endpoint that was lost.
const AFTER_BACKOFF: Duration = Duration::from_millis(1_000);
/// Less than a displacement lasts without a change of the entry.
const MOVED_TIMEOUT: Duration = Duration::from_secs(15);
/// A change of the store has reached the box.
const ENTRY_DELAY: Duration = Duration::from_millis(500);
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// An address that an engine leaves, and what the endpoint of another service has run there since.
#[derive(Default)]
struct ReusedAddress {
  is_given_on: Mutex<bool>,
  ran: Mutex<Vec<ReceivedRequest>>,
}

impl ReusedAddress {
  /// An engine whose address is given on once it has answered the first call of a kind; without one, it already is.
  async fn start(last_answered: Option<CallKind>) -> (Arc<Self>, EndpointStandIn) {
    let reused = Arc::new(Self {
      is_given_on: Mutex::new(last_answered.is_none()),
      ran: Mutex::default(),
    });
    let script = reused.clone();
    let endpoint = EndpointStandIn::start(move |seen| script.reply(seen, last_answered)).await;
    (reused, endpoint)
  }

  fn reply(&self, seen: &ReceivedRequest, last_answered: Option<CallKind>) -> Reply {
    let mut is_given_on = self.is_given_on.lock().unwrap();
    if *is_given_on {
      return self.run(seen);
    }
    *is_given_on = last_answered == Some(CallKind::of(seen));
    engine_reply(seen, EVENTS)
  }

  /// What an endpoint of another service does with a request.
  fn run(&self, seen: &ReceivedRequest) -> Reply {
    let expected = seen.header("x-expect-instance");
    if !expected.is_empty() && expected != OTHER_ENDPOINT {
      return misdirected(seen);
    }
    if seen.id().is_empty() {
      return Reply::status(seen, "400 Bad Request", "");
    }
    self.ran.lock().unwrap().push(seen.clone());
    Reply::ok(seen, "the answer of another service")
  }

  fn ran(&self) -> Vec<String> {
    let ran = self.ran.lock().unwrap();
    let text = |seen: &ReceivedRequest| format!("{} {} {}", seen.method, seen.path, seen.id());
    ran.iter().map(text).collect()
  }
}

fn misdirected(seen: &ReceivedRequest) -> Reply {
  Reply::Write(format!(
    "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    seen.id()
  ))
}

/// Asks for streams one after another; with a last event, each resumes one.
async fn ask(gateway: &GatewayBox, path: &str, last_event: Option<&str>) -> Vec<CallerResponse> {
  let mut responses = Vec::new();
  for number in 0..REQUESTS {
    let mut request = gateway.request(path, &format!("r{number}"));
    if let Some(last_event) = last_event {
      let value = last_event.parse().unwrap();
      request.headers_mut().insert("last-event-id", value);
    }
    responses.push(gateway.send(request).await);
  }
  sleep(BACKGROUND_CALLS).await;
  responses
}

/// The same until an endpoint, which is chosen by chance, has received a call.
async fn ask_until_called(
  gateway: &GatewayBox,
  path: &str,
  last_event: Option<&str>,
  endpoint: &EndpointStandIn,
) -> Vec<CallerResponse> {
  let started = Instant::now();
  let mut responses = Vec::new();
  while endpoint.received().is_empty() {
    assert!(
      started.elapsed() < TIMEOUT,
      "no call was made at the address"
    );
    responses.extend(ask(gateway, path, last_event).await);
  }
  responses
}

fn assert_served(responses: &[CallerResponse]) {
  let statuses: Vec<StatusCode> = responses.iter().map(|response| response.status).collect();
  assert!(
    statuses.iter().all(|status| *status == StatusCode::OK),
    "{statuses:?}"
  );
}

/// Guards against a reservation, its release or a listing that an endpoint of another service runs, at the former address of a decode
/// engine.
#[rstest]
#[case::reservation(None, "/resumable/a", None, CallKind::Reservation)]
#[case::release_of_a_reservation(
  Some(CallKind::Reservation),
  "/resumable/a",
  None,
  CallKind::Release
)]
#[case::listing(None, "/resumable/a", Some("1"), CallKind::Listing)]
#[tokio::test]
async fn own_call_is_run_by_no_endpoint_of_another_service(
  #[case] last_answered: Option<CallKind>,
  #[case] path: &str,
  #[case] last_event: Option<&str>,
  #[case] kind: CallKind,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let (reused, endpoint) = ReusedAddress::start(last_answered).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter("e-2", "llm", Some("decode"), &decode);
  test.enter_version_started("e-3", &endpoint, "v1", LISTED_START_MS);
  let gateway = test.start().await;
  let responses = ask_until_called(&gateway, path, last_event, &endpoint).await;
  assert_eq!(reused.ran(), Vec::<String>::new(), "{kind:?}");
  assert_served(&responses);
}

/// Guards against the release of an export that an endpoint of another service runs, at the former address of a prefill engine.
#[tokio::test]
async fn release_of_an_export_is_run_by_no_endpoint_of_another_service() {
  let (reused, prefill) = ReusedAddress::start(Some(CallKind::Prefill)).await;
  let decode = EndpointStandIn::start(|seen| match CallKind::of(seen) {
    CallKind::Stream => Reply::not_run(seen),
    _ => engine_reply(seen, EVENTS),
  })
  .await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  gateway.ask("/stream/a", "r0").await;
  let is_rejected = async || !decode.requests().is_empty();
  assert!(eventually(TIMEOUT, is_rejected).await);
  sleep(BACKGROUND_CALLS).await;
  assert_eq!(reused.ran(), Vec::<String>::new());
}

/// Guards against calls that go on to an address after another endpoint has answered there, and against an endpoint that stays
/// without requests once it is listed at its new address.
#[rstest]
#[case::decode_engine("/stream/a", "llm", Some("decode"))]
#[case::prefill_engine("/stream/a", "llm", Some("prefill"))]
#[case::plain_endpoint("/safe/a", "portal", None)]
#[tokio::test]
async fn displaced_endpoint_gets_nothing_until_its_entry_changes(
  #[case] path: &str,
  #[case] service: &str,
  #[case] stage: Option<&str>,
) {
  let sound = EndpointStandIn::start(sound_reply).await;
  let moved = EndpointStandIn::start(sound_reply).await;
  let (reused, former) = ReusedAddress::start(None).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &sound);
  test.enter("e-2", "llm", Some("decode"), &sound);
  test.enter("p-1", "portal", None, &sound);
  test.enter("x-1", service, stage, &former);
  let gateway = test.start().await;
  ask_until_called(&gateway, path, None, &former).await;
  let rejected = former.received().len();
  sleep(AFTER_BACKOFF).await;
  assert_served(&ask(&gateway, path, None).await);
  assert_eq!(former.received().len(), rejected);
  assert_eq!(gateway.metric("rillford_endpoints_displaced").await, 1.0);
  gateway.test.enter("x-1", service, stage, &moved);
  sleep(ENTRY_DELAY).await;
  let reaches_moved = async || {
    assert_served(&ask(&gateway, path, None).await);
    !moved.received().is_empty()
  };
  // A displacement that outlasts the change of the entry ends later.
  assert!(eventually(MOVED_TIMEOUT, reaches_moved).await);
  assert_eq!(reused.ran(), Vec::<String>::new());
}

fn sound_reply(seen: &ReceivedRequest) -> Reply {
  match CallKind::of(seen) {
    CallKind::Plain => Reply::ok(seen, "answer"),
    _ => engine_reply(seen, EVENTS),
  }
}

/// Guards against an engine that gets nothing more after it has rejected a request for another role, which says the same as an
/// endpoint that another one is expected at.
#[tokio::test]
async fn engine_that_rejects_a_role_is_not_displaced() {
  let rejects = AtomicBool::new(true);
  let prefill = EndpointStandIn::start(move |seen| {
    if CallKind::of(seen) == CallKind::Prefill && rejects.swap(false, Ordering::Relaxed) {
      return misdirected(seen);
    }
    engine_reply(seen, EVENTS)
  })
  .await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  ask(&gateway, "/stream/a", None).await;
  let kinds: Vec<CallKind> = prefill.received().iter().map(CallKind::of).collect();
  assert!(kinds.contains(&CallKind::Report), "{kinds:?}");
  sleep(AFTER_BACKOFF).await;
  let requests = prefill.requests().len();
  assert_served(&ask(&gateway, "/stream/a", None).await);
  assert!(prefill.requests().len() > requests);
  assert_eq!(gateway.metric("rillford_endpoints_displaced").await, 0.0);
}
