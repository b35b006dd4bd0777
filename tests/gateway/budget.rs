//! Retries are charged to a budget that all boxes share.

use {
  super::{EndpointStandIn, GatewayTest, Reply, Seen},
  rillford::gateway::{RetryAllowance, RetryWindow},
  rstest::rstest,
};

const ALLOWANCE: RetryAllowance = RetryAllowance {
  ratio: 0.2,
  slack: 56.0,
  window_ms: 10_000,
};

/// Random requests and retries, counted in every window over all boxes.
#[rstest]
#[case(8, 1)]
#[case(8, 2)]
#[case(61, 3)]
#[case(1, 4)]
fn retries_of_all_boxes_stay_within_the_allowance_in_every_window(
  #[case] boxes: usize,
  #[case] seed: u64,
) {
  let mut state = seed;
  let mut draw = move || {
    state = state
      .wrapping_mul(6_364_136_223_846_793_005)
      .wrapping_add(1_442_695_040_888_963_407);
    state >> 33
  };
  let mut windows = vec![RetryWindow::default(); boxes];
  let mut requests = Vec::new();
  let mut retries = Vec::new();
  for now_ms in (0..60_000).step_by(7) {
    let window = &mut windows[draw() as usize % boxes];
    if draw() % 3 == 0 {
      window.record_request(now_ms);
      requests.push(now_ms);
    }
    if window.take(ALLOWANCE, boxes, now_ms) {
      retries.push(now_ms);
    }
  }
  for from_ms in (0..50_000).step_by(100) {
    let within = |times: &[u64]| {
      times
        .iter()
        .filter(|at_ms| (from_ms..from_ms + 10_000).contains(*at_ms))
        .count()
    };
    let allowed = 0.2 * within(&requests) as f64 + 56.0;
    assert!(
      within(&retries) as f64 <= allowed,
      "{} for {allowed} from {from_ms} ms",
      within(&retries)
    );
  }
}

#[tokio::test]
async fn retries_stop_when_the_budget_is_spent() {
  let failing = |seen: &Seen| Reply::status(seen, "500 Internal Server Error", "");
  let one = EndpointStandIn::start(failing).await;
  let other = EndpointStandIn::start(failing).await;
  let gateway = GatewayTest::new().await.with_portals(&one, &other).await;
  let sent = 40;
  for number in 0..sent {
    gateway.ask("/safe/a", &format!("r{number}")).await;
  }
  let retries = one.requests().len() + other.requests().len() - sent;
  // The ratio, and a sixth of the slack: at least six boxes are assumed.
  assert!(retries > 0);
  assert!(
    retries as f64 <= 0.2 * sent as f64 + 60.0 / 6.0,
    "{retries}"
  );
}
