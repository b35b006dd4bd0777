//! Organisations' limits: what boxes make of a request by themselves, and the limit over all boxes when it is at its worst.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply},
  emulator::limits::{LimitFigures, LimitFleet, LimitPattern, replay_limits},
  http::{HeaderValue, StatusCode, header::AUTHORIZATION},
  proptest::{prelude::*, proptest},
  rillford::{
    gateway::{
      LimitStrategy, LocalUsage, LocalVerdict, ReportScope, UsageLimit, UsageRequest, UsageTable,
      UsageTotals, UsageVerdict,
    },
    ids::Name,
  },
  rstest::rstest,
  serde_json::{Value, json},
};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

fn plays(pattern: LimitPattern, way: LimitStrategy) -> Vec<LimitFigures> {
  SEEDS
    .map(|seed| replay_limits(pattern, LimitFleet::USERS, way, seed))
    .collect()
}

fn most_used(plays: &[LimitFigures]) -> f64 {
  plays.iter().map(|play| play.most_used).fold(0.0, f64::max)
}

fn refused_inside(plays: &[LimitFigures]) -> f64 {
  let refused: u32 = plays.iter().map(|play| play.refused_inside).sum();
  let inside: u32 = plays.iter().map(|play| play.inside).sum();
  f64::from(refused) / f64::from(inside)
}

/// An organisation sends 7.5 times its usual from one moment to the next; others are inside their limits.
#[rstest]
#[case::calm(LimitPattern::Calm)]
#[case::hot(LimitPattern::Hot)]
#[case::hot_and_cut_hall(LimitPattern::HotAndCutHall)]
#[case::hot_and_all_new(LimitPattern::HotAndAllNew)]
#[case::limits_cut(LimitPattern::LimitsCut)]
#[case::callers_of_one_hall(LimitPattern::OneHall)]
fn bound_holds_and_nobody_inside_a_limit_is_refused(#[case] pattern: LimitPattern) {
  let plays = plays(pattern, LimitStrategy::AskNearLimit);
  assert!(most_used(&plays) < 1.0, "{plays:?}");
  assert!(refused_inside(&plays) < 0.001, "{plays:?}");
}

/// Every fourth box reaches no other while an organisation is hot.
#[test]
fn bound_holds_while_boxes_are_alone() {
  let plays = plays(LimitPattern::HotAndLoneBoxes, LimitStrategy::AskNearLimit);
  assert!(most_used(&plays) < 1.0, "{plays:?}");
  assert!(refused_inside(&plays) < 0.05, "{plays:?}");
}

/// A box that counts claims a thousand times its counts: that refuses callers, and lets nobody go beyond a limit.
#[test]
fn box_that_lies_lets_nobody_beyond_a_limit() {
  let plays = plays(LimitPattern::HotAndLiar, LimitStrategy::AskNearLimit);
  assert!(most_used(&plays) < 1.0, "{plays:?}");
}

/// An even part of the limit for each box refuses half of the callers who are inside it.
#[test]
fn counting_together_serves_those_whom_even_parts_refuse() {
  assert!(refused_inside(&plays(LimitPattern::Calm, LimitStrategy::EvenSplit)) > 0.3);
}

/// What others admit while a message is on its way goes beyond the limit; asking first keeps that small.
#[test]
fn asking_when_short_goes_less_beyond_a_limit_than_telling_afterwards() {
  for pattern in [LimitPattern::Hot, LimitPattern::HotAndLag] {
    let told = plays(pattern, LimitStrategy::ReportedTotals);
    let asked = plays(pattern, LimitStrategy::AskNearLimit);
    assert!(most_used(&asked) < most_used(&told), "{pattern:?}");
  }
}

/// Messages between boxes take half a second. The bound is passed then; without a bound on what a box admits untold, by twice as
/// much.
#[test]
fn little_is_admitted_untold_while_messages_lag() {
  let plays = plays(LimitPattern::HotAndLag, LimitStrategy::AskNearLimit);
  assert!(most_used(&plays) < 1.25, "{plays:?}");
}

fn limit() -> UsageLimit {
  UsageLimit {
    burst: 100.0,
    rate_per_s: 100.0,
  }
}

fn book(now_ms: u64) -> UsageTable {
  let mut book = UsageTable::default();
  book.set_limits([("a".into(), limit())], now_ms);
  book
}

fn totals(box_name: &str, incarnation: u64, uptime_ms: u64, units: i64) -> UsageTotals {
  UsageTotals {
    box_name: box_name.into(),
    reporters: 0,
    incarnation,
    totals: vec![("a".into(), units)],
    uptime_ms,
  }
}

fn left(book: &mut UsageTable, now_ms: u64) -> f64 {
  // Settles what is assumed of others.
  book.near_limit(now_ms);
  book.remaining("a", now_ms).unwrap().0
}

