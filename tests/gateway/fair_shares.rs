//! Fair shares of an organisation's limit: small and urgent requests go first, no band starves, and the sum stays bounded.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply, TIMEOUT},
  bytes::Bytes,
  emulator::limits::{KindCounts, LimitFleet, LimitPattern, replay_fair_shares},
  http::{HeaderValue, Request, StatusCode, header::AUTHORIZATION},
  http_body_util::Full,
  proptest::{prelude::*, proptest},
  rillford::{
    CallError, HttpClient,
    gateway::{
      BandDemand, BandRequest, DemandBand, DemandReport, LimitStrategy, LocalUsage, LocalVerdict,
      OrganisationLoad, OrganisationLoads, ReportScope, ShareState, SlotQueue, SlotUrgency,
      UsageLimit, UsageRequest, UsageTable, UsageTotals, UsageVerdict,
    },
    ids::Name,
  },
  rstest::rstest,
  serde_json::{Value, json},
};

const ORGANISATION: &str = "lectures";

/// A request kind: its units, its route's priority, and requests per second.
type Flow = (u64, u8, u64);

const SMALL: Flow = (200, 2, 84);
const APPEAL: Flow = (4_500, 0, 15);
const REVIEW: Flow = (4_500, 1, 11);
const DIGEST: Flow = (4_500, 2, 19);

fn limit() -> UsageLimit {
  UsageLimit {
    burst: 47_000.0,
    rate_per_s: 47_000.0,
  }
}

fn name() -> Name {
  ORGANISATION.into()
}

fn request((units, priority, _): Flow) -> BandRequest {
  BandRequest {
    band: DemandBand::of(units, priority),
    units,
  }
}

fn table() -> UsageTable {
  let mut table = UsageTable::default();
  table.set_limits([(name(), limit())], 0);
  table
}

/// How a coordinator decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
  Arrival,
  FairShares,
}

fn is_admitted(table: &mut UsageTable, flow: Flow, order: Order, now_ms: u64) -> bool {
  let verdict = match order {
    Order::Arrival => table.admit(&name(), flow.0, now_ms),
    Order::FairShares => table.admit_ranked(&name(), request(flow), now_ms).verdict,
  };
  verdict == UsageVerdict::WithinLimit
}

/// Times at which requests of each kind arrive, evenly spaced.
fn arrivals(flows: &[Flow], from_ms: u64, to_ms: u64) -> Vec<(u64, usize)> {
  let mut arrivals = Vec::new();
  for (index, (_, _, per_s)) in flows.iter().enumerate() {
    let count = per_s * (to_ms - from_ms) / 1_000;
    let at_ms = |number| from_ms + number * 1_000 / per_s + index as u64;
    arrivals.extend((0..count).map(|number| (at_ms(number), index)));
  }
  arrivals.sort_unstable();
  arrivals
}

/// Admitted and requested counts of each kind over `coordinators` that exchange totals and demand every 150 ms, after 5 s.
fn play(flows: &[Flow], coordinators: usize, order: Order) -> (Vec<(u64, u64)>, u64) {
  const WARM_UP_MS: u64 = 5_000;
  const END_MS: u64 = 25_000;
  let mut tables = vec![table(); coordinators];
  let mut counts = vec![(0, 0); flows.len()];
  let mut sum = 0;
  let mut exchanged_ms = 0;
  for (number, (now_ms, kind)) in arrivals(flows, 0, END_MS).into_iter().enumerate() {
    if now_ms >= exchanged_ms + 150 {
      exchanged_ms = now_ms;
      exchange(&mut tables, now_ms);
    }
    let at = number % coordinators;
    let is_admitted = is_admitted(&mut tables[at], flows[kind], order, now_ms);
    sum += if is_admitted { flows[kind].0 } else { 0 };
    if now_ms >= WARM_UP_MS {
      counts[kind].0 += u64::from(is_admitted);
      counts[kind].1 += 1;
    }
  }
  (counts, sum)
}

fn exchange(tables: &mut [UsageTable], now_ms: u64) {
  for from in 0..tables.len() {
    let sender: Name = format!("north-{from}").as_str().into();
    let totals = UsageTotals {
      box_name: sender.clone(),
      incarnation: 1,
      reporters: 0,
      totals: tables[from].totals_to_report(ReportScope::All),
      uptime_ms: now_ms,
    };
    let demand = tables[from].own_demand(now_ms);
    for (to, table) in tables.iter_mut().enumerate() {
      if to != from {
        table.merge_totals(&totals, now_ms, now_ms);
        table.set_peer_demand(&sender, demand.clone(), now_ms);
      }
    }
  }
}

