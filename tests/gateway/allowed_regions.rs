//! The regions in which requests of a route or an organisation may be served.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply, Seen, TIMEOUT, endpoint::engine_reply},
  emulator::eventually,
  http::{HeaderValue, StatusCode, header::AUTHORIZATION},
  rstest::rstest,
  serde_json::{Value, json},
};

/// The box's own hall and another one, each in its own region (see the harness's settings).
const OWN_HALL: &str = "north";
const OTHER_HALL: &str = "south";
const OWN_REGION: &str = "north-land";
const OTHER_REGION: &str = "south-land";
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const ASKS: usize = 12;

/// Sets the allowed regions of all routes.
fn with_route_regions(regions: Value) -> impl FnOnce(&mut Value) {
  move |configuration| {
    for route in configuration["routes"].as_array_mut().unwrap() {
      route["allowedRegions"] = regions.clone();
    }
  }
}

/// Each hall's plain endpoint, which answers with the hall's name.
async fn two_halls(test: &GatewayTest) -> [EndpointStandIn; 2] {
  let mut endpoints = Vec::new();
  for (id, hall) in [("p-1", OWN_HALL), ("p-2", OTHER_HALL)] {
    let endpoint = EndpointStandIn::start(move |seen| Reply::ok(seen, hall)).await;
    test.enter_in_hall(id, "portal", None, &endpoint, hall);
    endpoints.push(endpoint);
  }
  endpoints.try_into().ok().unwrap()
}

async fn ask_with_key(gateway: &GatewayBox, key: &str) -> (StatusCode, String) {
  let mut request = gateway.request("/unsafe/a", "r");
  let value = HeaderValue::from_str(&format!("Bearer {key}")).unwrap();
  request.headers_mut().insert(AUTHORIZATION, value);
  let response = gateway.send(request).await;
  (response.status, response.body.unwrap())
}

#[rstest]
#[case::elsewhere(json!([OTHER_REGION]), OTHER_HALL)]
#[case::here(json!([OWN_REGION]), OWN_HALL)]
#[case::both(json!([OTHER_REGION, OWN_REGION]), OWN_HALL)]
#[tokio::test]
async fn requests_are_served_in_the_allowed_regions_of_their_route(
  #[case] regions: Value,
  #[case] hall: &str,
) {
  let test = GatewayTest::new()
    .await
    .configure(with_route_regions(regions));
  let _endpoints = two_halls(&test).await;
  let gateway = test.start().await;
  for number in 0..ASKS {
    let response = gateway.ask("/unsafe/a", &format!("r{number}")).await;
    assert_eq!(response.body.as_deref(), Ok(hall));
  }
}

#[tokio::test]
async fn request_without_an_endpoint_in_its_regions_is_rejected_at_once() {
  let test = GatewayTest::new()
    .await
    .configure(with_route_regions(json!([OTHER_REGION])));
  let one = EndpointStandIn::engine(EVENTS).await;
  test.enter_in_hall("p-1", "portal", None, &one, OWN_HALL);
  test.enter_in_hall("e-1", "llm", Some("prefill"), &one, OWN_HALL);
  test.enter_in_hall("e-2", "llm", Some("decode"), &one, OWN_HALL);
  let gateway = test.start().await;
  for path in ["/safe/a", "/unsafe/a", "/stream/a", "/resumable/a"] {
    let response = gateway.ask(path, "r").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
    assert!(response.headers.contains_key("retry-after"), "{path}");
  }
  assert!(one.seen().is_empty());
}

