//! Authentication: API keys, organisations, and what endpoints receive of them.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, Reply, Seen, TIMEOUT, store_proxy::StoreProxy,
  },
  emulator::eventually,
  http::{HeaderValue, StatusCode, header::AUTHORIZATION},
  rstest::rstest,
  serde_json::{Value, json},
};

/// A configuration with two organisations; `/unsafe/` allows anonymous callers.
fn with_organisations(configuration: &mut Value) {
  configuration["tenants"] = json!([
    {"name": "captions", "apiKeys": ["key-a", "key-b"], "priority": 3, "unit": "token_stream", "plainTokens": 200},
    {"name": "lectures", "apiKeys": ["key-c"], "unit": "token_stream", "plainTokens": 200},
  ]);
  configuration["routes"][1]["allowAnonymous"] = json!(true);
}

async fn portal() -> (EndpointStandIn, GatewayBox) {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_organisations);
  let gateway = test.with_portal(&one).await;
  (one, gateway)
}

/// Sends a request with `Authorization` headers and an organisation's name that the caller claims.
async fn ask(gateway: &GatewayBox, path: &str, authorization: &[&str]) -> StatusCode {
  let mut request = gateway.request(path, "r");
  for value in authorization {
    let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
    request.headers_mut().append(AUTHORIZATION, value);
  }
  let claimed = HeaderValue::from_static("claimed");
  request.headers_mut().insert("x-tenant", claimed);
  gateway.send(request).await.status
}

async fn is_served(gateway: &GatewayBox, key: &str) -> bool {
  ask(gateway, "/safe/a", &[&format!("Bearer {key}")]).await == StatusCode::OK
}

fn last(endpoint: &EndpointStandIn) -> Seen {
  endpoint.requests().last().unwrap().clone()
}

#[rstest]
#[case::unknown("/safe/a", &["Bearer wrong"], StatusCode::UNAUTHORIZED)]
#[case::unknown_on_an_open_route("/unsafe/a", &["Bearer wrong"], StatusCode::UNAUTHORIZED)]
#[case::none("/safe/a", &[], StatusCode::UNAUTHORIZED)]
#[case::other_scheme("/safe/a", &["Basic key-a"], StatusCode::UNAUTHORIZED)]
#[case::no_scheme("/safe/a", &["key-a"], StatusCode::UNAUTHORIZED)]
#[case::empty("/safe/a", &["Bearer "], StatusCode::UNAUTHORIZED)]
#[case::no_text("/safe/a", &["Bearer k\u{e9}y"], StatusCode::UNAUTHORIZED)]
#[case::several("/safe/a", &["Bearer key-a", "Bearer key-c"], StatusCode::BAD_REQUEST)]
#[case::several_on_an_open_route("/unsafe/a", &["Bearer key-a", "Bearer key-a"], StatusCode::BAD_REQUEST)]
#[tokio::test]
async fn unauthenticated_request_reaches_no_endpoint(
  #[case] path: &str,
  #[case] authorization: &[&str],
  #[case] status: StatusCode,
) {
  let (one, gateway) = portal().await;
  assert_eq!(ask(&gateway, path, authorization).await, status);
  assert!(one.requests().is_empty());
}

#[rstest]
#[case::key("/safe/a", &["Bearer key-b"], "captions")]
#[case::scheme_in_other_case("/safe/a", &["bEARER  key-c"], "lectures")]
#[case::key_on_an_open_route("/unsafe/a", &["Bearer key-a"], "captions")]
#[case::open_route("/unsafe/a", &[], "")]
#[tokio::test]
async fn endpoint_receives_the_organisation_and_never_the_key(
  #[case] path: &str,
  #[case] authorization: &[&str],
  #[case] organisation: &str,
) {
  let (one, gateway) = portal().await;
  assert_eq!(ask(&gateway, path, authorization).await, StatusCode::OK);
  let seen = last(&one);
  assert_eq!(seen.header("x-tenant"), organisation);
  assert_eq!(seen.header("authorization"), "");
}

#[tokio::test]
async fn key_is_forwarded_without_organisations() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  assert_eq!(
    ask(&gateway, "/safe/a", &["Bearer theirs"]).await,
    StatusCode::OK
  );
  assert_eq!(last(&one).header("authorization"), "Bearer theirs");
}