fn share((admitted, requested): (u64, u64)) -> f64 {
  admitted as f64 / requested as f64
}

/// Guards against requests of 200 units rejected because prompts of 4,500 units took the bucket before them. Several coordinators
/// admit prompts at the same time, so that in order of arrival their buckets are in debt.
#[rstest]
#[case::one_coordinator(1, 1.0)]
#[case::six_coordinators(6, 0.95)]
fn small_requests_are_admitted_while_large_prompts_flood(
  #[case] coordinators: usize,
  #[case] most_by_arrival: f64,
) {
  let flows = [SMALL, APPEAL, REVIEW, DIGEST];
  let (by_arrival, _) = play(&flows, coordinators, Order::Arrival);
  let (fair, _) = play(&flows, coordinators, Order::FairShares);
  assert!(share(by_arrival[0]) <= most_by_arrival, "{by_arrival:?}");
  assert!(share(fair[0]) > 0.99, "{fair:?}");
  // Of equal sizes, the more urgent kind goes first.
  assert!(share(fair[1]) > share(by_arrival[1]), "{fair:?}");
  assert!(share(fair[1]) > share(fair[3]), "{fair:?}");
}

/// Guards against less urgent prompts that get nothing while urgent requests alone exceed the limit.
#[rstest]
#[case::one_coordinator(1)]
#[case::six_coordinators(6)]
fn each_band_gets_a_quarter_of_its_share_by_arrival(#[case] coordinators: usize) {
  let flows = [
    (200, 0, 600),
    (2_000, 0, 60),
    (4_500, 1, 30),
    (4_500, 2, 30),
  ];
  let demand: u64 = flows.iter().map(|(units, _, per_s)| units * per_s).sum();
  let by_demand = limit().rate_per_s / demand as f64;
  let (fair, _) = play(&flows, coordinators, Order::FairShares);
  for (flow, counts) in flows.iter().zip(&fair) {
    assert!(share(*counts) >= by_demand * 0.25, "{flow:?}: {fair:?}");
  }
}

/// Guards against a reservation that holds back units although nobody else asks for them.
#[test]
fn band_that_is_alone_gets_the_whole_limit() {
  let (by_arrival, arrival_sum) = play(&[DIGEST], 1, Order::Arrival);
  let (fair, fair_sum) = play(&[DIGEST], 1, Order::FairShares);
  assert_eq!((by_arrival, arrival_sum), (fair, fair_sum));
}

/// Guards against units that stay reserved for requests that no longer come.
#[test]
fn reserved_units_are_lent_a_second_after_their_demand_stops() {
  let mut table = table();
  for (now_ms, _) in arrivals(&[SMALL], 0, 3_000) {
    table.admit_ranked(&name(), request(SMALL), now_ms);
  }
  let reserved = |table: &mut UsageTable, now_ms| {
    let (state, _) = table.shares(ORGANISATION, now_ms).unwrap();
    state.reserved
  };
  let while_asked = reserved(&mut table, 3_000);
  assert!(
    (14_000.0..=17_000.0).contains(&while_asked),
    "{while_asked}"
  );
  assert_eq!(reserved(&mut table, 4_125), 0.0);
}

/// Guards against prompts that never fit because units are reserved for others.
#[test]
fn request_larger_than_the_bucket_is_admitted_when_the_bucket_is_full() {
  let mut table = table();
  table.record_demand(ORGANISATION, request((20_000, 0, 1)), 0);
  let large = (60_000, 2, 1);
  assert!(is_admitted(&mut table, large, Order::FairShares, 0));
}

/// Guards against a coordinator that does not reserve what is requested elsewhere, and against one that reserves it forever.
#[test]
fn demand_at_other_coordinators_is_reserved_while_they_report_it() {
  let mut table = table();
  let demand: BandDemand = vec![DemandReport {
    band: request(SMALL).band,
    claimed: 0.0,
    per_s: 16_000.0,
  }];
  table.set_peer_demand(&"north-1".into(), vec![(name(), demand.clone())], 0);
  let reserved = |table: &mut UsageTable, now_ms| {
    let decision = table.admit_ranked(&name(), request(DIGEST), now_ms);
    decision.state.reserved
  };
  assert_eq!(reserved(&mut table, 100), 16_000.0);
  // It is cut off.
  assert_eq!(reserved(&mut table, 700), 0.0);
  table.set_peer_demand(&"north-1".into(), vec![(name(), demand)], 800);
  table.set_peer_demand(&"north-1".into(), vec![], 900);
  assert_eq!(reserved(&mut table, 900), 0.0);
}

