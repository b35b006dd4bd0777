//! The address of a box that is gone is given to an endpoint, while its entry is still listed or it is remembered as a former box.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    cut_off::{Cut, CutAddress},
    endpoint::limited,
    other_service::{other_service_reply, ran},
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  std::collections::HashSet,
};

/// Requests of one test.
const REQUESTS: usize = 6;
/// Paths of messages that a box sends in a short test.
const MESSAGES: [&str; 2] = ["/limits", "/permits"];
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

async fn lists_boxes(gateway: &GatewayBox, boxes: f64) -> bool {
  let is_listed = async || gateway.metric("rillford_boxes").await == boxes;
  eventually(TIMEOUT, is_listed).await
}

/// Guards against a forwarded request that an endpoint runs, at the address of a box that is gone.
#[rstest]
#[tokio::test]
async fn forwarded_request_is_run_by_no_endpoint_at_the_address_of_a_box(
  #[values("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a")] path: &str,
) {
  let other = EndpointStandIn::start(other_service_reply).await;
  let test = GatewayTest::new().await;
  let cut = [(); 3].map(|()| CutAddress::new(Cut::Refuse));
  test.enter_at("p-1", "portal", None, cut[0].address, "ready");
  test.enter_at("e-1", "llm", Some("prefill"), cut[1].address, "ready");
  test.enter_at("e-2", "llm", Some("decode"), cut[2].address, "ready");
  test.enter_box("north-2", other.address);
  let gateway = test.start().await;
  assert!(lists_boxes(&gateway, 2.0).await);
  for number in 0..REQUESTS {
    let response = gateway.ask(path, &format!("r{number}")).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  }
  let is_forwarded = |seen: &ReceivedRequest| seen.path.starts_with("/forward/");
  assert!(other.received().iter().any(is_forwarded));
  assert_eq!(ran(&other), Vec::<String>::new());
}

/// Guards against messages between boxes that an endpoint runs, at the address of a box that is gone.
#[tokio::test]
async fn message_to_a_box_is_run_by_no_endpoint_at_its_address() {
  let other = EndpointStandIn::start(other_service_reply).await;
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let portal = EndpointStandIn::start(|seen| limited(Reply::ok(seen, "portal"), "50")).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &portal);
  for number in 0..4 {
    test.enter_box(&format!("a-{number}"), other.address);
  }
  let gateway = test.with_engines(&prefill, &decode).await;
  assert!(lists_boxes(&gateway, 5.0).await);
  for number in 0..REQUESTS {
    // Permits may be refused while the box that assigns them is gone.
    gateway.ask("/unsafe/a", &format!("p{number}")).await;
    let streamed = gateway.ask("/resumable/a", &format!("s{number}")).await;
    assert_eq!(streamed.status, StatusCode::OK);
  }
  let is_called = async || {
    let paths = other.received().into_iter().map(|seen| seen.path);
    let paths: HashSet<String> = paths.collect();
    MESSAGES.iter().all(|path| paths.contains(*path))
  };
  assert!(
    eventually(TIMEOUT, is_called).await,
    "{:?}",
    other.received()
  );
  assert_eq!(ran(&other), Vec::<String>::new());
}
