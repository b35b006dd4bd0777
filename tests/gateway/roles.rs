//! The steward's orders to engines.

use {
  super::{EndpointStandIn, GatewayTest, PATIENCE, Reply, Seen},
  emulator::eventually,
  rstest::rstest,
  serde_json::Value,
  std::time::Duration,
  tokio::time::sleep,
};

fn engine(seen: &Seen) -> Reply {
  match seen.path.as_str() {
    "/report" => Reply::ok(
      seen,
      r#"{"stage":"prefill","callSeq":4,"utilization":false,"queued":0,"inFlight":0,"kvUsed":0,"kvTotal":9,"handles":0}"#,
    ),
    "/order" => Reply::status(seen, "202 Accepted", ""),
    _ => Reply::NoResponse,
  }
}

fn orders(endpoints: &[EndpointStandIn]) -> Vec<Seen> {
  endpoints
    .iter()
    .flat_map(EndpointStandIn::seen)
    .filter(|seen| seen.path == "/order")
    .collect()
}

#[tokio::test]
async fn steward_gives_each_surplus_engine_one_fenced_order() {
  let mut endpoints = Vec::new();
  let test = GatewayTest::new().await;
  for number in 0..4 {
    let endpoint = EndpointStandIn::start(engine).await;
    test.enter(&format!("e-{number}"), "llm", Some("prefill"), &endpoint);
    endpoints.push(endpoint);
  }
  let gateway = test.start().await;
  assert!(eventually(PATIENCE, async || orders(&endpoints).len() == 3).await);
  let fence = {
    assert!(
      gateway
        .test
        .store
        .keys()
        .contains(&"rillford/steward".to_string())
    );
    let body: Value = serde_json::from_slice(&orders(&endpoints)[0].body).unwrap();
    body["fence"].as_u64().unwrap()
  };
  for order in orders(&endpoints) {
    let body: Value = serde_json::from_slice(&order.body).unwrap();
    assert_eq!(body["operation"], "stage");
    assert_eq!(body["stage"], "decode");
    assert_eq!(body["holder"], "north-1");
    assert_eq!(body["fence"], fence);
    assert_eq!(body["prevRevision"], 4);
    assert!(order.header("x-expect-instance").starts_with("e-"));
  }
  // Later looks repeat none of them.
  sleep(Duration::from_millis(1_200)).await;
  assert_eq!(orders(&endpoints).len(), 3);
}

#[rstest]
#[case::another_box_is("rillford/steward", b"north-9")]
#[tokio::test]
async fn box_that_is_not_steward_gives_no_orders(#[case] key: &str, #[case] value: &[u8]) {
  let endpoints = [
    EndpointStandIn::start(engine).await,
    EndpointStandIn::start(engine).await,
  ];
  let test = GatewayTest::new().await;
  test.store.put(key, value);
  for (number, endpoint) in endpoints.iter().enumerate() {
    test.enter(&format!("e-{number}"), "llm", Some("prefill"), endpoint);
  }
  let gateway = test.start().await;
  sleep(Duration::from_millis(1_500)).await;
  assert!(orders(&endpoints).is_empty());
  gateway.test.store.remove(key);
  assert!(eventually(PATIENCE, async || orders(&endpoints).len() == 1).await);
}

#[tokio::test]
async fn steward_that_lost_its_key_without_a_word_gives_no_orders() {
  let endpoints = [
    EndpointStandIn::start(engine).await,
    EndpointStandIn::start(engine).await,
  ];
  let test = GatewayTest::new().await;
  let gateway = test.start_unready();
  gateway.test.put_configuration();
  // One engine makes the box want to be steward, and leaves nothing to order.
  gateway
    .test
    .enter("e-0", "llm", Some("prefill"), &endpoints[0]);
  let is_steward = async || {
    gateway
      .test
      .store
      .keys()
      .contains(&"rillford/steward".to_string())
  };
  assert!(eventually(PATIENCE, is_steward).await);
  gateway.test.store.put("rillford/steward", b"north-9");
  gateway
    .test
    .enter("e-1", "llm", Some("prefill"), &endpoints[1]);
  sleep(Duration::from_millis(1_500)).await;
  assert!(orders(&endpoints).is_empty());
}

#[tokio::test]
async fn engine_with_an_order_not_yet_carried_out_counts_in_its_new_role() {
  let mut endpoints = Vec::new();
  for _ in 0..5 {
    endpoints.push(EndpointStandIn::start(engine).await);
  }
  let test = GatewayTest::new().await;
  for (number, endpoint) in endpoints.iter().enumerate().skip(1) {
    let stage = if number < 4 { "prefill" } else { "decode" };
    test.enter(&format!("e-{number}"), "llm", Some(stage), endpoint);
  }
  let gateway = test.start().await;
  // One of four is to read prompts. The two that are ordered away still say that they do.
  assert!(eventually(PATIENCE, async || orders(&endpoints).len() == 2).await);
  // Two of five are, and with the new one there are two.
  gateway
    .test
    .enter("e-0", "llm", Some("prefill"), &endpoints[0]);
  sleep(Duration::from_millis(1_500)).await;
  assert_eq!(orders(&endpoints).len(), 2);
}