#[rstest]
#[case::of_the_route("route", "1")]
#[case::of_the_organisation("organisation", "3")]
#[tokio::test]
async fn each_stage_of_a_stream_carries_the_organisation_and_a_priority(
  #[case] engine_priority: &'static str,
  #[case] priority: &str,
) {
  let prefill = EndpointStandIn::start(|seen| {
    Reply::status(
      seen,
      "200 OK",
      r#"{"promptHandle":"h","tokens":3,"version":1}"#,
    )
  })
  .await;
  let decode = EndpointStandIn::start(|seen| match seen.path.as_str() {
    "/hold-take" => Reply::status(seen, "200 OK", r#"{"hold":"s"}"#),
    _ => Reply::stream(seen, "id: 1\ndata: a\n\n"),
  })
  .await;
  let mut test = GatewayTest::new().await.configure(with_organisations);
  test.engine_priority = engine_priority;
  let gateway = test.with_engines(&prefill, &decode).await;
  assert_eq!(
    ask(&gateway, "/stream/a", &["Bearer key-a"]).await,
    StatusCode::OK
  );
  let stages = [&prefill, &decode].map(|engine| {
    let of_caller = |seen: &Seen| seen.path.starts_with("/stream/");
    engine.requests().into_iter().find(of_caller).unwrap()
  });
  for stage in stages {
    assert_eq!(stage.header("x-tenant"), "captions");
    assert_eq!(stage.header("x-request-priority"), priority);
    assert_eq!(stage.header("authorization"), "");
  }
}

/// Writes a configuration with other organisations.
fn put(gateway: &GatewayBox, version: u64, organisations: Value) {
  let mut configuration = gateway.test.configuration.clone();
  configuration["version"] = version.into();
  configuration["tenants"] = organisations;
  gateway
    .test
    .store
    .put("op/config", configuration.to_string().as_bytes());
}

#[tokio::test]
async fn keys_are_added_moved_and_removed_with_the_configuration() {
  let (one, gateway) = portal().await;
  let organisations = json!([
    {"name": "captions", "apiKeys": ["key-a"]},
    {"name": "lectures", "apiKeys": ["key-b", "key-d"]},
    {"name": "idle", "apiKeys": []},
  ]);
  put(&gateway, 9, organisations);
  assert!(eventually(TIMEOUT, async || is_served(&gateway, "key-d").await).await);
  assert!(!is_served(&gateway, "key-c").await);
  assert!(is_served(&gateway, "key-b").await);
  assert_eq!(last(&one).header("x-tenant"), "lectures");
  // An older version is ignored.
  put(
    &gateway,
    8,
    json!([{"name": "captions", "apiKeys": ["key-c"]}]),
  );
  put(
    &gateway,
    10,
    json!([{"name": "captions", "apiKeys": ["key-e"]}]),
  );
  assert!(eventually(TIMEOUT, async || is_served(&gateway, "key-e").await).await);
  assert!(!is_served(&gateway, "key-c").await);
}

#[rstest]
#[case::key_of_two(json!([{"name": "a", "apiKeys": ["key-c"]}, {"name": "b", "apiKeys": ["key-c"]}]))]
#[case::key_twice(json!([{"name": "a", "apiKeys": ["key-c", "key-c"]}]))]
#[case::name_twice(json!([{"name": "a", "apiKeys": ["key-c"]}, {"name": "a", "apiKeys": ["key-d"]}]))]
#[case::name_no_header(json!([{"name": "a\nb", "apiKeys": ["key-c"]}]))]
#[case::no_name(json!([{"name": " ", "apiKeys": ["key-c"]}]))]
#[tokio::test]
async fn invalid_configuration_leaves_the_previous_one_in_force(#[case] organisations: Value) {
  let (_, gateway) = portal().await;
  put(&gateway, 9, organisations);
  // The box has seen the configuration once it knows an endpoint that was listed later.
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway.test.enter("p-2", "portal", None, &other);
  let seen_by_other = async || {
    is_served(&gateway, "key-a").await;
    !other.requests().is_empty()
  };
  assert!(eventually(TIMEOUT, seen_by_other).await);
  assert!(is_served(&gateway, "key-a").await);
}

/// Guards against a removed key staying valid at a box that is cut off from the store but reaches another box.
#[tokio::test]
async fn box_cut_off_from_the_store_receives_keys_from_another_box() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_organisations);
  let proxy = StoreProxy::to(test.store.address).await;
  let second = test.second_box("north-2", proxy.address);
  let sound = test.with_portal(&one).await;
  let cut_off = second.start().await;
  let know_each_other = async || {
    let entered = |key: &String| key.contains("north-1") || key.contains("north-2");
    sound
      .test
      .store
      .keys()
      .iter()
      .filter(|key| entered(key))
      .count()
      >= 2
  };
  assert!(eventually(TIMEOUT, know_each_other).await);
  // An endpoint that is listed now is seen after the boxes' entries.
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  sound.test.enter("p-2", "portal", None, &other);
  let has_seen_it = async || {
    is_served(&cut_off, "key-a").await;
    !other.requests().is_empty()
  };
  assert!(eventually(TIMEOUT, has_seen_it).await);
  proxy.cut().await;
  put(
    &sound,
    9,
    json!([{"name": "captions", "apiKeys": ["key-b"]}]),
  );
  let is_refused =
    async || ask(&cut_off, "/safe/a", &["Bearer key-a"]).await == StatusCode::UNAUTHORIZED;
  assert!(eventually(TIMEOUT, is_refused).await);
  assert!(is_served(&cut_off, "key-b").await);
}

/// A newer configuration may contain the key, which a box without store contact can't know.
#[tokio::test]
async fn unknown_key_is_rejected_with_retry_after_while_the_store_is_silent() {
  let (one, gateway) = portal().await;
  gateway.test.store.set_down(true);
  let not_run = async || {
    let status = ask(&gateway, "/safe/a", &["Bearer new"]).await;
    status == StatusCode::SERVICE_UNAVAILABLE
  };
  assert!(eventually(TIMEOUT, not_run).await);
  assert_eq!(
    ask(&gateway, "/safe/a", &[]).await,
    StatusCode::UNAUTHORIZED
  );
  assert!(one.requests().is_empty());
}