/// The organisations differ in their allowed regions, and the route allows both.
#[tokio::test]
async fn allowed_regions_of_organisation_and_route_both_apply() {
  let test = GatewayTest::new().await.configure(|configuration| {
    with_route_regions(json!([OTHER_REGION, OWN_REGION]))(configuration);
    configuration["tenants"] = json!([
      {"name": "captions", "apiKeys": ["key-a"], "allowedRegions": [OTHER_REGION]},
      {"name": "lectures", "apiKeys": ["key-b"]},
    ]);
  });
  let _endpoints = two_halls(&test).await;
  let gateway = test.start().await;
  for _ in 0..ASKS {
    let (_, body) = ask_with_key(&gateway, "key-a").await;
    assert_eq!(body, OTHER_HALL);
  }
  let (_, body) = ask_with_key(&gateway, "key-b").await;
  assert_eq!(body, OWN_HALL);
}

/// A resumed stream stays in its regions even if an engine elsewhere has its prompt cached.
#[rstest]
#[case::new(None)]
#[case::resumed(Some("1"))]
#[tokio::test]
async fn slots_prefills_and_streams_stay_in_the_allowed_regions(
  #[case] last_event_id: Option<&str>,
) {
  let test = GatewayTest::new()
    .await
    .configure(with_route_regions(json!([OTHER_REGION])));
  let mut elsewhere = Vec::new();
  let mut allowed = Vec::new();
  for (id, stage, hall) in [
    ("e-1", "prefill", OWN_HALL),
    ("e-2", "decode", OWN_HALL),
    ("e-3", "prefill", OTHER_HALL),
    ("e-4", "decode", OTHER_HALL),
  ] {
    let engine = EndpointStandIn::start(|seen: &Seen| engine_reply(seen, EVENTS)).await;
    test.enter_in_hall(id, "llm", Some(stage), &engine, hall);
    match hall {
      OWN_HALL => elsewhere.push(engine),
      _ => allowed.push(engine),
    }
  }
  let gateway = test.start().await;
  for number in 0..ASKS {
    let mut request = gateway.request("/resumable/a", &format!("r{number}"));
    if let Some(id) = last_event_id {
      let headers = request.headers_mut();
      headers.insert("last-event-id", HeaderValue::from_str(id).unwrap());
      headers.insert("x-prompt-prefix", HeaderValue::from_static("5c1e:100"));
    }
    assert_eq!(gateway.send(request).await.status, StatusCode::OK);
  }
  let runs = |engines: &[EndpointStandIn]| {
    let seen = engines.iter().map(EndpointStandIn::requests);
    seen.map(|seen| seen.len()).sum::<usize>()
  };
  assert_eq!(runs(&elsewhere), 0);
  assert!(runs(&allowed) >= ASKS);
}

#[rstest]
#[case::empty(json!([]))]
#[case::region_of_no_hall(json!(["atlantis"]))]
#[case::one_of_them_unknown(json!([OWN_REGION, "atlantis"]))]
#[case::text(json!(OWN_REGION))]
#[case::numbers(json!([1, 2]))]
#[tokio::test]
async fn configuration_with_invalid_regions_is_rejected(#[case] regions: Value) {
  let test = GatewayTest::new().await;
  let _endpoints = two_halls(&test).await;
  let gateway = test.start().await;
  let mut configuration = gateway.test.configuration.clone();
  configuration["version"] = json!(9);
  configuration["routes"][0]["pathPrefix"] = json!("/newer/");
  configuration["routes"][1]["allowedRegions"] = regions;
  let store = &gateway.test.store;
  store.put("op/config", configuration.to_string().as_bytes());
  // The box has seen the configuration once it knows an endpoint that was listed later.
  let later = EndpointStandIn::start(|seen| Reply::ok(seen, "later")).await;
  gateway.test.enter("p-3", "portal", None, &later);
  let is_seen = async || {
    gateway.ask("/unsafe/a", "r").await;
    gateway.metric("rillford_endpoints").await as usize == 3
  };
  assert!(eventually(TIMEOUT, is_seen).await);
  assert_eq!(gateway.ask("/safe/a", "r").await.status, StatusCode::OK);
  assert_ne!(gateway.ask("/newer/a", "r").await.status, StatusCode::OK);
}
