//! Commands of the role leader to engines.

use {
  super::{EndpointStandIn, GatewayTest, Reply, Seen, TIMEOUT},
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

fn commands(endpoints: &[EndpointStandIn]) -> Vec<Seen> {
  endpoints
    .iter()
    .flat_map(EndpointStandIn::seen)
    .filter(|seen| seen.path == "/order")
    .collect()
}

#[tokio::test]
async fn role_leader_sends_each_surplus_engine_one_fenced_command() {
  let mut endpoints = Vec::new();
  let test = GatewayTest::new().await;
  for number in 0..4 {
    let endpoint = EndpointStandIn::start(engine).await;
    test.enter(&format!("e-{number}"), "llm", Some("prefill"), &endpoint);
    endpoints.push(endpoint);
  }
  let gateway = test.start().await;
  assert!(eventually(TIMEOUT, async || commands(&endpoints).len() == 3).await);
  let fence = {
    assert!(
      gateway
        .test
        .store
        .keys()
        .contains(&"rillford/steward".to_string())
    );
    let body: Value = serde_json::from_slice(&commands(&endpoints)[0].body).unwrap();
    body["fence"].as_u64().unwrap()
  };
  for command in commands(&endpoints) {
    let body: Value = serde_json::from_slice(&command.body).unwrap();
    assert_eq!(body["operation"], "stage");
    assert_eq!(body["stage"], "decode");
    assert_eq!(body["holder"], "north-1");
    assert_eq!(body["fence"], fence);
    assert_eq!(body["prevRevision"], 4);
    assert!(command.header("x-expect-instance").starts_with("e-"));
  }
  // Later evaluations repeat none of them.
  sleep(Duration::from_millis(1_200)).await;
  assert_eq!(commands(&endpoints).len(), 3);
}

#[rstest]
#[case::another_box_is("rillford/steward", b"north-9")]
#[tokio::test]
async fn box_that_is_not_role_leader_sends_no_commands(#[case] key: &str, #[case] value: &[u8]) {
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
  assert!(commands(&endpoints).is_empty());
  gateway.test.store.remove(key);
  assert!(eventually(TIMEOUT, async || commands(&endpoints).len() == 1).await);
}

#[tokio::test]
async fn role_leader_that_lost_its_key_unnoticed_sends_no_commands() {
  let endpoints = [
    EndpointStandIn::start(engine).await,
    EndpointStandIn::start(engine).await,
  ];
  let test = GatewayTest::new().await;
  let gateway = test.start_unready();
  gateway.test.put_configuration();
  // With one engine the box becomes role leader, and has nothing to command.
  gateway
    .test
    .enter("e-0", "llm", Some("prefill"), &endpoints[0]);
  let is_leader = async || {
    gateway
      .test
      .store
      .keys()
      .contains(&"rillford/steward".to_string())
  };
  assert!(eventually(TIMEOUT, is_leader).await);
  gateway.test.store.put("rillford/steward", b"north-9");
  gateway
    .test
    .enter("e-1", "llm", Some("prefill"), &endpoints[1]);
  sleep(Duration::from_millis(1_500)).await;
  assert!(commands(&endpoints).is_empty());
}

#[tokio::test]
async fn engine_with_a_pending_command_counts_in_its_new_role() {
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
  // One of four is to prefill. The two that are reassigned still report the prefill role.
  assert!(eventually(TIMEOUT, async || commands(&endpoints).len() == 2).await);
  // Two of five are to prefill: one of the four and the new engine.
  gateway
    .test
    .enter("e-0", "llm", Some("prefill"), &endpoints[0]);
  sleep(Duration::from_millis(1_500)).await;
  assert_eq!(commands(&endpoints).len(), 2);
}
