//! Configurations and endpoint entries from the store, and the box's settings.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply, TIMEOUT},
  emulator::eventually,
  http::StatusCode,
  rillford::gateway::{Activation, GatewaySettings},
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

async fn portal() -> (EndpointStandIn, GatewayBox) {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let gateway = GatewayTest::new().await.with_portal(&one).await;
  (one, gateway)
}

/// Writes a configuration that differs only in the path of the first route.
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
async fn only_a_newer_configuration_replaces_the_current_one() {
  let (_, gateway) = portal().await;
  put(&gateway, 9, "/newer/");
  assert!(eventually(TIMEOUT, async || is_found(&gateway, "/newer/a").await).await);
  put(&gateway, 7, "/older/");
  put(&gateway, 10, "/newest/");
  assert!(eventually(TIMEOUT, async || is_found(&gateway, "/newest/a").await).await);
  put(&gateway, 8, "/older/");
  // The box has seen the configuration once it knows an endpoint that was listed later.
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway.test.enter("p-2", "portal", None, &other);
  let seen_by_other = async || {
    gateway.ask("/unsafe/a", "r").await;
    !other.requests().is_empty()
  };
  assert!(eventually(TIMEOUT, seen_by_other).await);
  assert!(is_found(&gateway, "/newest/a").await);
  gateway.test.store.put("op/config", b"{not a configuration");
  gateway.test.store.compact_history();
  let listings = gateway.test.store.listings();
  assert!(eventually(TIMEOUT, async || gateway.test.store.listings() > listings).await);
  assert!(is_found(&gateway, "/newest/a").await);
  assert!(!is_found(&gateway, "/older/a").await);
}

#[tokio::test]
async fn leaving_or_removed_endpoint_gets_no_more_requests() {
  let (one, gateway) = portal().await;
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway
    .test
    .enter_at("p-1", "portal", None, one.address, "draining");
  gateway.test.enter("p-2", "portal", None, &other);
  let comes_from_other =
    async || gateway.ask("/unsafe/a", "r").await.body.as_deref() == Ok("other");
  assert!(eventually(TIMEOUT, comes_from_other).await);
  let before = one.requests().len();
  for _ in 0..10 {
    gateway.ask("/unsafe/a", "r").await;
  }
  assert_eq!(one.requests().len(), before);
  gateway.test.store.remove("servers/p-2");
  let rejected =
    async || gateway.ask("/unsafe/a", "r").await.status == StatusCode::SERVICE_UNAVAILABLE;
  assert!(eventually(TIMEOUT, rejected).await);
}

#[tokio::test]
async fn compacted_history_is_replaced_by_a_listing() {
  let (_, gateway) = portal().await;
  let other = EndpointStandIn::start(|seen| Reply::ok(seen, "other")).await;
  gateway.test.store.remove("servers/p-1");
  gateway.test.enter("p-2", "portal", None, &other);
  gateway.test.store.compact_history();
  let comes_from_other =
    async || gateway.ask("/unsafe/a", "r").await.body.as_deref() == Ok("other");
  assert!(eventually(TIMEOUT, comes_from_other).await);
}

#[tokio::test]
async fn box_serves_during_a_store_outage_and_catches_up() {
  let (_, gateway) = portal().await;
  gateway.test.store.set_down(true);
  for _ in 0..5 {
    assert!(is_found(&gateway, "/safe/a").await);
  }
  put(&gateway, 9, "/newer/");
  gateway.test.store.set_down(false);
  assert!(eventually(TIMEOUT, async || is_found(&gateway, "/newer/a").await).await);
}

#[tokio::test]
async fn entry_that_expired_during_a_store_outage_is_used_until_the_store_is_back() {
  let (_, gateway) = portal().await;
  gateway.test.store.set_down(true);
  assert!(eventually(TIMEOUT, async || is_found(&gateway, "/safe/a").await).await);
  // Longer than the delay after a failed call, so that the box has noticed the outage.
  sleep(Duration::from_millis(800)).await;
  gateway.test.store.remove("servers/p-1");
  gateway.test.store.compact_history();
  let listings = gateway.test.store.listings();
  gateway.test.store.set_down(false);
  assert!(eventually(TIMEOUT, async || gateway.test.store.listings() > listings).await);
  assert!(is_found(&gateway, "/safe/a").await);
  let removed = async || !is_found(&gateway, "/safe/a").await;
  assert!(eventually(TIMEOUT, removed).await);
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
#[case(
  "[engines]",
  "[limits]\nreturn_order = \"often\"\n[engines]",
  "limits.return_order must be \"never\", \"by_configuration\" or \"always\", not \"often\""
)]
#[case(
  "[engines]",
  "[prefill_queue]\nenabled = \"sometimes\"\n[engines]",
  "prefill_queue.enabled must be \"never\", \"by_configuration\" or \"always\", not \"sometimes\""
)]
#[case(
  "[engines]",
  "[prefill_queue]\nenable = \"always\"\n[engines]",
  "unknown field `enable`"
)]
fn invalid_settings_are_reported_with_file_and_key(
  #[case] from: &str,
  #[case] to: &str,
  #[case] reported: &str,
) {
  assert!(GatewaySettings::parse("box.toml".as_ref(), SETTINGS).is_ok());
  let text = SETTINGS.replace(from, to);
  assert_ne!(text, SETTINGS);
  let error = GatewaySettings::parse("box.toml".as_ref(), &text)
    .unwrap_err()
    .to_string();
  assert!(
    error.contains("box.toml") && error.contains(reported),
    "{error}"
  );
}

