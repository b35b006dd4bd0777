//! The entry of an endpoint changes under its id: it names another address or another start. What belongs to the former one, a connection
//! or an exported prompt, is of no use at the present one.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::{STREAM_END, engine_reply},
    extra_answers::CallKind,
    stream_framing::Framing,
  },
  http::StatusCode,
  rstest::rstest,
  serde_json::json,
  std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
  },
  tokio::time::sleep,
};

/// Until a changed entry has reached the box.
const ENTRY_DELAY: Duration = Duration::from_millis(500);
/// Longer than a test.
const EXPORT_TTL_S: f64 = 20.0;
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// The paths of the requests that an endpoint received.
fn paths(endpoint: &EndpointStandIn) -> Vec<String> {
  let requests = endpoint.requests().into_iter();
  requests.map(|seen| seen.path).collect()
}

async fn assert_served(gateway: &GatewayBox, path: &str, id: &str) {
  let response = gateway.ask(path, id).await;
  assert_eq!(response.status, StatusCode::OK);
}

/// Guards against a request that goes to an endpoint's former address, on a connection that is idle when its entry changes.
#[rstest]
#[tokio::test]
async fn request_is_sent_on_no_connection_to_a_former_address(
  #[values("/safe/a", "/unsafe/a")] path: &str,
) {
  let former = EndpointStandIn::start(|seen| Reply::ok(seen, "former")).await;
  let present = EndpointStandIn::start(|seen| Reply::ok(seen, "present")).await;
  let gateway = GatewayTest::new().await.with_portal(&former).await;
  assert_served(&gateway, path, "r0").await;
  gateway.test.enter("p-1", "portal", None, &present);
  sleep(ENTRY_DELAY).await;
  assert_served(&gateway, path, "r1").await;
  assert_eq!(paths(&former), [path]);
  assert_eq!(paths(&present), [path]);
}

/// A stream that ends after its engine's entry has changed.
fn long_stream(seen: &ReceivedRequest) -> Reply {
  if CallKind::of(seen) != CallKind::Stream {
    return engine_reply(seen, EVENTS);
  }
  Reply::WriteInParts(vec![
    (Duration::ZERO, Reply::stream_part(seen, EVENTS)),
    (3 * ENTRY_DELAY, STREAM_END.into()),
  ])
}

/// Guards against a request that goes to an engine's former address, on a connection whose stream ends after its entry has changed.
#[rstest]
#[case::moved(1)]
#[case::restarted(2)]
#[tokio::test]
async fn connection_of_a_stream_is_not_kept_after_its_entry_has_changed(#[case] start: u64) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let former = EndpointStandIn::start(long_stream).await;
  let present = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new().await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let store = test.store.clone();
  GatewayTest::enter_incarnation(&store, "e-2", "decode", former.address, 1);
  let gateway = test.start().await;
  let enter = async {
    sleep(ENTRY_DELAY).await;
    GatewayTest::enter_incarnation(&store, "e-2", "decode", present.address, start);
  };
  tokio::join!(assert_served(&gateway, "/stream/a", "r0"), enter);
  assert_served(&gateway, "/stream/a", "r1").await;
  assert_eq!(paths(&former), ["/stream/a"]);
  assert_eq!(paths(&present), ["/stream/a"]);
}

/// Guards against an answer that is taken for complete when its endpoint crashes, since a connection to the former address is open.
#[tokio::test]
async fn end_of_an_answer_is_not_shown_by_a_connection_to_a_former_address() {
  let begun = |seen: &ReceivedRequest| Framing::Neither.head(seen, 0) + "an answer";
  let former = EndpointStandIn::start(move |seen| {
    Reply::WriteInPartsAndClose(vec![
      (Duration::ZERO, begun(seen)),
      (4 * ENTRY_DELAY, " that is whole".into()),
    ])
  })
  .await;
  let present = EndpointStandIn::start(move |seen| Reply::Crash(begun(seen), TIMEOUT)).await;
  let gateway = GatewayTest::new().await.with_portal(&former).await;
  let move_and_ask = async {
    sleep(ENTRY_DELAY).await;
    gateway.test.enter("p-1", "portal", None, &present);
    sleep(ENTRY_DELAY).await;
    gateway.ask("/unsafe/a", "r1").await
  };
  let (first, second) = tokio::join!(gateway.ask("/unsafe/a", "r0"), move_and_ask);
  assert_eq!(first.body.unwrap(), "an answer that is whole");
  assert_eq!(paths(&present), ["/unsafe/a"]);
  assert!(!second.status.is_success(), "{second:?}");
}

/// Guards against a stream that goes on from a prompt which its engine held before it restarted: that handle may be another
/// request's now.
#[rstest]
#[case::moved(1, true)]
#[case::restarted(2, false)]
#[tokio::test]
async fn export_is_not_used_after_the_entry_of_its_engine_has_changed(
  #[case] start: u64,
  #[case] moves: bool,
) {
  let handles = AtomicU64::new(0);
  let prefill = EndpointStandIn::start(move |seen| match seen.is_prefill() {
    true => {
      let handle = handles.fetch_add(1, Ordering::Relaxed);
      let body = json!({"promptHandle": format!("h{handle}"), "tokens": 100, "version": 1});
      Reply::ok(seen, &body.to_string())
    }
    false => engine_reply(seen, EVENTS),
  })
  .await;
  let moved = EndpointStandIn::engine(EVENTS).await;
  let test = GatewayTest::new()
    .await
    .configure(|value| value["services"][1]["engine"]["handleTtlS"] = json!(EXPORT_TTL_S));
  GatewayTest::enter_incarnation(&test.store, "e-1", "prefill", prefill.address, 1);
  let (store, present) = (
    test.store.clone(),
    [prefill.address, moved.address][usize::from(moves)],
  );
  let rejects = AtomicBool::new(true);
  let decode = EndpointStandIn::start(move |seen| {
    if CallKind::of(seen) != CallKind::Stream || !rejects.swap(false, Ordering::Relaxed) {
      return engine_reply(seen, EVENTS);
    }
    GatewayTest::enter_incarnation(&store, "e-1", "prefill", present, start);
    let Reply::Write(rejection) = Reply::not_run(seen) else {
      unreachable!()
    };
    Reply::WriteLater(ENTRY_DELAY, rejection)
  })
  .await;
  for id in ["e-2", "e-3"] {
    GatewayTest::enter_incarnation(&test.store, id, "decode", decode.address, 1);
  }
  let gateway = test.start().await;
  assert_served(&gateway, "/stream/a", "r0").await;
  let sources: Vec<String> = decode
    .requests()
    .iter()
    .map(|seen| seen.header("x-kv-source").to_owned())
    .collect();
  let [first, second] = sources.as_slice() else {
    panic!("{sources:?}");
  };
  assert_eq!(*first, format!("{}/h0", prefill.address));
  assert_ne!(first, second);
}
