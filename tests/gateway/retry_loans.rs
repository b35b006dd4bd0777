//! A box whose share of the retry budget is spent borrows retries of other boxes.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::{STREAM_END, engine_reply},
    stream_framing::{events, is_stream, rest, whole},
  },
  emulator::eventually,
  http::StatusCode,
  std::time::Duration,
  tokio::time::sleep,
};

/// How long the budget's window is: a box lends nothing in its first one.
const WINDOW: Duration = Duration::from_secs(6);
/// The slack of which each of six boxes may use two retries: one by itself, and one more or a loan.
const SLACK_OF_TWO: f64 = 24.0;
/// The pause of an engine that another one would take over from.
const SILENCE: Duration = Duration::from_millis(1_900);

/// A stream that is interrupted once, and goes on anywhere.
fn interrupted(seen: &ReceivedRequest) -> Reply {
  match seen.header("last-event-id") {
    _ if !is_stream(seen) => engine_reply(seen, ""),
    "" => Reply::WriteAndClose(Reply::stream_part(seen, &events(1..=2))),
    _ => Reply::stream(seen, &rest(seen)),
  }
}

/// A response of another box.
fn box_response(status: &str, body: &[u8]) -> Reply {
  let head = format!(
    "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
    body.len()
  );
  Reply::WriteBytes([head.as_bytes(), body].concat())
}

/// A box that lends each retry, in an incarnation and at a time.
fn lending(_: &ReceivedRequest) -> Reply {
  let loan: Option<(u64, u64)> = Some((7, 1_000));
  box_response("200 OK", &postcard::to_stdvec(&loan).unwrap())
}

/// A box of a build without loans.
fn older(_: &ReceivedRequest) -> Reply {
  box_response("404 Not Found", b"")
}

/// Messages on a path that a box received.
fn count(other: &EndpointStandIn, path: &str) -> usize {
  let received = other.received();
  received.iter().filter(|seen| seen.path == path).count()
}

async fn knows_another_box(gateway: &GatewayBox) -> bool {
  let knows = async || gateway.metric("rillford_boxes").await >= 2.0;
  eventually(TIMEOUT, knows).await
}

async fn has_lent(gateway: &GatewayBox, loans: f64) -> bool {
  gateway.metric("rillford_retries_lent_total").await == loans
}

/// Guards against interrupted streams that are aborted since their box has used its share of the retries, while another box has
/// used none of its own.
#[tokio::test]
async fn stream_is_not_aborted_while_another_box_has_a_retry() {
  let prefill = EndpointStandIn::engine("").await;
  let decode = EndpointStandIn::start(interrupted).await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = SLACK_OF_TWO;
  test.retry_window_s = WINDOW.as_secs_f64();
  let other = test.second_box("north-2", test.store.address);
  let gateway = test.with_engines(&prefill, &decode).await;
  let other = other.start().await;
  assert!(knows_another_box(&gateway).await);
  sleep(WINDOW).await;
  for id in ["r1", "r2", "r3"] {
    let response = gateway.ask("/resumable/a", id).await;
    assert_eq!(response.body.as_deref(), Ok(whole().as_str()), "{id}");
  }
  assert!(has_lent(&other, 1.0).await);
}

/// Guards against retries that a box lends although it can't know how many it used before it was restarted.
#[tokio::test]
async fn box_that_has_just_started_lends_nothing() {
  let prefill = EndpointStandIn::engine("").await;
  let decode = EndpointStandIn::start(interrupted).await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = 0.0;
  // Each request adds to the share of its own box only.
  test.retry_window_s = TIMEOUT.as_secs_f64() * 4.0;
  let mut other = test.second_box("north-2", test.store.address);
  other.retry_slack = 60.0;
  let gateway = test.with_engines(&prefill, &decode).await;
  let other = other.start().await;
  assert!(knows_another_box(&gateway).await);
  let response = gateway.ask("/resumable/a", "r1").await;
  assert!(response.body.is_err());
  assert_eq!(gateway.metric("rillford_loans_asked_total").await, 1.0);
  assert!(has_lent(&other, 0.0).await);
}

/// Guards against a box of an older build that is asked for each retry.
#[tokio::test]
async fn box_of_an_older_build_is_asked_once() {
  let prefill = EndpointStandIn::engine("").await;
  let decode = EndpointStandIn::start(interrupted).await;
  let old = EndpointStandIn::start(older).await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = 0.0;
  test.enter_box("north-2", old.address);
  let gateway = test.with_engines(&prefill, &decode).await;
  assert!(knows_another_box(&gateway).await);
  for id in ["r1", "r2", "r3"] {
    let response = gateway.ask("/resumable/a", id).await;
    assert!(response.body.is_err());
  }
  assert_eq!(count(&old, "/retries/lend"), 1);
}

/// Guards against loans that are used up by takeovers that find no slot.
#[tokio::test]
async fn loan_that_was_not_sent_returns_to_its_lender() {
  let prefill = EndpointStandIn::engine("").await;
  let pausing = EndpointStandIn::start(|seen| {
    if !is_stream(seen) {
      return engine_reply(seen, "");
    }
    let beginning = Reply::stream_head(seen) + Reply::stream_chunk(&events(1..=2)).as_str();
    let rest = Reply::stream_chunk(&whole()[events(1..=2).len()..]) + STREAM_END;
    Reply::WriteInParts(vec![(Duration::ZERO, beginning), (SILENCE, rest)])
  })
  .await;
  let full = EndpointStandIn::start(Reply::not_run).await;
  let lender = EndpointStandIn::start(lending).await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = 0.0;
  test.enter_box("north-2", lender.address);
  test.enter("e-3", "llm", Some("decode"), &full);
  let gateway = test.with_engines(&prefill, &pausing).await;
  assert!(knows_another_box(&gateway).await);
  let response = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(response.status, StatusCode::OK);
  assert_eq!(response.body.unwrap(), whole());
  assert!(count(&lender, "/retries/lend") > 0);
  let all_are_back = async || count(&lender, "/retries/return") == count(&lender, "/retries/lend");
  assert!(eventually(TIMEOUT, all_are_back).await);
}