fn local_request(organisation: &Name, flow: Flow, now_ms: u64) -> UsageRequest<'_> {
  UsageRequest {
    band: Some(request(flow).band),
    boxes: 1,
    limit: limit(),
    now_ms,
    organisation,
    units: flow.0,
  }
}

/// Guards against small requests that are rejected without a question for 100 ms after a large prompt was.
#[test]
fn rejected_prompt_does_not_reject_small_requests() {
  let mut usage = LocalUsage::default();
  let organisation = name();
  usage.record_near_limit(vec![(organisation.clone(), 1_000.0)], 0);
  let band = Some(request(DIGEST).band);
  usage.record_rejected(&organisation, band, 1_000.0, 5_000, 0);
  let strategy = LimitStrategy::AskNearLimit;
  let verdict = usage.admit(local_request(&organisation, DIGEST, 50), strategy);
  assert!(matches!(
    verdict,
    LocalVerdict::Settled(UsageVerdict::OverLimit { .. })
  ));
  let verdict = usage.admit(local_request(&organisation, SMALL, 50), strategy);
  assert_eq!(verdict, LocalVerdict::Ask);
  // The coordinator learns of the request that it was not asked about.
  assert_eq!(
    usage.take_requested(),
    [(organisation.clone(), request(DIGEST).band, 4_500)]
  );
}

/// Guards against a box without a coordinator, or with an even share, that goes by order of arrival.
#[rstest]
#[case::isolated(LimitStrategy::AskNearLimit)]
#[case::even_split(LimitStrategy::EvenSplit)]
fn urgent_requests_go_first_in_a_local_share(#[case] strategy: LimitStrategy) {
  let mut usage = LocalUsage::default();
  usage.record_unreachable();
  let organisation = name();
  let flows = [SMALL, DIGEST, REVIEW, APPEAL];
  let mut counts = [(0, 0); 4];
  for (now_ms, kind) in arrivals(&flows, 0, 20_000) {
    let request = local_request(&organisation, flows[kind], now_ms);
    let verdict = usage.admit(request, strategy);
    let is_admitted = verdict == LocalVerdict::Settled(UsageVerdict::WithinLimit);
    counts[kind].0 += u64::from(is_admitted);
    counts[kind].1 += 1;
  }
  let [small, digest, _, appeal] = counts.map(share);
  assert!(small > 0.99, "{counts:?}");
  assert!(appeal > 2.0 * digest, "{counts:?}");
}

/// Guards against a sum above the bound of order of arrival while halls are cut off from each other, all boxes restart, or every fourth
/// box is isolated, and against small requests that are rejected in a deployment of 78 boxes.
#[rstest]
#[case::cut_hall(LimitPattern::HotAndCutHall)]
#[case::all_new(LimitPattern::HotAndAllNew)]
#[case::isolated_boxes(LimitPattern::HotAndLoneBoxes)]
#[case::mixed_sizes(LimitPattern::MixedSizes)]
fn bound_holds_under_faults(#[case] pattern: LimitPattern) {
  let replay = replay_fair_shares(pattern, LimitFleet::USERS, 1);
  assert!(replay.most_used < 1.0, "{replay:?}");
  if pattern == LimitPattern::MixedSizes {
    let [plain, appeal, _, digest] = replay.kinds;
    let share = |counts: KindCounts| f64::from(counts.admitted) / f64::from(counts.asked);
    assert!(share(plain) > 0.95, "{replay:?}");
    assert!(share(appeal) > share(digest), "{replay:?}");
  }
}

/// Guards against an organisation with its usual load that waits behind another's overload, and against a lasting increase that stays
/// penalised.
#[test]
fn organisation_above_its_usual_load_waits_behind_others() {
  let mut loads = OrganisationLoads::default();
  let (hot, calm): (Name, Name) = ("hot".into(), "calm".into());
  let mut queue = SlotQueue::default();
  for now_ms in (0..30_000).step_by(500) {
    loads.record(&hot, now_ms);
    loads.record(&calm, now_ms);
    assert_eq!(loads.load(&hot, now_ms), OrganisationLoad::Usual);
  }
  let mut join = |loads: &mut OrganisationLoads, name: &Name, now_ms| {
    loads.record(name, now_ms);
    queue.join_with_load(SlotUrgency::New, 1, loads.load(name, now_ms))
  };
  let mut last_hot = None;
  for now_ms in (30_000..32_000).step_by(50) {
    last_hot = Some(join(&mut loads, &hot, now_ms));
  }
  let of_calm = join(&mut loads, &calm, 32_000);
  assert!(of_calm < last_hot.unwrap());
  for now_ms in (32_000..130_000).step_by(50) {
    loads.record(&hot, now_ms);
  }
  assert_eq!(loads.load(&hot, 130_000), OrganisationLoad::Usual);
}

