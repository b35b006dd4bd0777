//! Cold endpoints: for a short time after a start, or after the drain of their hall, they sustain few requests over all boxes.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, ReceivedRequest, Reply, TIMEOUT,
    endpoint::engine_reply,
  },
  emulator::eventually,
  futures_util::future::join_all,
  http::StatusCode,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    AdvertisedLimit, ColdPeriod, EndpointEntry, EndpointIncarnation, EndpointLimits, LimitHeader,
    LimitSource, LocalPermitVerdict, PermitRequest, PermitTable, PermitVerdict, SoftwareVersion,
    coordinator_limit,
  },
  rstest::rstest,
  serde_json::{Value, json},
  std::time::{Duration, Instant},
  tokio::time::sleep,
};

/// Requests per second that an endpoint sustains while cold.
const COLD_PER_S: f64 = 4.0;
/// Duration of a cold start.
const COLD_S: f64 = 3.0;
/// Bound on the requests of all boxes to a cold endpoint within one second.
const MAX_PER_SECOND: usize = (COLD_PER_S * 1.5 + 5.0) as usize;
const SECOND: Duration = Duration::from_secs(1);
const EVENTS: &str = "id: 1\ndata: a\n\n";

/// Configures a cold start for both services.
fn with_cold_starts(configuration: &mut Value) {
  for service in configuration["services"].as_array_mut().unwrap() {
    service["coldStartS"] = json!(COLD_S);
    service["coldPerS"] = json!(COLD_PER_S);
  }
}

/// Starts boxes on one store, and waits until they know each other.
async fn start_boxes(test: GatewayTest, count: usize) -> Vec<GatewayBox> {
  let others: Vec<GatewayTest> = (2..=count)
    .map(|number| test.second_box(&format!("north-{number}"), test.store.address))
    .collect();
  let mut boxes = vec![test.start().await];
  for other in others {
    boxes.push(other.start().await);
  }
  for gateway in &boxes {
    let knows_all = async || gateway.metric("rillford_boxes").await as usize == count;
    assert!(eventually(TIMEOUT, knows_all).await);
  }
  boxes
}

/// Sends requests to all boxes at the same time, repeatedly for `time`; returns the statuses.
async fn ask_all(boxes: &[GatewayBox], path: &str, time: Duration) -> Vec<StatusCode> {
  let began = Instant::now();
  let mut statuses = Vec::new();
  while began.elapsed() < time {
    let requests = boxes.iter().enumerate().map(|(number, gateway)| {
      let id = format!("{number}-{}", statuses.len());
      async move { gateway.ask(path, &id).await.status }
    });
    statuses.extend(join_all(requests).await);
    sleep(Duration::from_millis(20)).await;
  }
  statuses
}

/// The largest number of arrivals within one second.
fn max_per_second(arrivals: &[Instant]) -> usize {
  let within = |from: &Instant| {
    arrivals
      .iter()
      .filter(|at| *at >= from && at.duration_since(*from) < SECOND)
      .count()
  };
  arrivals.iter().map(within).max().unwrap_or(0)
}

fn arrivals(endpoint: &EndpointStandIn) -> Vec<Instant> {
  endpoint.requests().iter().map(|seen| seen.at).collect()
}

/// All boxes together stay within the rate of a cold endpoint and reject further requests at once; a warm endpoint gets all requests.
#[tokio::test]
async fn boxes_together_send_a_cold_endpoint_no_more_than_it_sustains() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  // A box without endpoints is not ready.
  test.enter("e-1", "llm", Some("decode"), &one);
  let boxes = start_boxes(test, 3).await;
  boxes[0].test.enter_cold("p-1", "portal", None, &one, 2_500);
  let is_known = async || boxes[2].metric("rillford_endpoints_limited").await as usize == 1;
  assert!(eventually(TIMEOUT, is_known).await);
  let statuses = ask_all(&boxes, "/unsafe/a", Duration::from_millis(1_900)).await;
  let most = max_per_second(&arrivals(&one));
  assert!(most <= MAX_PER_SECOND, "{most} in a second");
  assert!(statuses.contains(&StatusCode::OK));
  assert!(statuses.contains(&StatusCode::SERVICE_UNAVAILABLE));
  for gateway in &boxes {
    let is_warm = async || gateway.metric("rillford_endpoints_limited").await as usize == 0;
    assert!(eventually(TIMEOUT, is_warm).await);
  }
  let statuses = ask_all(&boxes, "/unsafe/b", Duration::from_millis(300)).await;
  assert!(statuses.iter().all(|status| *status == StatusCode::OK));
}

