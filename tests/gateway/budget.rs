//! Retries are charged to a budget that all boxes share.

use {
  super::{EndpointStandIn, GatewayTest, ReceivedRequest, Reply, TIMEOUT, endpoint::engine_reply},
  emulator::eventually,
  http::{HeaderValue, StatusCode},
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{BoxEntry, RetryAllowance, RetryNeed, RetryWindow},
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

/// Guards against retries that were returned some time after they were taken being counted for a whole window.
#[test]
fn retry_that_is_returned_later_can_be_taken_again() {
  let allowance = RetryAllowance {
    slack: 4.0,
    ..ALLOWANCE
  };
  let mut window = RetryWindow::default();
  assert!((0..2).all(|_| window.take(allowance, 1, 20_000)));
  window.record_request(20_900);
  assert!(!window.take(allowance, 1, 20_900));
  window.refund(20_000);
  assert!(window.take(allowance, 1, 20_900));
  assert!(!window.take(allowance, 1, 20_900));
}

/// Guards against requests that fail and find no retry left, because checks of streams' ends took them all.
#[test]
fn checks_leave_a_share_for_failed_requests() {
  let allowance = RetryAllowance {
    slack: 8.0,
    ..ALLOWANCE
  };
  let mut window = RetryWindow::default();
  let mut checks = 0;
  while window.usage(allowance, 1, 20_000).has_spare_retry() {
    window.record_retry(20_000);
    checks += 1;
  }
  assert_eq!(checks, 2);
  assert!((0..2).all(|_| window.take(allowance, 1, 20_000)));
  assert!(!window.take(allowance, 1, 20_000));
}

#[tokio::test]
async fn retries_stop_when_the_budget_is_spent() {
  let failing = |seen: &ReceivedRequest| Reply::status(seen, "500 Internal Server Error", "");
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

/// Boxes that share the budget at least, as far as a box knows.
const MIN_BOXES: usize = 6;

/// How requests and retries fall over boxes and time.
#[derive(Clone, Copy, Debug)]
enum RetryPattern {
  /// All boxes get requests evenly, and retry whatever they may.
  Steady,
  /// Requests end at 20 s, and retries begin.
  RequestsEnd,
  /// Callers move from one half of the boxes to the other at 20 s; the first half retries before, the second 10 s later.
  CallersMove,
  /// Boxes restart at random times, several times within a window, and retry at once.
  Restarts,
  /// All boxes restart at the same moment, after they have spent their shares.
  JointRestart,
}

/// A box of the simulation: its requests and retries, counted on its own clock.
struct SimulatedBox {
  started_ms: u64,
  window: RetryWindow,
}

impl SimulatedBox {
  fn restart(&mut self, now_ms: u64) {
    self.started_ms = now_ms;
    self.window = RetryWindow::default();
  }

  fn may_retry(&mut self, boxes: usize, now_ms: u64) -> bool {
    self.window.take(ALLOWANCE, boxes, now_ms - self.started_ms)
  }

  fn lends(&mut self, boxes: usize, now_ms: u64) -> bool {
    let at_ms = now_ms - self.started_ms;
    self
      .window
      .lend(ALLOWANCE, boxes, RetryNeed::Required, at_ms)
  }
}

/// Whether boxes borrow retries when their shares are spent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loans {
  Off,
  On,
}

/// The time after which a loan is sent at the latest: the timeout of a message.
const LOAN_DELAY_MS: u64 = 120;
/// Boxes that are asked for a loan.
const MAX_ASKED: usize = 2;

/// Whether one of the boxes that another one asks lends it a retry.
fn borrows(
  fleet: &mut [SimulatedBox],
  borrower: usize,
  now_ms: u64,
  random: &mut ChaCha8Rng,
) -> bool {
  let boxes = fleet.len();
  let asked: Vec<_> = (0..MAX_ASKED)
    .map(|_| random.random_range(0..boxes))
    .collect();
  let mut others = asked.into_iter().filter(|lender| *lender != borrower);
  others.any(|lender| fleet[lender].lends(boxes.max(MIN_BOXES), now_ms))
}

/// Plays a pattern with a share of 20 requests a second at each box, and returns the times of requests and of retries.
fn play(
  pattern: RetryPattern,
  boxes: usize,
  request_share: f64,
  seed: u64,
  loans: Loans,
) -> (Vec<u64>, Vec<u64>) {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  let mut loan_random = ChaCha8Rng::seed_from_u64(seed);
  let mut fleet: Vec<_> = (0..boxes)
    .map(|_| SimulatedBox {
      started_ms: 0,
      window: RetryWindow::default(),
    })
    .collect();
  let (mut requests, mut retries) = (Vec::new(), Vec::new());
  for now_ms in (20_000..60_000).step_by(50) {
    for index in 0..boxes {
      let at = &mut fleet[index];
      let is_first_half = index < boxes / 2;
      let (has_request, retries_now) = match pattern {
        RetryPattern::Steady | RetryPattern::JointRestart => (true, true),
        RetryPattern::RequestsEnd => (now_ms < 40_000, now_ms >= 39_950),
        RetryPattern::CallersMove if is_first_half => (now_ms < 40_000, now_ms == 39_950),
        RetryPattern::CallersMove => (now_ms >= 40_000, now_ms >= 49_900),
        RetryPattern::Restarts => (true, true),
      };
      let restarts = match pattern {
        RetryPattern::Restarts => random.random_bool(0.01),
        RetryPattern::JointRestart => now_ms == 40_000,
        _ => false,
      };
      if restarts {
        at.restart(now_ms);
      }
      if has_request && random.random_bool(request_share) {
        at.window.record_request(now_ms - at.started_ms);
        requests.push(now_ms);
      }
      while retries_now && at.may_retry(boxes.max(MIN_BOXES), now_ms) {
        retries.push(now_ms);
      }
      if loans == Loans::On && retries_now && borrows(&mut fleet, index, now_ms, &mut loan_random) {
        retries.push(now_ms + LOAN_DELAY_MS);
      }
    }
  }
  retries.sort_unstable();
  (requests, retries)
}

fn count_within(times: &[u64], from_ms: u64) -> f64 {
  let until_ms = from_ms + ALLOWANCE.window_ms;
  let within = times.partition_point(|at_ms| *at_ms < until_ms)
    - times.partition_point(|at_ms| *at_ms < from_ms);
  within as f64
}

/// The requests of a window count, or those of the window half or one length before it if they are more.
#[rstest]
fn retries_of_boxes_that_share_a_budget_stay_within_it(
  #[values(
    RetryPattern::Steady,
    RetryPattern::RequestsEnd,
    RetryPattern::CallersMove,
    RetryPattern::Restarts,
    RetryPattern::JointRestart
  )]
  pattern: RetryPattern,
  #[values(3, 8, 30, 58, 300, 985)] boxes: usize,
  #[values(0.02, 0.5)] request_share: f64,
  #[values(1, 2)] seed: u64,
  #[values(Loans::Off, Loans::On)] loans: Loans,
) {
  let (requests, retries) = play(pattern, boxes, request_share, seed, loans);
  for from_ms in (20_000..50_000).step_by(50) {
    let counted = [0, 5_000, 10_000].map(|before_ms| count_within(&requests, from_ms - before_ms));
    let counted = counted.into_iter().fold(0.0, f64::max);
    let allowed = ALLOWANCE.ratio * counted + ALLOWANCE.slack;
    let sent = count_within(&retries, from_ms);
    assert!(
      sent <= allowed,
      "{sent} retries of {allowed} allowed, from {from_ms} ms"
    );
  }
}

