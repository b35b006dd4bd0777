//! A graceful shutdown interrupts no request.

use {
  super::{EndpointStandIn, GatewayTest, ReceivedRequest, Reply, TIMEOUT, endpoint::engine_reply},
  emulator::eventually,
  http::StatusCode,
  std::time::Duration,
  tokio::time::timeout,
};

#[tokio::test]
async fn graceful_shutdown_completes_requests_and_removes_the_entry() {
  let slow = |seen: &ReceivedRequest| match Reply::ok(seen, "late") {
    Reply::Write(text) => Reply::WriteLater(Duration::from_millis(1_000), text),
    other => other,
  };
  let one = EndpointStandIn::start(slow).await;
  let mut gateway = GatewayTest::new().await.with_portal(&one).await;
  let entry = "rillford/boxes/north-1".to_string();
  assert!(eventually(TIMEOUT, async || gateway.test.store.keys().contains(&entry)).await);
  let pending = gateway.ask_in_background("/unsafe/a", "r1");
  assert!(eventually(TIMEOUT, async || one.requests().len() == 1).await);
  gateway.signal(libc::SIGTERM);
  assert!(eventually(TIMEOUT, async || !gateway.is_ready().await).await);
  assert!(
    eventually(TIMEOUT, async || !gateway
      .test
      .store
      .keys()
      .contains(&entry))
    .await
  );
  assert_eq!(pending.await.unwrap().unwrap(), StatusCode::OK);
  // The box still serves requests, and asks the caller to close the connection.
  let response = gateway.ask("/unsafe/a", "r2").await;
  assert_eq!(response.status, StatusCode::OK);
  assert_eq!(response.headers["connection"], "close");
  assert!(
    eventually(TIMEOUT, async || gateway
      .process
      .try_wait()
      .unwrap()
      .is_some())
    .await
  );
  assert!(gateway.process.wait().unwrap().success());
}

#[tokio::test]
async fn stream_that_would_outlast_the_process_is_rejected() {
  let prefill = EndpointStandIn::engine("id: 1\ndata: a\n\n").await;
  // Another request keeps the process running.
  let decode = EndpointStandIn::start(|seen| {
    if seen.path.starts_with("/stream/") {
      Reply::NoResponse
    } else {
      engine_reply(seen, "")
    }
  })
  .await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  let holding = gateway.ask_in_background("/stream/a", "r1");
  assert!(eventually(TIMEOUT, async || decode.requests().len() == 1).await);
  gateway.signal(libc::SIGTERM);
  let mut number = 1;
  let rejected = async || {
    number += 1;
    let request = gateway.request("/resumable/a", &format!("r{number}"));
    let result = rillford::HttpClient::default().send(request).await;
    result.is_ok_and(|response| response.status() == StatusCode::SERVICE_UNAVAILABLE)
  };
  assert!(eventually(TIMEOUT, rejected).await);
  holding.abort();
}

#[tokio::test]
async fn reload_signal_interrupts_nothing() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "fine")).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  gateway.signal(libc::SIGHUP);
  for number in 0..5 {
    assert_eq!(
      gateway.ask("/unsafe/a", &format!("r{number}")).await.status,
      StatusCode::OK
    );
  }
}

/// Guards against accepting a request in the last moments and then interrupting it by the exit (sariwa-ops, mix --seed
/// 620364099144).
#[tokio::test]
async fn no_accepted_request_is_interrupted_by_the_exit() {
  let slow = |seen: &ReceivedRequest| match Reply::ok(seen, "late") {
    Reply::Write(text) => Reply::WriteLater(Duration::from_millis(100), text),
    other => other,
  };
  let one = EndpointStandIn::start(slow).await;
  let mut gateway = GatewayTest::new().await.with_portal(&one).await;
  gateway.signal(libc::SIGTERM);
  let mut number = 0;
  let mut interrupted = Vec::new();
  while gateway.process.try_wait().unwrap().is_none() {
    number += 1;
    let id = format!("r{number}");
    let result = rillford::HttpClient::default()
      .send(gateway.request("/unsafe/a", &id))
      .await;
    let reached = one.requests().iter().any(|seen| seen.id() == id);
    if reached && result.is_err() {
      interrupted.push(id);
    }
  }
  assert!(number > 0);
  assert!(interrupted.is_empty(), "{interrupted:?}");
}

#[tokio::test]
async fn engine_that_starts_leaving_during_prefill_is_not_sent_the_request() {
  let events = "id: 1\ndata: a\n\n";
  let prefill = EndpointStandIn::start(move |seen| match engine_reply(seen, events) {
    Reply::Write(text) if seen.is_prefill() && seen.id() == "r2" => {
      Reply::WriteLater(Duration::from_millis(700), text)
    }
    reply => reply,
  })
  .await;
  // The first stream ends after the engine has started leaving: its connection could return to the pool.
  let decode = EndpointStandIn::start(move |seen| {
    if seen.id() == "r1" {
      let head = Reply::stream_part(seen, events);
      return Reply::WriteInTwoParts(head, Duration::from_millis(400), "0\r\n\r\n".into());
    }
    engine_reply(seen, events)
  })
  .await;
  let other = EndpointStandIn::engine(events).await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  let prefills_second = async || prefill.requests().iter().any(|seen| seen.id() == "r2");
  let leaving = async {
    assert!(eventually(TIMEOUT, async || !decode.requests().is_empty()).await);
    let second = gateway.ask_in_background("/stream/a", "r2");
    assert!(eventually(TIMEOUT, prefills_second).await);
    gateway.test.enter("e-3", "llm", Some("decode"), &other);
    gateway
      .test
      .enter_at("e-2", "llm", Some("decode"), decode.address, "draining");
    second.await.unwrap().unwrap()
  };
  let (first, second) = tokio::join!(gateway.ask("/stream/a", "r1"), leaving);
  assert_eq!(first.body.unwrap(), events);
  assert_eq!(second, StatusCode::OK);
  assert_eq!(decode.requests().len(), 1);
  // The reservation is released, although the engine is leaving.
  let is_released = async || {
    let calls = decode.received();
    calls
      .iter()
      .any(|seen| seen.path.starts_with("/hold-drop/"))
  };
  assert!(eventually(TIMEOUT, is_released).await);
  // The export is reused: the prompt is not prefilled again.
  let is_second = |seen: &&ReceivedRequest| seen.id() == "r2";
  assert_eq!(prefill.requests().iter().filter(is_second).count(), 1);
}

/// Guards against a box that hangs in its stop while it carries a stream, until it is killed.
#[tokio::test]
async fn box_that_stops_during_a_long_stream_ends_by_itself() {
  let beginning = "id: 1\ndata: a\n\n";
  let prefill = EndpointStandIn::engine(beginning).await;
  let decode = EndpointStandIn::start(move |seen| match seen.path.as_str() {
    "/stream/a" => Reply::Write(Reply::stream_part(seen, beginning)),
    _ => engine_reply(seen, beginning),
  })
  .await;
  let test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][2]["timeoutMs"] = 120_000.into();
  });
  let mut gateway = test.with_engines(&prefill, &decode).await;
  let stop = async {
    assert!(eventually(TIMEOUT, async || decode.requests().len() == 1).await);
    gateway.signal(libc::SIGTERM);
  };
  let both = async { tokio::join!(gateway.ask("/stream/a", "r1"), stop) };
  // The caller reads until the box ends.
  let (response, ()) = timeout(TIMEOUT, both).await.unwrap();
  assert!(response.body.is_err());
  let has_ended = async || gateway.process.try_wait().unwrap().is_some();
  assert!(eventually(TIMEOUT, has_ended).await);
}
