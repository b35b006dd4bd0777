//! A planned stop cuts nothing.

use {
  super::{EndpointStandIn, GatewayTest, PATIENCE, Reply, Seen, endpoint::engine_reply},
  emulator::eventually,
  http::StatusCode,
  std::time::Duration,
};

#[tokio::test]
async fn planned_stop_finishes_requests_and_takes_back_the_entry() {
  let slow = |seen: &Seen| match Reply::ok(seen, "late") {
    Reply::Write(text) => Reply::WriteLater(Duration::from_millis(1_000), text),
    other => other,
  };
  let one = EndpointStandIn::start(slow).await;
  let mut gateway = GatewayTest::new().await.with_portal(&one).await;
  let entry = "rillford/boxes/north-1".to_string();
  assert!(
    eventually(PATIENCE, async || gateway
      .test
      .store
      .keys()
      .contains(&entry))
    .await
  );
  let asking = gateway.ask_in_background("/unsafe/a", "r1");
  assert!(eventually(PATIENCE, async || one.requests().len() == 1).await);
  gateway.signal(libc::SIGTERM);
  assert!(eventually(PATIENCE, async || !gateway.is_ready().await).await);
  assert!(
    eventually(PATIENCE, async || !gateway
      .test
      .store
      .keys()
      .contains(&entry))
    .await
  );
  assert_eq!(asking.await.unwrap().unwrap(), StatusCode::OK);
  // It still serves what comes, and asks the caller to go elsewhere.
  let asked = gateway.ask("/unsafe/a", "r2").await;
  assert_eq!(asked.status, StatusCode::OK);
  assert_eq!(asked.headers["connection"], "close");
  assert!(
    eventually(PATIENCE, async || gateway
      .process
      .try_wait()
      .unwrap()
      .is_some())
    .await
  );
  assert!(gateway.process.wait().unwrap().success());
}

#[tokio::test]
async fn stream_that_would_outlast_the_process_is_refused() {
  let prefill = EndpointStandIn::engine("id: 1\ndata: a\n\n").await;
  // Another request holds the process until its end.
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
  assert!(eventually(PATIENCE, async || decode.requests().len() == 1).await);
  gateway.signal(libc::SIGTERM);
  let mut number = 1;
  let refused = async || {
    number += 1;
    let request = gateway.request("/resumable/a", &format!("r{number}"));
    let asked = rillford::HttpClient::default().send(request).await;
    asked.is_ok_and(|response| response.status() == StatusCode::SERVICE_UNAVAILABLE)
  };
  assert!(eventually(PATIENCE, refused).await);
  holding.abort();
}

#[tokio::test]
async fn changed_settings_disturb_nothing() {
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

/// Found by a hunt (sariwa-ops, mix --seed 620364099144): a request that came in the last moments, when none
/// was in progress, was taken and then cut by the end of the process.
#[tokio::test]
async fn no_request_is_taken_and_then_cut_by_the_end() {
  let slow = |seen: &Seen| match Reply::ok(seen, "late") {
    Reply::Write(text) => Reply::WriteLater(Duration::from_millis(100), text),
    other => other,
  };
  let one = EndpointStandIn::start(slow).await;
  let mut gateway = GatewayTest::new().await.with_portal(&one).await;
  gateway.signal(libc::SIGTERM);
  let mut number = 0;
  let mut cut = Vec::new();
  while gateway.process.try_wait().unwrap().is_none() {
    number += 1;
    let id = format!("r{number}");
    let asked = rillford::HttpClient::default()
      .send(gateway.request("/unsafe/a", &id))
      .await;
    let reached = one.requests().iter().any(|seen| seen.id() == id);
    if reached && asked.is_err() {
      cut.push(id);
    }
  }
  assert!(number > 0);
  assert!(cut.is_empty(), "{cut:?}");
}

#[tokio::test]
async fn engine_that_leaves_while_the_prompt_is_read_is_not_sent_the_request() {
  let events = "id: 1\ndata: a\n\n";
  let prefill = EndpointStandIn::start(move |seen| match engine_reply(seen, events) {
    Reply::Write(text) if seen.is_prompt() && seen.id() == "r2" => {
      Reply::WriteLater(Duration::from_millis(700), text)
    }
    reply => reply,
  })
  .await;
  // The first stream ends after the engine has said that it leaves: its connection could rest.
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
  let reads_second = async || prefill.requests().iter().any(|seen| seen.id() == "r2");
  let leaving = async {
    assert!(eventually(PATIENCE, async || !decode.requests().is_empty()).await);
    let second = gateway.ask_in_background("/stream/a", "r2");
    assert!(eventually(PATIENCE, reads_second).await);
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
  // The engine gets its seat back, although it leaves.
  let is_given_back = async || {
    let calls = decode.seen();
    calls
      .iter()
      .any(|seen| seen.path.starts_with("/hold-drop/"))
  };
  assert!(eventually(PATIENCE, is_given_back).await);
  // The prompt that was read goes along: it is not read again.
  let is_second = |seen: &&Seen| seen.id() == "r2";
  assert_eq!(prefill.requests().iter().filter(is_second).count(), 1);
}