/// Guards against retries that are denied at the boxes that need them while others leave theirs.
#[rstest]
#[case(8)]
#[case(12)]
#[case(20)]
fn box_uses_retries_that_others_leave(#[case] boxes: usize) {
  let retries_of_one = |loans| {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut fleet: Vec<_> = (0..boxes)
      .map(|_| SimulatedBox {
        started_ms: 0,
        window: RetryWindow::default(),
      })
      .collect();
    let wanted = 0..10;
    wanted
      .filter(|_| {
        fleet[0].may_retry(boxes, 20_000)
          || (loans == Loans::On && borrows(&mut fleet, 0, 20_000, &mut random))
      })
      .count()
  };
  let share = (ALLOWANCE.slack / 2.0 / boxes as f64) as usize;
  assert_eq!(retries_of_one(Loans::Off), share);
  assert!(retries_of_one(Loans::On) > 2 * share);
}

/// Guards against boxes that divide the budget by the few boxes that are still registered after leases have expired.
#[rstest]
#[case::usual_slack(60.0)]
#[case::large_slack(600.0)]
#[tokio::test]
async fn boxes_whose_entries_have_expired_still_share_the_budget(#[case] slack: f64) {
  let failing = |seen: &ReceivedRequest| Reply::status(seen, "500 Internal Server Error", "");
  let one = EndpointStandIn::start(failing).await;
  let other = EndpointStandIn::start(failing).await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = slack;
  let others: Vec<String> = (1..58)
    .map(|number| format!("rillford/boxes/south-{number:02}"))
    .collect();
  let entry = BoxEntry {
    address: "127.0.0.1:9".parse().unwrap(),
    hall: "south".into(),
  };
  let value = postcard::to_stdvec(&entry).unwrap();
  for key in &others {
    test.store.put(key, &value);
  }
  let gateway = test.with_portals(&one, &other).await;
  let counts = async |boxes: f64| gateway.metric("rillford_boxes").await == boxes;
  assert!(eventually(TIMEOUT, async || counts(58.0).await).await);
  for key in &others {
    gateway.test.store.remove(key);
  }
  assert!(eventually(TIMEOUT, async || counts(1.0).await).await);
  let sent = 40;
  for number in 0..sent {
    gateway.ask("/safe/a", &format!("r{number}")).await;
  }
  let retries = one.requests().len() + other.requests().len() - sent;
  assert!(
    retries as f64 <= 0.2 * sent as f64 + slack / 58.0,
    "{retries}"
  );
}