#[tokio::test]
async fn no_request_is_rejected_while_a_warm_endpoint_has_capacity() {
  let cold = EndpointStandIn::start(|seen| Reply::ok(seen, "cold")).await;
  let warm = EndpointStandIn::start(|seen| Reply::ok(seen, "warm")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter("p-2", "portal", None, &warm);
  let boxes = start_boxes(test, 2).await;
  boxes[0]
    .test
    .enter_cold("p-1", "portal", None, &cold, 60_000);
  let is_known = async || boxes[1].metric("rillford_endpoints_limited").await as usize == 1;
  assert!(eventually(TIMEOUT, is_known).await);
  let statuses = ask_all(&boxes, "/unsafe/a", SECOND).await;
  assert!(statuses.iter().all(|status| *status == StatusCode::OK));
  assert!(max_per_second(&arrivals(&cold)) <= MAX_PER_SECOND);
}

/// Endpoints may turn cold just before the drain of their hall ends, and their entries lag behind.
#[tokio::test]
async fn hall_whose_drain_ends_is_used_as_cold_at_first() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter("p-1", "portal", None, &one);
  test.store.put("op/evacuate/north", b"{}");
  let boxes = start_boxes(test, 2).await;
  boxes[0].test.store.remove("op/evacuate/north");
  let is_used = async || boxes[0].ask("/unsafe/a", "r").await.status == StatusCode::OK;
  assert!(eventually(TIMEOUT, is_used).await);
  ask_all(&boxes, "/unsafe/b", SECOND).await;
  let most = max_per_second(&arrivals(&one));
  assert!(most <= MAX_PER_SECOND, "{most} in a second");
}

/// The reservation of a slot and its stream share one permit; each prefill takes one.
#[tokio::test]
async fn cold_engines_get_no_more_prefills_and_streams_than_they_sustain() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::start(|seen: &ReceivedRequest| engine_reply(seen, EVENTS)).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter_cold("e-1", "llm", Some("prefill"), &prefill, 60_000);
  test.enter_cold("e-2", "llm", Some("decode"), &decode, 60_000);
  let boxes = start_boxes(test, 2).await;
  let statuses = ask_all(&boxes, "/stream/a", Duration::from_secs(2)).await;
  assert!(statuses.contains(&StatusCode::OK));
  for engine in [&prefill, &decode] {
    let most = max_per_second(&arrivals(engine));
    assert!(most <= MAX_PER_SECOND, "{most} in a second");
  }
}

/// An endpoint that turns cold signals it in its responses before its entry changes.
#[tokio::test]
async fn cold_header_of_a_response_applies() {
  let one = EndpointStandIn::start(|seen| match Reply::ok(seen, "one") {
    Reply::Write(text) => Reply::Write(text.replacen("\r\n", "\r\nx-cold-ms: 60000\r\n", 1)),
    other => other,
  })
  .await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter("p-1", "portal", None, &one);
  let boxes = start_boxes(test, 1).await;
  ask_all(&boxes, "/unsafe/a", Duration::from_secs(2)).await;
  let most = max_per_second(&arrivals(&one));
  assert!(most <= MAX_PER_SECOND, "{most} in a second");
  assert_eq!(
    boxes[0].metric("rillford_endpoints_limited").await as usize,
    1
  );
}

/// An entry with an invalid cold time is served.
#[rstest]
#[case::hours(json!(1e30))]
#[case::below_zero(json!(-5))]
#[case::text(json!("soon"))]
#[tokio::test]
async fn invalid_cold_time_is_ignored(#[case] cold_ms: Value) {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  let entry = json!({
    "service": "portal", "address": one.address, "zone": "north", "slots": 8, "state": "ready", "coldRemainingMs": cold_ms,
  });
  let entry = entry.to_string();
  test.store.put("servers/p-1", entry.as_bytes());
  let gateway = test.start().await;
  let is_served = async || gateway.ask("/unsafe/a", "r").await.status == StatusCode::OK;
  assert!(eventually(TIMEOUT, is_served).await);
}

/// Of the advertised limit and that of a cold endpoint, the lower one applies.
#[rstest]
#[case::advertised_is_lower("1", LimitSource::Answer)]
#[case::cold_is_lower("50", LimitSource::Cold)]
fn lower_of_two_limits_applies(#[case] advertised: &str, #[case] source: LimitSource) {
  let entry = entry();
  let mut limits = EndpointLimits::default();
  limits.record_response(
    &entry,
    LimitHeader::PerSecond(advertised.parse().unwrap()),
    0,
    10,
  );
  limits.record_cold(&entry.id, entry.started_ms, period(10, 1_000));
  let in_force: AdvertisedLimit = limits.in_force(&entry, 500).unwrap();
  assert_eq!(in_force.source, source);
  assert_eq!(
    limits.in_force(&entry, 1_000).unwrap().source,
    LimitSource::Answer
  );
}