/// One step of two coordinators.
#[derive(Clone, Copy, Debug)]
enum Step {
  Request {
    at: usize,
    units: u64,
    priority: u8,
  },
  /// A box reports what it was asked.
  Demand {
    at: usize,
    units: u64,
    priority: u8,
  },
  Totals {
    from: usize,
  },
  /// The exchange of demand, which may be lost while totals arrive.
  BandDemand {
    from: usize,
  },
  Restart {
    at: usize,
  },
  Elapse {
    ms: u64,
  },
}

fn step() -> impl Strategy<Value = Step> {
  let units = || 1..20_000_u64;
  prop_oneof![
    6 => (0..2_usize, units(), 0..4_u8)
      .prop_map(|(at, units, priority)| Step::Request { at, priority, units }),
    2 => (0..2_usize, units(), 0..4_u8)
      .prop_map(|(at, units, priority)| Step::Demand { at, priority, units }),
    3 => (0..2_usize).prop_map(|from| Step::Totals { from }),
    2 => (0..2_usize).prop_map(|from| Step::BandDemand { from }),
    1 => (0..2_usize).prop_map(|at| Step::Restart { at }),
    4 => (1..400_u64).prop_map(|ms| Step::Elapse { ms }),
  ]
}

fn totals(tables: &mut [UsageTable], from: usize, incarnation: u64, now_ms: u64) -> UsageTotals {
  UsageTotals {
    box_name: format!("north-{from}").as_str().into(),
    incarnation,
    reporters: 0,
    totals: tables[from].totals_to_report(ReportScope::All),
    uptime_ms: now_ms,
  }
}

proptest! {
  /// Fair shares only reject more: whatever messages are lost or reordered, a request that they admit fits in the bucket as order of
  /// arrival requires, so that the sum has the same bound.
  #[test]
  fn admitted_requests_are_within_the_limit_of_today(
    steps in prop::collection::vec(step(), 1..150),
  ) {
    let mut tables = [table(), table()];
    let mut now_ms = 0;
    let mut restarts = [1_u64; 2];
    for step in steps {
      match step {
        Step::Request { at, priority, units } => {
          let mut by_arrival = tables[at].clone();
          let flow = (units, priority, 0);
          let fair = is_admitted(&mut tables[at], flow, Order::FairShares, now_ms);
          let today = is_admitted(&mut by_arrival, flow, Order::Arrival, now_ms);
          prop_assert!(!fair || today);
          let (left, _) = tables[at].remaining(ORGANISATION, now_ms).unwrap();
          let (left_today, _) = by_arrival.remaining(ORGANISATION, now_ms).unwrap();
          prop_assert!(!fair || (left - left_today).abs() < 1e-6);
        }
        Step::Demand { at, priority, units } => {
          tables[at].record_demand(ORGANISATION, request((units, priority, 0)), now_ms);
        }
        Step::Totals { from } => {
          let report = totals(&mut tables, from, restarts[from], now_ms);
          tables[1 - from].merge_totals(&report, now_ms, now_ms);
        }
        Step::BandDemand { from } => {
          let demand = tables[from].own_demand(now_ms);
          let sender: Name = format!("north-{from}").as_str().into();
          tables[1 - from].set_peer_demand(&sender, demand, now_ms);
        }
        Step::Restart { at } => {
          restarts[at] += 1;
          tables[at] = UsageTable::default();
          tables[at].set_limits([(name(), limit())], now_ms);
        }
        Step::Elapse { ms } => now_ms += ms,
      }
    }
  }

  /// One coordinator admits no more than the rate and the burst, in any order of bands.
  #[test]
  fn sum_of_all_bands_stays_within_the_limit(
    requests in prop::collection::vec((1..30_000_u64, 0..4_u8, 0..200_u64), 1..200),
  ) {
    let mut table = table();
    let (mut now_ms, mut sum) = (0, 0);
    for (units, priority, gap_ms) in requests {
      now_ms += gap_ms;
      if is_admitted(&mut table, (units, priority, 0), Order::FairShares, now_ms) {
        sum += units;
      }
      let allowed = limit().burst + limit().rate_per_s * now_ms as f64 / 1_000.0;
      prop_assert!(sum as f64 <= allowed + 1e-6);
    }
  }

  /// The same rank in the same state gets the same verdict, whoever asks.
  #[test]
  fn same_rank_and_state_get_the_same_verdict(
    requests in prop::collection::vec((1..12_000_u64, 0..3_u8, 0..100_u64), 1..80),
  ) {
    let mut one = table();
    let mut other = table();
    let mut now_ms = 0;
    for (units, priority, gap_ms) in requests {
      now_ms += gap_ms;
      let flow = (units, priority, 0);
      prop_assert_eq!(
        one.admit_ranked(&name(), request(flow), now_ms),
        other.admit_ranked(&name(), request(flow), now_ms)
      );
    }
  }
}