/// Requests after which a box without slack may send a retry.
const REQUESTS_PER_RETRY: usize = 10;

/// Guards against a prefill that is sent after another engine has rejected the request, without a retry for it.
#[tokio::test]
async fn prefill_after_a_rejected_resumption_needs_a_retry() {
  let prefill = EndpointStandIn::start(Reply::not_run).await;
  let caching = EndpointStandIn::start(|seen| match seen.path.as_str() {
    "/kv-list" => Reply::ok(
      seen,
      r#"{"epoch":1,"nextPageToken":3,"held":[["","91bd",80,"m"]]}"#,
    ),
    path if path.starts_with("/resumable/") => Reply::not_run(seen),
    _ => engine_reply(seen, ""),
  })
  .await;
  let other = EndpointStandIn::engine("").await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = 0.0;
  test.enter("e-3", "llm", Some("decode"), &other);
  let gateway = test.with_engines(&prefill, &caching).await;
  let mut request = gateway.request("/resumable/a", "r1");
  let headers = request.headers_mut();
  headers.insert("last-event-id", HeaderValue::from_static("1"));
  headers.insert("x-prompt-prefix", HeaderValue::from_static("91bd:80"));
  let response = gateway.send(request).await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  assert_eq!(caching.requests().len(), 1);
  assert_eq!(prefill.requests().len(), 0);
}

/// Guards against a second prefill whose result is lost, since no retry is left for the decode engine.
#[tokio::test]
async fn last_retry_is_not_spent_on_a_prefill() {
  const EVENTS: &str = "id: 1\ndata: a\n\n";
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let script = |seen: &ReceivedRequest| match seen.id() {
    "lost" if seen.path.starts_with("/resumable/") && !seen.header("x-kv-source").is_empty() => {
      Reply::WriteAndClose("HTTP/1.1 200 OK".into())
    }
    _ => engine_reply(seen, EVENTS),
  };
  let one = EndpointStandIn::start(script).await;
  let other = EndpointStandIn::start(script).await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = 0.0;
  test.enter("e-3", "llm", Some("decode"), &other);
  let gateway = test.with_engines(&prefill, &one).await;
  for number in 1..REQUESTS_PER_RETRY {
    gateway.ask("/resumable/a", &format!("r{number}")).await;
  }
  let response = gateway.ask("/resumable/a", "lost").await;
  assert_eq!(response.status, StatusCode::OK);
  assert_eq!(prefill.requests().len(), REQUESTS_PER_RETRY);
}

/// Guards against a decode engine that gets a request after its prefill was rejected, without a retry for it.
#[tokio::test]
async fn failed_prefill_is_charged() {
  let prefill = EndpointStandIn::start(Reply::not_run).await;
  let decode = EndpointStandIn::engine("").await;
  let mut test = GatewayTest::new().await;
  test.retry_slack = 0.0;
  let gateway = test.with_engines(&prefill, &decode).await;
  let response = gateway.ask("/resumable/a", "r1").await;
  assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
  assert_eq!(prefill.requests().len(), 1);
  assert_eq!(decode.requests().len(), 0);
}