#[test]
fn another_incarnation_is_not_cold_and_a_warm_endpoint_has_no_limit() {
  let entry = entry();
  let mut limits = EndpointLimits::default();
  limits.record_cold(&entry.id, entry.started_ms, period(0, 0));
  assert!(!limits.are_enforced());
  limits.record_cold(&entry.id, entry.started_ms, period(0, 1_000));
  assert_eq!(limits.per_s(&entry, 999), Some(COLD_PER_S));
  let later = EndpointEntry {
    started_ms: Some(2),
    ..entry.clone()
  };
  assert_eq!(limits.per_s(&later, 999), None);
  limits.expire(1_000);
  assert!(!limits.are_enforced());
}

fn entry() -> EndpointEntry {
  EndpointEntry {
    address: "127.0.0.1:1".parse().unwrap(),
    started_ms: Some(1),
    cold_ms: 0,
    hall: "north".into(),
    id: "e-1".into(),
    leaving: false,
    role: None,
    slots: 8,
    service: "portal".into(),
    version: SoftwareVersion::default(),
  }
}

fn period(recorded_ms: u64, until_ms: u64) -> ColdPeriod {
  ColdPeriod {
    recorded_ms,
    per_s: COLD_PER_S,
    until_ms,
  }
}

/// A simulated box.
struct ReplayBox {
  limits: EndpointLimits,
  name: String,
}

/// Simulated time.
const DURATION_MS: u64 = 10_000;

/// Simulates a cold endpoint under full load from all boxes, without latency. Returns when requests were sent, and the number of permit
/// requests to the coordinator.
fn replay_cold_endpoint(boxes: usize) -> (Vec<u64>, usize) {
  const OFFERED_PER_S: f64 = 200.0;
  let entry = entry();
  let incarnation = EndpointIncarnation::of(&entry.id, entry.started_ms);
  let mut random = ChaCha8Rng::seed_from_u64(boxes as u64);
  let mut coordinator = PermitTable::default();
  let mut fleet: Vec<ReplayBox> = (0..boxes)
    .map(|number| {
      let mut limits = EndpointLimits::default();
      limits.record_cold(&entry.id, entry.started_ms, period(0, DURATION_MS));
      ReplayBox {
        limits,
        name: format!("north-{number}"),
      }
    })
    .collect();
  let (mut sent_ms, mut permit_requests) = (Vec::new(), 0);
  for now_ms in 0..DURATION_MS {
    if !random.random_bool(OFFERED_PER_S / 1_000.0) {
      continue;
    }
    let at = random.random_range(0..boxes);
    let here = &mut fleet[at];
    let local = here.limits.permits().acquire(&entry.id, now_ms);
    let granted = match local {
      LocalPermitVerdict::Granted => true,
      LocalPermitVerdict::Rejected { .. } => false,
      LocalPermitVerdict::Ask { permits, unused } => {
        permit_requests += 1;
        let permit_request = PermitRequest {
          box_name: here.name.as_str().into(),
          permits,
          priority: 1,
          unused,
        };
        let limit = coordinator_limit(here.limits.per_s(&entry, now_ms).unwrap());
        let verdict: PermitVerdict =
          coordinator.request(incarnation, limit, &permit_request, now_ms);
        let local_permits = here.limits.permits();
        local_permits.record_verdict(&entry.id, verdict, now_ms)
      }
    };
    if granted {
      sent_ms.push(now_ms);
    }
  }
  (sent_ms, permit_requests)
}

#[rstest]
#[case::few_boxes(3)]
#[case::hall(74)]
#[case::many(300)]
fn replay_of_a_cold_endpoint_keeps_its_limit_at_any_number_of_boxes(#[case] boxes: usize) {
  let (sent_ms, _) = replay_cold_endpoint(boxes);
  let within = |from_ms: &u64| {
    let until_ms = from_ms + 1_000;
    sent_ms
      .iter()
      .filter(|at| (*from_ms..until_ms).contains(at))
      .count()
  };
  let most = sent_ms.iter().map(within).max().unwrap();
  assert!(most <= MAX_PER_SECOND, "{most} in a second");
  // Most of its capacity is used.
  let capacity = COLD_PER_S * DURATION_MS as f64 / 1_000.0;
  assert!(
    sent_ms.len() as f64 >= 0.6 * capacity,
    "{} sent",
    sent_ms.len()
  );
}

/// A rejected box asks again after at most the longest wait, and each permit is offered to two boxes.
#[rstest]
#[case::few_boxes(3)]
#[case::hall(74)]
#[case::many(300)]
fn replay_of_a_cold_endpoint_bounds_permit_requests(#[case] boxes: usize) {
  const LONGEST_WAIT_MS: u64 = 6_000;
  let (sent_ms, permit_requests) = replay_cold_endpoint(boxes);
  let max_permit_requests =
    2 * sent_ms.len() + boxes * (DURATION_MS / LONGEST_WAIT_MS + 1) as usize;
  assert!(
    permit_requests <= max_permit_requests,
    "{permit_requests} permit requests"
  );
}
