//! Organisations' limits: local decisions of boxes, and the limit over all boxes under worst-case load.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply},
  emulator::limits::{LimitFigures, LimitFleet, LimitPattern, replay_limits},
  http::{HeaderValue, StatusCode, header::AUTHORIZATION},
  proptest::{prelude::*, proptest},
  rillford::{
    gateway::{
      BoxEntry, BoxList, LimitStrategy, LocalUsage, LocalVerdict, PeakBoxCount, ReportScope,
      UsageLimit, UsageRequest, UsageTable, UsageTotals, UsageVerdict,
    },
    ids::Name,
  },
  rstest::rstest,
  serde_json::{Value, json},
};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

fn replays(pattern: LimitPattern, strategy: LimitStrategy) -> Vec<LimitFigures> {
  SEEDS
    .map(|seed| replay_limits(pattern, LimitFleet::USERS, strategy, seed))
    .collect()
}

fn most_used(replays: &[LimitFigures]) -> f64 {
  replays
    .iter()
    .map(|replay| replay.most_used)
    .fold(0.0, f64::max)
}

fn rejected_share_within_limit(replays: &[LimitFigures]) -> f64 {
  let rejected: u32 = replays.iter().map(|replay| replay.refused_inside).sum();
  let within: u32 = replays.iter().map(|replay| replay.inside).sum();
  f64::from(rejected) / f64::from(within)
}

/// An organisation suddenly sends 7.5 times its usual rate; others are within their limits.
#[rstest]
#[case::calm(LimitPattern::Calm)]
#[case::hot(LimitPattern::Hot)]
#[case::hot_and_cut_hall(LimitPattern::HotAndCutHall)]
#[case::hot_and_all_new(LimitPattern::HotAndAllNew)]
#[case::limits_cut(LimitPattern::LimitsCut)]
#[case::callers_of_one_hall(LimitPattern::OneHall)]
fn bound_holds_and_nobody_within_a_limit_is_rejected(#[case] pattern: LimitPattern) {
  let replays = replays(pattern, LimitStrategy::AskNearLimit);
  assert!(most_used(&replays) < 1.0, "{replays:?}");
  assert!(rejected_share_within_limit(&replays) < 0.001, "{replays:?}");
}

/// Every fourth box is isolated while an organisation exceeds its limit.
#[test]
fn bound_holds_while_boxes_are_isolated() {
  let replays = replays(LimitPattern::HotAndLoneBoxes, LimitStrategy::AskNearLimit);
  assert!(most_used(&replays) < 1.0, "{replays:?}");
  assert!(rejected_share_within_limit(&replays) < 0.05, "{replays:?}");
}

/// A coordinator reports a thousand times its usage: callers are rejected, and nobody exceeds a limit.
#[test]
fn faulty_coordinator_lets_nobody_exceed_a_limit() {
  let replays = replays(LimitPattern::HotAndLiar, LimitStrategy::AskNearLimit);
  assert!(most_used(&replays) < 1.0, "{replays:?}");
}

/// An even share of the limit per box rejects half of the callers that are within it.
#[test]
fn even_split_rejects_callers_within_their_limit() {
  assert!(
    rejected_share_within_limit(&replays(LimitPattern::Calm, LimitStrategy::EvenSplit)) > 0.3
  );
}

/// What other boxes admit while a message is in flight exceeds the limit; asking near the limit keeps that small.
#[test]
fn asking_near_the_limit_exceeds_it_less_than_reporting_afterwards() {
  for pattern in [LimitPattern::Hot, LimitPattern::HotAndLag] {
    let reported = replays(pattern, LimitStrategy::ReportedTotals);
    let asked = replays(pattern, LimitStrategy::AskNearLimit);
    assert!(most_used(&asked) < most_used(&reported), "{pattern:?}");
  }
}

/// Messages between boxes take half a second, so the limit is exceeded; without a bound on unreported units by twice as
/// much.
#[test]
fn little_is_admitted_unreported_while_messages_are_delayed() {
  let replays = replays(LimitPattern::HotAndLag, LimitStrategy::AskNearLimit);
  assert!(most_used(&replays) < 1.25, "{replays:?}");
}

fn limit() -> UsageLimit {
  UsageLimit {
    burst: 100.0,
    rate_per_s: 100.0,
  }
}

