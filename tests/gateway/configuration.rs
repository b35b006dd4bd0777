//! Configurations and endpoint entries as the store tells them.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, PATIENCE, Reply},
  emulator::eventually,
  http::StatusCode,
  rillford::gateway::GatewaySettings,
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

async fn portal() -> (EndpointStandIn, GatewayBox) {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  (one, gateway)
}

/// Puts a configuration whose only difference is the path of the first route.
fn put(gateway: &GatewayBox, version: u64, path: &str) {
  let mut configuration = gateway.test.configuration.clone();
  configuration["version"] = version.into();
  configuration["routes"][0]["pathPrefix"] = path.into();
  gateway
    .test
    .store
    .put("op/config", configuration.to_string().as_bytes());
}

async fn is_found(gateway: &GatewayBox, path: &str) -> bool {
  gateway.ask(path, "r").await.status == StatusCode::OK
}

#[tokio::test]
async fn newer_configuration_replaces_and_older_never_comes_back() {
  let (_, gateway) = portal().await;
  put(&gateway, 9, "/newer/");
  assert!(eventually(PATIENCE, async || is_found(&gateway, "/newer/a").await).await);
  put(&gateway, 7, "/older/");
  put(&gateway, 10, "/newest/");
  assert!(eventually(PATIENCE, async || is_found(&gateway, "/newest/a").await).await);
  put(&gateway, 8, "/older/");
  // What is entered after it shows that the box has seen it.
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway.test.enter("p-2", "portal", None, &other);
  let seen_by_other = async || {
    gateway.ask("/unsafe/a", "r").await;
    !other.requests().is_empty()
  };
  assert!(eventually(PATIENCE, seen_by_other).await);
  assert!(is_found(&gateway, "/newest/a").await);
  gateway.test.store.put("op/config", b"{not a configuration");
  gateway.test.store.compact_history();
  let listings = gateway.test.store.listings();
  assert!(eventually(PATIENCE, async || gateway.test.store.listings() > listings).await);
  assert!(is_found(&gateway, "/newest/a").await);
  assert!(!is_found(&gateway, "/older/a").await);
}

#[tokio::test]
async fn endpoint_that_leaves_or_is_gone_gets_no_more_requests() {
  let (one, gateway) = portal().await;
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway
    .test
    .enter_at("p-1", "portal", None, one.address, "draining");
  gateway.test.enter("p-2", "portal", None, &other);
  let comes_from_other =
    async || gateway.ask("/unsafe/a", "r").await.body.as_deref() == Ok("other");
  assert!(eventually(PATIENCE, comes_from_other).await);
  let before = one.requests().len();
  for _ in 0..10 {
    gateway.ask("/unsafe/a", "r").await;
  }
  assert_eq!(one.requests().len(), before);
  gateway.test.store.remove("servers/p-2");
  let refused =
    async || gateway.ask("/unsafe/a", "r").await.status == StatusCode::SERVICE_UNAVAILABLE;
  assert!(eventually(PATIENCE, refused).await);
}

#[tokio::test]
async fn lost_history_is_made_up_for_by_a_listing() {
  let (_, gateway) = portal().await;
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway.test.store.remove("servers/p-1");
  gateway.test.enter("p-2", "portal", None, &other);
  gateway.test.store.compact_history();
  let comes_from_other =
    async || gateway.ask("/unsafe/a", "r").await.body.as_deref() == Ok("other");
  assert!(eventually(PATIENCE, comes_from_other).await);
}

#[tokio::test]
async fn box_serves_on_while_the_store_is_away_and_catches_up() {
  let (_, gateway) = portal().await;
  gateway.test.store.set_down(true);
  for _ in 0..5 {
    assert!(is_found(&gateway, "/safe/a").await);
  }
  put(&gateway, 9, "/newer/");
  gateway.test.store.set_down(false);
  assert!(eventually(PATIENCE, async || is_found(&gateway, "/newer/a").await).await);
}

#[tokio::test]
async fn entry_that_lapsed_while_the_store_was_away_is_used_until_it_is_back() {
  let (_, gateway) = portal().await;
  gateway.test.store.set_down(true);
  assert!(eventually(PATIENCE, async || is_found(&gateway, "/safe/a").await).await);
  // Longer than the pause after a failed call, so that the box has noticed.
  sleep(Duration::from_millis(800)).await;
  gateway.test.store.remove("servers/p-1");
  gateway.test.store.compact_history();
  let listings = gateway.test.store.listings();
  gateway.test.store.set_down(false);
  assert!(eventually(PATIENCE, async || gateway.test.store.listings() > listings).await);
  assert!(is_found(&gateway, "/safe/a").await);
  let forgotten = async || !is_found(&gateway, "/safe/a").await;
  assert!(eventually(PATIENCE, forgotten).await);
}

const SETTINGS: &str = r#"[box]
name = "a"
hall = "north"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
boxes = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
least_lease_ms = 1000
[bounds]
stop_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
order_gap_ms = 3000
contact_ms = 3000
configuration_ms = 2000
[engines]
prefill_share = 0.25
"#;