#[rstest]
#[case::missing("", Activation::Never)]
#[case::by_configuration(
  "[prefill_queue]\nenabled = \"by_configuration\"",
  Activation::ByConfiguration
)]
#[case::always("[prefill_queue]\nenabled = \"always\"", Activation::Always)]
fn prefill_queue_is_off_unless_enabled(#[case] table: &str, #[case] expected: Activation) {
  let text = format!("{SETTINGS}{table}");
  let settings = GatewaySettings::parse("box.toml".as_ref(), &text).unwrap();
  assert_eq!(settings.prefill_queue.enabled, expected);
}

/// Guards against a box that reports ready after the first page of a listing, before it knows all endpoints.
#[tokio::test]
async fn box_is_ready_only_after_a_complete_listing() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await;
  test.put_configuration();
  for id in ["p-1", "p-2", "p-3"] {
    test.enter(id, "portal", None, &one);
  }
  test.store.set_withholds_pages(true);
  let gateway = test.start_unready();
  let asked_for_more = async || gateway.test.store.listings() >= 2;
  assert!(eventually(TIMEOUT, asked_for_more).await);
  assert!(!gateway.is_ready().await);
  gateway.test.store.set_withholds_pages(false);
  assert!(gateway.becomes_ready().await);
}

#[tokio::test]
async fn listing_continues_after_a_rejected_page() {
  let endpoint = EndpointStandIn::start(|seen| Reply::ok(seen, "fine")).await;
  let test = GatewayTest::new().await;
  test.store.reject_pages(3);
  for number in 1..6 {
    test.enter(&format!("p-{number}"), "portal", None, &endpoint);
  }
  let gateway = test.start().await;
  assert_eq!(gateway.test.store.first_pages(), 1);
}

/// A store that lists stale pages: one endpoint was added and one removed since.
async fn store_with_stale_pages(
  first: &EndpointStandIn,
  removed: &EndpointStandIn,
  added: &EndpointStandIn,
) -> GatewayTest {
  let test = GatewayTest::new().await;
  test.put_configuration();
  test.enter("p-1", "portal", None, first);
  test.enter("p-2", "portal", None, removed);
  test.store.freeze_stale_reads();
  test.store.remove("servers/p-2");
  test.enter("p-3", "portal", None, added);
  test
}

/// Sends requests until one reaches an endpoint.
async fn is_reached(gateway: &GatewayBox, endpoint: &EndpointStandIn) -> bool {
  let reached = async || {
    gateway.ask("/unsafe/a", "r").await;
    !endpoint.requests().is_empty()
  };
  eventually(TIMEOUT, reached).await
}

#[rstest]
#[case::history_is_there(false)]
#[case::history_is_lost(true)]
#[tokio::test]
async fn first_listing_reads_stale_pages_and_catches_up(#[case] history_is_lost: bool) {
  let first = EndpointStandIn::start(|seen| Reply::ok(seen, "first")).await;
  let removed = EndpointStandIn::start(|seen| Reply::ok(seen, "removed")).await;
  let added = EndpointStandIn::start(|seen| Reply::ok(seen, "added")).await;
  let test = store_with_stale_pages(&first, &removed, &added).await;
  if history_is_lost {
    test.store.compact_history();
  }
  let gateway = test.start().await;
  assert!(gateway.test.store.stale_pages() > 0);
  assert!(is_reached(&gateway, &added).await);
  let before = removed.requests().len();
  for _ in 0..10 {
    gateway.ask("/unsafe/a", "r").await;
  }
  assert_eq!(removed.requests().len(), before);
}

#[tokio::test]
async fn later_listing_reads_no_stale_pages() {
  let first = EndpointStandIn::start(|seen| Reply::ok(seen, "first")).await;
  let added = EndpointStandIn::start(|seen| Reply::ok(seen, "added")).await;
  let test = GatewayTest::new().await;
  test.enter("p-1", "portal", None, &first);
  let gateway = test.start().await;
  gateway.test.store.freeze_stale_reads();
  gateway.test.store.remove("servers/p-1");
  gateway.test.enter("p-2", "portal", None, &added);
  assert!(is_reached(&gateway, &added).await);
  let (listings, stale_pages) = (
    gateway.test.store.listings(),
    gateway.test.store.stale_pages(),
  );
  gateway.test.store.compact_history();
  assert!(eventually(TIMEOUT, async || gateway.test.store.listings() > listings).await);
  assert_eq!(
    gateway.ask("/safe/a", "r").await.body.as_deref(),
    Ok("added")
  );
  assert_eq!(gateway.test.store.stale_pages(), stale_pages);
}
