//! Another service accepts connections at the address of an endpoint whose process has ended, or of the store.

use {
  super::{
    EndpointStandIn, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    cut_off::{Cut, CutAddress},
    endpoint::engine_reply,
    extra_answers::CallKind,
    other_service::{other_service_reply, ran},
    stream_framing::Framing,
  },
  emulator::eventually,
  rstest::rstest,
  std::time::Duration,
};

/// Requests of one test.
const REQUESTS: usize = 9;
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const BEGINNING: &str = "the beginning of an answer";

/// Ends its process on the first request of a kind that it gets; its address is given on at once.
async fn ending_on(kind: CallKind, written: fn(&ReceivedRequest) -> String) -> EndpointStandIn {
  EndpointStandIn::start(move |seen| match (seen.start, CallKind::of(seen)) {
    (1, of) if of == kind => Reply::Crash(written(seen), Duration::ZERO),
    (1, _) => engine_reply(seen, EVENTS),
    _ => other_service_reply(seen),
  })
  .await
}

/// Guards against an answer that is taken for complete, since another service accepts connections at the endpoint's address.
#[rstest]
#[case::plain("/unsafe/a", CallKind::Plain)]
#[case::stream("/stream/a", CallKind::Stream)]
#[tokio::test]
async fn answer_is_not_complete_where_another_service_has_the_address(
  #[case] path: &str,
  #[case] kind: CallKind,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let written = |seen: &ReceivedRequest| Framing::Neither.head(seen, 0) + BEGINNING;
  let ending = ending_on(kind, written).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &ending);
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  test.enter("e-2", "llm", Some("decode"), &ending);
  let gateway = test.start().await;
  let response = gateway.ask(path, "r0").await;
  assert!(
    !response.status.is_success() || response.body.is_err(),
    "{response:?}"
  );
}

/// A service's endpoints with roles, of which a box reaches none.
const ENTRIES: [(&str, &str, Option<&str>); 5] = [
  ("p-1", "portal", None),
  ("p-2", "portal", None),
  ("e-1", "llm", Some("prefill")),
  ("e-2", "llm", Some("decode")),
  ("e-3", "llm", Some("decode")),
];

/// Guards against callers that are rejected by a box which reaches no endpoint of theirs, since another service accepts connections at
/// the address of one.
#[rstest]
#[tokio::test]
async fn callers_of_a_cut_off_box_are_served_where_another_service_has_an_address(
  #[values("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a")] path: &str,
) {
  let sound = EndpointStandIn::start(|seen| match CallKind::of(seen) {
    CallKind::Plain => Reply::ok(seen, "portal"),
    _ => engine_reply(seen, EVENTS),
  })
  .await;
  let given_on = EndpointStandIn::start(other_service_reply).await;
  let (test, other) = (GatewayTest::new().await, GatewayTest::new().await);
  let mut addresses = Vec::new();
  for (id, service, stage) in ENTRIES {
    let cut = CutAddress::new(Cut::Refuse);
    test.enter_at(id, service, stage, cut.address, "ready");
    other.enter(id, service, stage, &sound);
    addresses.push(cut);
  }
  for test in [&test, &other] {
    test.enter("p-3", "portal", None, &given_on);
    test.enter("e-4", "llm", Some("decode"), &given_on);
  }
  let other = other.named("north-2").start().await;
  test.enter_box("north-2", other.boxes);
  let cut_off = test.start().await;
  let is_listed = async || cut_off.metric("rillford_boxes").await == 2.0;
  assert!(eventually(TIMEOUT, is_listed).await);
  let mut statuses = Vec::new();
  for number in 0..REQUESTS {
    let response = cut_off.ask(path, &format!("r{number}")).await;
    statuses.push(response.status);
  }
  let served = statuses.iter().filter(|status| status.is_success()).count();
  assert!(3 * served >= 2 * REQUESTS, "{statuses:?}");
  assert_eq!(ran(&given_on), Vec::<String>::new());
}

/// Guards against a box that takes another service at the store's address for the store.
#[rstest]
#[case::bad_request("400 Bad Request", "")]
#[case::empty_object("200 OK", "{}")]
#[case::not_found("404 Not Found", "{}")]
#[tokio::test]
async fn store_is_no_other_service_at_its_address(
  #[case] status: &'static str,
  #[case] body: &'static str,
) {
  let other = EndpointStandIn::start(move |seen| Reply::status(seen, status, body)).await;
  let test = GatewayTest::new().await;
  let gateway = test.second_box("north-1", other.address).start_unready();
  let is_called = async || other.received().len() > 2;
  assert!(eventually(TIMEOUT, is_called).await);
  assert!(!gateway.is_ready().await);
  assert_eq!(ran(&other), Vec::<String>::new());
}