#[test]
fn totals_of_others_are_charged_once_whatever_is_lost_or_comes_twice() {
  let mut book = book(0);
  for units in [10, 10, 30, 30] {
    book.merge_totals(&totals("north-0", 1, 0, units), 0, 0);
  }
  assert_eq!(left(&mut book, 0), 70.0);
  // It has started anew.
  book.merge_totals(&totals("north-0", 2, 0, 20), 0, 0);
  assert_eq!(left(&mut book, 0), 50.0);
}

#[test]
fn what_an_older_box_counted_before_is_not_charged() {
  let mut book = book(0);
  book.merge_totals(&totals("north-0", 1, 90_000, 1_000_000), 10, 0);
  assert_eq!(left(&mut book, 0), 100.0);
  book.merge_totals(&totals("north-0", 1, 90_100, 1_000_030), 110, 0);
  assert_eq!(left(&mut book, 0), 70.0);
}

/// Seen on a hunted day: a box whose entry came and went was charged all its totals at each return.
#[test]
fn box_that_stops_counting_and_comes_back_is_charged_what_is_new() {
  let mut book = book(0);
  book.merge_totals(&totals("north-0", 1, 0, 50), 0, 0);
  book.set_coordinators(|_| false);
  book.set_coordinators(|_| true);
  book.merge_totals(&totals("north-0", 1, 100, 60), 100, 0);
  assert_eq!(left(&mut book, 0), 40.0);
}

#[test]
fn silent_box_is_taken_to_go_on_until_it_says_what_it_used() {
  let mut book = book(0);
  let mut told = 0;
  for at_ms in [0, 500, 1_000] {
    told += 40;
    book.charge("a", 40, at_ms);
    book.merge_totals(&totals("north-0", 1, at_ms, told), at_ms, at_ms);
  }
  let at_cut = left(&mut book, 1_000);
  // Half of the rate is the other's.
  let after = left(&mut book, 2_000) - at_cut;
  assert!((45.0..55.0).contains(&after), "{after}");
  // It used nothing.
  book.merge_totals(&totals("north-0", 1, 2_000, told), 2_000, 2_000);
  assert_eq!(left(&mut book, 2_000) - at_cut, 100.0);
}

#[test]
fn limit_that_is_lowered_or_raised_holds_at_once() {
  let mut book = book(0);
  let lower = UsageLimit {
    burst: 10.0,
    rate_per_s: 10.0,
  };
  book.set_limits([("a".into(), lower)], 0);
  let a: Name = "a".into();
  assert_eq!(book.admit(&a, 10, 0), UsageVerdict::WithinLimit);
  assert!(matches!(
    book.admit(&a, 10, 0),
    UsageVerdict::OverLimit { .. }
  ));
  book.set_limits([("a".into(), limit())], 0);
  assert_eq!(book.admit(&a, 90, 0), UsageVerdict::WithinLimit);
  book.set_limits([], 0);
  assert_eq!(book.admit(&a, 1_000, 0), UsageVerdict::WithinLimit);
}

/// Totals that fell back to nothing would be taken for units given back.
#[test]
fn organisation_that_loses_its_limit_and_gets_it_back_goes_on_from_its_total() {
  let mut counting = book(0);
  counting.charge("a", 80, 0);
  counting.set_limits([], 0);
  counting.set_limits([("a".into(), limit())], 0);
  assert_eq!(
    counting.totals_to_report(ReportScope::All),
    [(Name::from("a"), 80)]
  );
}

/// Each question would hold a request up until it times out.
#[rstest]
#[case::silence(false, 1_001)]
#[case::no_answer(true, 10)]
fn box_that_is_alone_asks_nobody(#[case] is_unreached: bool, #[case] now_ms: u64) {
  let mut ledger = LocalUsage::default();
  ledger.record_near_limit(vec![("a".into(), 10.0)], 0);
  let organisation = "a".into();
  let mut request = UsageRequest {
    boxes: 10,
    limit: limit(),
    now_ms: 0,
    organisation: &organisation,
    units: 5,
  };
  let way = LimitStrategy::AskNearLimit;
  assert_eq!(ledger.admit(request, way), LocalVerdict::Ask);
  if is_unreached {
    ledger.record_unreachable();
  }
  request.now_ms = now_ms;
  let within = LocalVerdict::Settled(UsageVerdict::WithinLimit);
  assert_eq!(ledger.admit(request, way), within);
  ledger.record_near_limit(vec![], now_ms);
  assert_eq!(ledger.admit(request, way), within);
}

