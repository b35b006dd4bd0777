//! RegionSet: the regions in which requests of a route or an organisation may be served.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, PATIENCE, Reply, Seen, endpoint::engine_reply,
  },
  emulator::eventually,
  http::{HeaderValue, StatusCode, header::AUTHORIZATION},
  rstest::rstest,
  serde_json::{Value, json},
};

/// The box's own hall and another one, each in a region of its own (the harness's settings).
const OWN_HALL: &str = "north";
const OTHER_HALL: &str = "south";
const OWN_REGION: &str = "north-land";
const OTHER_REGION: &str = "south-land";
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const ASKS: usize = 12;

/// All routes have these homes.
fn with_route_homes(homes: Value) -> impl FnOnce(&mut Value) {
  move |configuration| {
    for route in configuration["routes"].as_array_mut().unwrap() {
      route["allowedRegions"] = homes.clone();
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
  let asked = gateway.send(request).await;
  (asked.status, asked.body.unwrap())
}

#[rstest]
#[case::elsewhere(json!([OTHER_REGION]), OTHER_HALL)]
#[case::here(json!([OWN_REGION]), OWN_HALL)]
#[case::both(json!([OTHER_REGION, OWN_REGION]), OWN_HALL)]
#[tokio::test]
async fn requests_go_to_the_homes_of_their_route(#[case] homes: Value, #[case] hall: &str) {
  let test = GatewayTest::new().await.configure(with_route_homes(homes));
  let _endpoints = two_halls(&test).await;
  let gateway = test.start().await;
  for number in 0..ASKS {
    let asked = gateway.ask("/unsafe/a", &format!("r{number}")).await;
    assert_eq!(asked.body.as_deref(), Ok(hall));
  }
}

#[tokio::test]
async fn request_that_no_home_can_serve_is_refused_at_once() {
  let test = GatewayTest::new()
    .await
    .configure(with_route_homes(json!([OTHER_REGION])));
  let one = EndpointStandIn::engine(EVENTS).await;
  test.enter_in_hall("p-1", "portal", None, &one, OWN_HALL);
  test.enter_in_hall("e-1", "llm", Some("prefill"), &one, OWN_HALL);
  test.enter_in_hall("e-2", "llm", Some("decode"), &one, OWN_HALL);
  let gateway = test.start().await;
  for path in ["/safe/a", "/unsafe/a", "/stream/a", "/resumable/a"] {
    let asked = gateway.ask(path, "r").await;
    assert_eq!(asked.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
    assert!(asked.headers.contains_key("retry-after"), "{path}");
  }
  assert!(one.seen().is_empty());
}

/// Both bind where both have homes: the keys' holders differ in theirs, and the route has both regions.
#[tokio::test]
async fn homes_of_organisations_bind_beside_those_of_routes() {
  let test = GatewayTest::new().await.configure(|configuration| {
    with_route_homes(json!([OTHER_REGION, OWN_REGION]))(configuration);
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

/// A stream that is resumed, too: an engine elsewhere that keeps its prompt is not asked.
#[rstest]
#[case::begins(None)]
#[case::goes_on(Some("1"))]
#[tokio::test]
async fn seats_prompts_and_streams_stay_at_home(#[case] last_event_id: Option<&str>) {
  let test = GatewayTest::new()
    .await
    .configure(with_route_homes(json!([OTHER_REGION])));
  let mut abroad = Vec::new();
  let mut at_home = Vec::new();
  for (id, stage, hall) in [
    ("e-1", "prefill", OWN_HALL),
    ("e-2", "decode", OWN_HALL),
    ("e-3", "prefill", OTHER_HALL),
    ("e-4", "decode", OTHER_HALL),
  ] {
    let engine = EndpointStandIn::start(|seen: &Seen| engine_reply(seen, EVENTS)).await;
    test.enter_in_hall(id, "llm", Some(stage), &engine, hall);
    match hall {
      OWN_HALL => abroad.push(engine),
      _ => at_home.push(engine),
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
  assert_eq!(runs(&abroad), 0);
  assert!(runs(&at_home) >= ASKS);
}

#[rstest]
#[case::empty(json!([]))]
#[case::region_of_no_hall(json!(["atlantis"]))]
#[case::one_of_them_unknown(json!([OWN_REGION, "atlantis"]))]
#[case::text(json!(OWN_REGION))]
#[case::numbers(json!([1, 2]))]
#[tokio::test]
async fn document_with_homes_that_mean_nothing_changes_nothing(#[case] homes: Value) {
  let test = GatewayTest::new().await;
  let _endpoints = two_halls(&test).await;
  let gateway = test.start().await;
  let mut configuration = gateway.test.configuration.clone();
  configuration["version"] = json!(9);
  configuration["routes"][0]["pathPrefix"] = json!("/newer/");
  configuration["routes"][1]["allowedRegions"] = homes;
  let store = &gateway.test.store;
  store.put("op/config", configuration.to_string().as_bytes());
  // What is entered after it shows that the box has seen it.
  let later = EndpointStandIn::start(|seen| Reply::ok(seen, "later")).await;
  gateway.test.enter("p-3", "portal", None, &later);
  let is_seen = async || {
    gateway.ask("/unsafe/a", "r").await;
    gateway.figure("rillford_endpoints").await as usize == 3
  };
  assert!(eventually(PATIENCE, is_seen).await);
  assert_eq!(gateway.ask("/safe/a", "r").await.status, StatusCode::OK);
  assert_ne!(gateway.ask("/newer/a", "r").await.status, StatusCode::OK);
}