#[rstest]
#[case("prefill_share = 0.25", "prefill_share = 1.5", "engines.prefill_share")]
#[case("stop_s = 8", "stop_s = 0", "bounds.stop_s")]
#[case("retry_slack = 56", "retry_slack = -1", "bounds.retry_slack")]
#[case("callers = \"127.0.0.1:1\"", "callers = \"here\"", "box.toml:5")]
#[case("least_lease_ms = 1000", "", "least_lease_ms")]
#[case(
  "[engines]",
  "[mechanisms]\nrole_order = false\n[engines]",
  "unknown field `role_order`"
)]
#[case("[engines]", "[mechanisms]\nrole_orders = 0\n[engines]", "box.toml:")]
fn wrong_settings_are_told_with_file_and_key(
  #[case] from: &str,
  #[case] to: &str,
  #[case] told: &str,
) {
  assert!(GatewaySettings::parse("box.toml".as_ref(), SETTINGS).is_ok());
  let text = SETTINGS.replace(from, to);
  assert_ne!(text, SETTINGS);
  let error = GatewaySettings::parse("box.toml".as_ref(), &text)
    .unwrap_err()
    .to_string();
  assert!(
    error.contains("box.toml") && error.contains(told),
    "{error}"
  );
}

/// Seen once as a test that failed: a box that had read the first page of the list said that it was ready and
/// refused streams, since it knew no engine yet.
#[tokio::test]
async fn box_is_ready_only_when_it_has_read_the_whole_list() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await;
  test.put_configuration();
  for id in ["p-1", "p-2", "p-3"] {
    test.enter(id, "portal", None, &one);
  }
  test.store.set_withholds_pages(true);
  let gateway = test.start_unready();
  let asked_for_more = async || gateway.test.store.listings() >= 2;
  assert!(eventually(PATIENCE, asked_for_more).await);
  assert!(!gateway.is_ready().await);
  gateway.test.store.set_withholds_pages(false);
  assert!(gateway.is_ready_soon().await);
}

#[tokio::test]
async fn listing_goes_on_after_a_page_that_was_refused() {
  let endpoint = EndpointStandIn::start(|seen| Reply::ok(seen, "fine")).await;
  let test = GatewayTest::new().await;
  test.store.reject_pages(3);
  for number in 1..6 {
    test.enter(&format!("p-{number}"), "portal", None, &endpoint);
  }
  let gateway = test.start().await;
  assert_eq!(gateway.test.store.first_pages(), 1);
}

/// A store with an old page: after it one endpoint came, one left, and the configuration changed.
async fn store_that_lags(
  first: &EndpointStandIn,
  left: &EndpointStandIn,
  came: &EndpointStandIn,
) -> GatewayTest {
  let test = GatewayTest::new().await;
  test.put_configuration();
  test.enter("p-1", "portal", None, first);
  test.enter("p-2", "portal", None, left);
  test.store.freeze_stale_reads();
  test.store.remove("servers/p-2");
  test.enter("p-3", "portal", None, came);
  test
}

/// Asks until an endpoint has been seen, and then some more.
async fn is_reached(gateway: &GatewayBox, endpoint: &EndpointStandIn) -> bool {
  let reached = async || {
    gateway.ask("/unsafe/a", "r").await;
    !endpoint.requests().is_empty()
  };
  eventually(PATIENCE, reached).await
}

#[rstest]
#[case::history_is_there(false)]
#[case::history_is_lost(true)]
#[tokio::test]
async fn first_listing_reads_old_pages_and_makes_up_for_them(#[case] history_is_lost: bool) {
  let first = EndpointStandIn::start(|seen| Reply::ok(seen, "first")).await;
  let left = EndpointStandIn::start(|seen| Reply::ok(seen, "left")).await;
  let came = EndpointStandIn::start(|seen| Reply::ok(seen, "came")).await;
  let test = store_that_lags(&first, &left, &came).await;
  if history_is_lost {
    test.store.compact_history();
  }
  let gateway = test.start().await;
  assert!(gateway.test.store.stale_pages() > 0);
  assert!(is_reached(&gateway, &came).await);
  let before = left.requests().len();
  for _ in 0..10 {
    gateway.ask("/unsafe/a", "r").await;
  }
  assert_eq!(left.requests().len(), before);
}

#[tokio::test]
async fn later_listing_takes_nothing_back_by_an_old_page() {
  let first = EndpointStandIn::start(|seen| Reply::ok(seen, "first")).await;
  let came = EndpointStandIn::start(|seen| Reply::ok(seen, "came")).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &first);
  let gateway = test.start().await;
  gateway.test.store.freeze_stale_reads();
  gateway.test.store.remove("servers/p-1");
  gateway.test.enter("p-2", "portal", None, &came);
  assert!(is_reached(&gateway, &came).await);
  let (listings, stale_pages) = (
    gateway.test.store.listings(),
    gateway.test.store.stale_pages(),
  );
  gateway.test.store.compact_history();
  assert!(eventually(PATIENCE, async || gateway.test.store.listings() > listings).await);
  assert_eq!(
    gateway.ask("/safe/a", "r").await.body.as_deref(),
    Ok("came")
  );
  assert_eq!(gateway.test.store.stale_pages(), stale_pages);
}