/// One organisation with a burst of 250 units, and then 1 per second.
fn with_a_limit(configuration: &mut Value) {
  configuration["tenants"] = json!([
    {"name": ORGANISATION, "apiKeys": ["key-a"], "unit": "token_stream", "plainTokens": 100, "ratePerS": 1, "burst": 250},
  ]);
}

/// A report of 50 admitted units and 100 requested ones of band 3, with a request of 150 units of band 7.
async fn report(gateway: &GatewayBox) -> Result<Bytes, CallError> {
  let name = Name::from(ORGANISATION);
  let usage = ("north-2", vec![(&name, 50_i64)], Some((&name, 150_u64)));
  let message = (usage, Some(7_u8), vec![(&name, 3_u8, 100_u64)]);
  let body = postcard::to_stdvec(&message).unwrap();
  let request = Request::post(format!("http://{}/use-ranked", gateway.boxes))
    .body(Full::new(body.into()))
    .unwrap();
  HttpClient::default().fetch_bytes(request, TIMEOUT).await
}

async fn with_fair_shares(fair_shares: &'static str) -> GatewayBox {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let mut test = GatewayTest::new().await.configure(with_a_limit);
  test.fair_shares = fair_shares;
  test.with_portal(&one).await
}

/// Guards against a coordinator that ignores the ranks in a report.
#[tokio::test]
async fn coordinator_reserves_what_another_box_reports() {
  let gateway = with_fair_shares("always").await;
  let body = report(&gateway).await.unwrap();
  type Response = ((Vec<(Name, f64)>, Option<UsageVerdict>), Option<ShareState>);
  let ((_, verdict), state): Response = postcard::from_bytes(&body).unwrap();
  // 200 units are left, of which 100 are reserved.
  assert!(
    matches!(verdict, Some(UsageVerdict::OverLimit { .. })),
    "{verdict:?}"
  );
  let expected = ShareState {
    lent: 25.0,
    reserved: 100.0,
  };
  assert_eq!(state, Some(expected));
}

/// Guards against a box that decides by rank although it is not enabled, or although the routes of streams have one priority.
#[rstest]
#[case::never("never")]
#[case::streams_of_one_priority("by_configuration")]
#[tokio::test]
async fn box_without_fair_shares_does_not_know_their_messages(#[case] fair_shares: &'static str) {
  let gateway = with_fair_shares(fair_shares).await;
  let result = report(&gateway).await;
  let is_not_found = |error: &CallError| matches!(error, CallError::Status { status, .. } if *status == StatusCode::NOT_FOUND);
  assert!(result.as_ref().is_err_and(is_not_found), "{result:?}");
}

/// Guards against requests that are rejected, or each delayed by a refused message, during a release.
#[tokio::test]
async fn coordinator_of_an_older_build_is_asked_in_order_of_arrival() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let coordinator = EndpointStandIn::start(|seen| match seen.path.as_str() {
    // No organisation is near its limit, and the request is within its limit.
    "/use" => Reply::ok(seen, "\0\u{1}\0"),
    _ => Reply::status(seen, "404 Not Found", ""),
  })
  .await;
  let mut test = GatewayTest::new().await.configure(with_a_limit);
  test.fair_shares = "always";
  for number in (0..2).chain(20..40) {
    test.enter_box(&format!("north-{number:02}"), coordinator.address);
  }
  let gateway = test.with_portal(&one).await;
  let count = |path: &str| {
    let received = coordinator.received();
    received.iter().filter(|seen| seen.path == path).count()
  };
  let used_and_ranked = async || {
    let mut request = gateway.request("/safe/a", "r");
    let value = HeaderValue::from_static("Bearer key-a");
    request.headers_mut().insert(AUTHORIZATION, value);
    let is_served = gateway.send(request).await.status == StatusCode::OK;
    is_served && count("/use-ranked") > 0 && count("/use") > 4 * count("/use-ranked")
  };
  assert!(emulator::eventually(TIMEOUT, used_and_ranked).await);
}