/// One step of two boxes that count for each other.
#[derive(Clone, Copy, Debug)]
enum Step {
  Asks { at: usize, units: u64 },
  Tells { from: usize },
  Passes { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
  prop_oneof![
    (0..2_usize, 1..40_u64).prop_map(|(at, units)| Step::Asks { at, units }),
    (0..2_usize).prop_map(|from| Step::Tells { from }),
    (1..400_u64).prop_map(|ms| Step::Passes { ms }),
  ]
}

proptest! {
  /// Two boxes admit no more than rate x time, the burst, and what was admitted elsewhere and not yet told.
  #[test]
  fn no_sum_passes_the_limit_but_by_what_was_not_told(steps in prop::collection::vec(step(), 1..120)) {
    let mut books = [book(0), book(0)];
    let mut now_ms = 0;
    let mut admitted = 0;
    let mut untold = [0_u64; 2];
    let mut most_untold = 0;
    for step in steps {
      match step {
        Step::Asks { at, units } => {
          if books[at].admit(&"a".into(), units, now_ms) == UsageVerdict::WithinLimit {
            admitted += units;
            untold[at] += units;
            most_untold = most_untold.max(untold[0].min(untold[1]));
          }
        }
        Step::Tells { from } => {
          let told = UsageTotals {
            box_name: format!("north-{from}").as_str().into(),
            reporters: 0,
            incarnation: 1,
            totals: books[from].totals_to_report(ReportScope::All),
            uptime_ms: now_ms,
          };
          books[1 - from].merge_totals(&told, now_ms, now_ms);
          untold[from] = 0;
        }
        Step::Passes { ms } => now_ms += ms,
      }
      let allowed = limit().burst + limit().rate_per_s * now_ms as f64 / 1_000.0;
      prop_assert!(admitted as f64 <= 2.0 * allowed);
      if most_untold == 0 {
        prop_assert!(admitted as f64 <= allowed + 1e-6);
      }
    }
  }
}

/// One organisation that may ask for 250 tokens, and then for 1 a second.
fn with_a_limit(configuration: &mut Value) {
  configuration["tenants"] = json!([
    {"name": "captions", "apiKeys": ["key-a"], "unit": "token_stream", "plainTokens": 100, "ratePerS": 1, "burst": 250},
    {"name": "lectures", "apiKeys": ["key-b"], "unit": "token_stream", "plainTokens": 100},
  ]);
  configuration["routes"][1]["allowAnonymous"] = json!(true);
}

async fn ask(
  gateway: &GatewayBox,
  key: &str,
  tokens: Option<&'static str>,
) -> super::harness::CallerResponse {
  let mut request = gateway.request("/unsafe/a", "r");
  let headers = request.headers_mut();
  headers.remove("x-token-counts");
  if let Some(tokens) = tokens {
    headers.insert("x-token-counts", HeaderValue::from_static(tokens));
  }
  if !key.is_empty() {
    let value = HeaderValue::from_str(&format!("Bearer {key}")).unwrap();
    headers.insert(AUTHORIZATION, value);
  }
  gateway.send(request).await
}

#[tokio::test]
async fn request_beyond_the_limit_reaches_no_endpoint_and_is_told_when_to_return() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_a_limit);
  let gateway = test.with_portal(&one).await;
  assert_eq!(ask(&gateway, "key-a", None).await.status, StatusCode::OK);
  assert_eq!(
    ask(&gateway, "key-a", Some("90,10")).await.status,
    StatusCode::OK
  );
  let seen = one.requests().len();
  let refused = ask(&gateway, "key-a", Some("90,10")).await;
  assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
  let retry_after_s: f64 = refused.headers["retry-after"]
    .to_str()
    .unwrap()
    .parse()
    .unwrap();
  // Fifty units are missing, at one a second.
  assert!((40.0..=101.0).contains(&retry_after_s), "{retry_after_s}");
  assert_eq!(one.requests().len(), seen);
  for key in ["key-b", ""] {
    assert_eq!(
      ask(&gateway, key, Some("9000,9000")).await.status,
      StatusCode::OK
    );
  }
}

#[tokio::test]
async fn operators_see_what_is_left_of_a_limit() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_a_limit);
  let gateway = test.with_portal(&one).await;
  assert_eq!(ask(&gateway, "key-a", None).await.status, StatusCode::OK);
  let text = gateway.limits_output();
  let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
  assert_eq!(row[0], "captions", "{text}");
  let left: f64 = row[1].parse().unwrap();
  assert!((150.0..=250.0).contains(&left), "{text}");
  assert_eq!(row[2..], ["250", "1"]);
  assert!(!text.contains("key-a"));
}

#[tokio::test]
async fn request_that_has_not_run_is_given_back() {
  let one = EndpointStandIn::start(Reply::not_run).await;
  let test = GatewayTest::new().await.configure(with_a_limit);
  let gateway = test.with_portal(&one).await;
  for _ in 0..6 {
    assert_eq!(
      ask(&gateway, "key-a", None).await.status,
      StatusCode::SERVICE_UNAVAILABLE
    );
  }
}