fn table(now_ms: u64) -> UsageTable {
  let mut table = UsageTable::default();
  table.set_limits([("a".into(), limit())], now_ms);
  table
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

fn remaining(table: &mut UsageTable, now_ms: u64) -> f64 {
  // Charges the assumed usage of other coordinators.
  table.near_limit(now_ms);
  table.remaining("a", now_ms).unwrap().0
}

#[test]
fn totals_of_others_are_charged_once_despite_lost_or_repeated_messages() {
  let mut table = table(0);
  for units in [10, 10, 30, 30] {
    table.merge_totals(&totals("north-0", 1, 0, units), 0, 0);
  }
  assert_eq!(remaining(&mut table, 0), 70.0);
  // It has restarted.
  table.merge_totals(&totals("north-0", 2, 0, 20), 0, 0);
  assert_eq!(remaining(&mut table, 0), 50.0);
}

#[test]
fn usage_before_the_start_of_this_box_is_not_charged() {
  let mut table = table(0);
  table.merge_totals(&totals("north-0", 1, 90_000, 1_000_000), 10, 0);
  assert_eq!(remaining(&mut table, 0), 100.0);
  table.merge_totals(&totals("north-0", 1, 90_100, 1_000_030), 110, 0);
  assert_eq!(remaining(&mut table, 0), 70.0);
}

/// A box whose entry was removed and returned was charged all its totals each time.
#[test]
fn coordinator_that_returns_is_charged_only_new_usage() {
  let mut table = table(0);
  table.merge_totals(&totals("north-0", 1, 0, 50), 0, 0);
  table.set_coordinators(|_| false);
  table.set_coordinators(|_| true);
  table.merge_totals(&totals("north-0", 1, 100, 60), 100, 0);
  assert_eq!(remaining(&mut table, 0), 40.0);
}

#[test]
fn silent_coordinator_is_assumed_to_continue_until_it_reports() {
  let mut table = table(0);
  let mut total = 0;
  for at_ms in [0, 500, 1_000] {
    total += 40;
    table.charge("a", 40, at_ms);
    table.merge_totals(&totals("north-0", 1, at_ms, total), at_ms, at_ms);
  }
  let at_cut = remaining(&mut table, 1_000);
  // Half of the rate is the other's share.
  let after = remaining(&mut table, 2_000) - at_cut;
  assert!((45.0..55.0).contains(&after), "{after}");
  // It used nothing.
  table.merge_totals(&totals("north-0", 1, 2_000, total), 2_000, 2_000);
  assert_eq!(remaining(&mut table, 2_000) - at_cut, 100.0);
}

#[test]
fn limit_that_is_lowered_or_raised_holds_at_once() {
  let mut table = table(0);
  let lower = UsageLimit {
    burst: 10.0,
    rate_per_s: 10.0,
  };
  table.set_limits([("a".into(), lower)], 0);
  let a: Name = "a".into();
  assert_eq!(table.admit(&a, 10, 0), UsageVerdict::WithinLimit);
  assert!(matches!(
    table.admit(&a, 10, 0),
    UsageVerdict::OverLimit { .. }
  ));
  table.set_limits([("a".into(), limit())], 0);
  assert_eq!(table.admit(&a, 90, 0), UsageVerdict::WithinLimit);
  table.set_limits([], 0);
  assert_eq!(table.admit(&a, 1_000, 0), UsageVerdict::WithinLimit);
}

/// Totals that fell back to zero would be taken for refunded units.
#[test]
fn organisation_that_loses_its_limit_and_gets_it_back_continues_from_its_total() {
  let mut table = table(0);
  table.charge("a", 80, 0);
  table.set_limits([], 0);
  table.set_limits([("a".into(), limit())], 0);
  assert_eq!(
    table.totals_to_report(ReportScope::All),
    [(Name::from("a"), 80)]
  );
}

/// Each request to a coordinator would delay the caller until it times out.
#[rstest]
#[case::silence(false, 1_001)]
#[case::no_response(true, 10)]
fn isolated_box_asks_no_coordinator(#[case] is_unreachable: bool, #[case] now_ms: u64) {
  let mut usage = LocalUsage::default();
  usage.record_near_limit(vec![("a".into(), 10.0)], 0);
  let organisation = "a".into();
  let mut request = UsageRequest {
    band: None,
    boxes: 10,
    limit: limit(),
    now_ms: 0,
    organisation: &organisation,
    units: 5,
  };
  let strategy = LimitStrategy::AskNearLimit;
  assert_eq!(usage.admit(request, strategy), LocalVerdict::Ask);
  if is_unreachable {
    usage.record_unreachable();
  }
  request.now_ms = now_ms;
  let within = LocalVerdict::Settled(UsageVerdict::WithinLimit);
  assert_eq!(usage.admit(request, strategy), within);
  usage.record_near_limit(vec![], now_ms);
  assert_eq!(usage.admit(request, strategy), within);
}

/// Guards against a limit that is exceeded after the store has dropped the entries of all boxes: each of 24 boxes saw a list of none,
/// took itself for a coordinator of a small deployment, and admitted a whole burst.
#[test]
fn bound_holds_while_the_entries_of_all_boxes_are_lost() {
  const BOXES: usize = 24;
  const LOST_MS: u64 = 20_000;
  let organisation: Name = "a".into();
  let entry = |number: usize| BoxEntry {
    address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
    hall: "north".into(),
  };
  let name = |number: usize| -> Name { format!("north-{number:03}").as_str().into() };
  let mut peak = PeakBoxCount::default();
  let mut list = BoxList::default();
  for number in 0..BOXES {
    list.put(name(number), entry(number));
  }
  peak.record(list.len(), 0);
  let mut tables: Vec<UsageTable> = (0..BOXES).map(|_| table(0)).collect();
  let mut usages = vec![LocalUsage::default(); BOXES];
  for usage in &mut usages {
    usage.record_near_limit(vec![(organisation.clone(), 0.0)], LOST_MS);
    usage.record_unreachable();
  }
  // The boxes enter themselves again one after the other, within the 3 s between renewals.
  list = BoxList::default();
  let (mut admitted, mut passed_ms) = (0, 0);
  while passed_ms < 2_200 {
    let now_ms = LOST_MS + passed_ms;
    let listed = passed_ms as usize * BOXES / 3_000;
    for number in list.len()..listed {
      list.put(name(number), entry(number));
    }
    peak.record(list.len(), now_ms);
    let at = passed_ms as usize / 5 % BOXES;
    let request = UsageRequest {
      band: None,
      boxes: BOXES,
      limit: limit(),
      now_ms,
      organisation: &organisation,
      units: 1,
    };
    let verdict = if list.coordinates(&peak, &name(at), "north", now_ms) {
      tables[at].admit(&organisation, 1, now_ms)
    } else {
      usages[at].admit_isolated(request)
    };
    admitted += u64::from(verdict == UsageVerdict::WithinLimit);
    passed_ms += 5;
  }
  let allowed = (limit().rate_per_s * 2.2 + limit().burst) * 1.1;
  assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
}

/// One step of two coordinators.
#[derive(Clone, Copy, Debug)]
enum Step {
  Request { at: usize, units: u64 },
  Report { from: usize },
  Elapse { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
  prop_oneof![
    (0..2_usize, 1..40_u64).prop_map(|(at, units)| Step::Request { at, units }),
    (0..2_usize).prop_map(|from| Step::Report { from }),
    (1..400_u64).prop_map(|ms| Step::Elapse { ms }),
  ]
}

proptest! {
  /// Two coordinators admit no more than rate x time, the burst, and what was admitted elsewhere and not yet reported.
  #[test]
  fn limit_is_exceeded_only_by_unreported_units(steps in prop::collection::vec(step(), 1..120)) {
    let mut tables = [table(0), table(0)];
    let mut now_ms = 0;
    let mut admitted = 0;
    let mut unreported = [0_u64; 2];
    let mut max_unreported = 0;
    for step in steps {
      match step {
        Step::Request { at, units } => {
          if tables[at].admit(&"a".into(), units, now_ms) == UsageVerdict::WithinLimit {
            admitted += units;
            unreported[at] += units;
            max_unreported = max_unreported.max(unreported[0].min(unreported[1]));
          }
        }
        Step::Report { from } => {
          let report = UsageTotals {
            box_name: format!("north-{from}").as_str().into(),
            reporters: 0,
            incarnation: 1,
            totals: tables[from].totals_to_report(ReportScope::All),
            uptime_ms: now_ms,
          };
          tables[1 - from].merge_totals(&report, now_ms, now_ms);
          unreported[from] = 0;
        }
        Step::Elapse { ms } => now_ms += ms,
      }
      let allowed = limit().burst + limit().rate_per_s * now_ms as f64 / 1_000.0;
      prop_assert!(admitted as f64 <= 2.0 * allowed);
      if max_unreported == 0 {
        prop_assert!(admitted as f64 <= allowed + 1e-6);
      }
    }
  }
}

/// One organisation with a burst of 250 tokens, and then 1 per second.
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
async fn request_over_the_limit_reaches_no_endpoint_and_gets_a_retry_after_delay() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_a_limit);
  let gateway = test.with_portal(&one).await;
  assert_eq!(ask(&gateway, "key-a", None).await.status, StatusCode::OK);
  assert_eq!(
    ask(&gateway, "key-a", Some("90,10")).await.status,
    StatusCode::OK
  );
  let seen = one.requests().len();
  let rejected = ask(&gateway, "key-a", Some("90,10")).await;
  assert_eq!(rejected.status, StatusCode::TOO_MANY_REQUESTS);
  let retry_after_s: f64 = rejected.headers["retry-after"]
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
async fn operators_see_the_remaining_units_of_a_limit() {
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
async fn request_that_has_not_run_is_refunded() {
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

/// Without coordinators each box admits by its own share, and a flood passes: boxes that are cut off or killed must not stop the
/// others' coordination.
#[rstest]
#[case::a_third_is_cut_off(40, false)]
#[case::a_hall_is_cut_off(41, false)]
#[case::half_are_killed(28, false)]
#[case::the_store_dropped_all(0, true)]
fn coordination_outlasts_all_but_the_loss_of_the_list(#[case] listed: usize, #[case] lost: bool) {
  let mut peak = PeakBoxCount::default();
  peak.record(61, 0);
  peak.record(listed, 1_000);
  assert_eq!(peak.is_list_lost(1_000), lost);
}
