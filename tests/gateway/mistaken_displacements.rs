//! Endpoints that are mistaken for displaced ones, and calls that check whether they are.

use {
  super::{
    EndpointStandIn, GatewayTest, ReceivedRequest, Reply, endpoint::engine_reply,
    extra_answers::CallKind,
  },
  emulator::eventually,
  http::StatusCode,
  std::{
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    time::Duration,
  },
  tokio::time::sleep,
};

/// A change of the store has reached the box.
const ENTRY_DELAY: Duration = Duration::from_millis(500);
/// Calls in the background have been sent by then.
const BACKGROUND_CALLS: Duration = Duration::from_millis(300);
/// Longer than the backoff from an endpoint that was lost, and shorter than a displacement.
const SERVED_WITHIN: Duration = Duration::from_secs(10);
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

fn misdirected(seen: &ReceivedRequest) -> Reply {
  Reply::Write(format!(
    "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    seen.id()
  ))
}

/// Guards against an endpoint that gets nothing at its new address after a rejection on a connection to its former one.
#[tokio::test]
async fn rejection_at_a_former_address_does_not_displace_the_endpoint_at_its_new_one() {
  let is_given_on = Arc::new(AtomicBool::new(false));
  let given_on = is_given_on.clone();
  let former = EndpointStandIn::start(move |seen| match given_on.load(Ordering::Relaxed) {
    true => misdirected(seen),
    false => Reply::ok(seen, "former"),
  })
  .await;
  let moved = EndpointStandIn::start(|seen| Reply::ok(seen, "moved")).await;
  let gateway = GatewayTest::new().await.with_portal(&former).await;
  assert_eq!(gateway.ask("/safe/a", "r0").await.status, StatusCode::OK);
  is_given_on.store(true, Ordering::Relaxed);
  gateway.test.enter("p-1", "portal", None, &moved);
  sleep(ENTRY_DELAY).await;
  let is_served = async || gateway.ask("/safe/a", "r1").await.status == StatusCode::OK;
  assert!(
    eventually(SERVED_WITHIN, is_served).await,
    "{} requests at the former address",
    former.received().len()
  );
  assert_eq!(gateway.metric("rillford_endpoints_displaced").await, 0.0);
}

/// Guards against a call for a report after each reservation that an engine rejects for its role.
#[tokio::test]
async fn engine_that_rejects_a_role_is_not_checked_at_each_rejection() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::start(|seen| match CallKind::of(seen) {
    CallKind::Reservation => misdirected(seen),
    _ => engine_reply(seen, EVENTS),
  })
  .await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  let before = decode.received().len();
  let response = gateway.ask("/stream/a", "r0").await;
  sleep(BACKGROUND_CALLS).await;
  let kinds: Vec<CallKind> = decode.received()[before..]
    .iter()
    .map(CallKind::of)
    .collect();
  let count = |kind| kinds.iter().filter(|other| **other == kind).count();
  let reservations = count(CallKind::Reservation);
  let reports = count(CallKind::Report);
  assert!(
    reports <= 1,
    "{reports} reports, {reservations} reservations, {}",
    response.status
  );
}

/// Guards against a call for a report to an endpoint of a plain service whose entry has a stage, after it rejected a request.
#[tokio::test]
async fn endpoint_of_a_plain_service_that_rejects_a_request_gets_no_call_for_a_report() {
  let endpoint = EndpointStandIn::start(misdirected).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", Some("prefill"), &endpoint);
  let gateway = test.start().await;
  gateway.ask("/safe/a", "r0").await;
  sleep(BACKGROUND_CALLS).await;
  let kinds: Vec<CallKind> = endpoint.received().iter().map(CallKind::of).collect();
  assert_eq!(kinds, [CallKind::Plain]);
  assert_eq!(gateway.metric("rillford_endpoints_displaced").await, 1.0);
}
