//! Endpoints that are cold: a short while after their start, or after a hall's drain, they carry few requests of all boxes together.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, PATIENCE, Reply, Seen, endpoint::engine_reply,
  },
  emulator::eventually,
  futures_util::future::join_all,
  http::StatusCode,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    AdvertisedLimit, ColdPeriod, EndpointEntry, EndpointIncarnation, EndpointLimits, LimitHeader,
    LimitSource, LocalPermitVerdict, PermitRequest, PermitTable, PermitVerdict, coordinator_limit,
  },
  rstest::rstest,
  serde_json::{Value, json},
  std::time::{Duration, Instant},
  tokio::time::sleep,
};

/// What the endpoints of these tests carry while they are cold, in requests a second.
const COLD_PER_S: f64 = 4.0;
/// How long they are cold after a start.
const COLD_S: f64 = 3.0;
/// The users' bound: in one second a cold endpoint gets no more than this of all boxes together.
const MOST_IN_A_SECOND: usize = (COLD_PER_S * 1.5 + 5.0) as usize;
const SECOND: Duration = Duration::from_secs(1);
const EVENTS: &str = "id: 1\ndata: a\n\n";

/// Both services' endpoints are cold after their starts.
fn with_cold_starts(configuration: &mut Value) {
  for service in configuration["services"].as_array_mut().unwrap() {
    service["coldStartS"] = json!(COLD_S);
    service["coldPerS"] = json!(COLD_PER_S);
  }
}

/// Boxes on one store that have heard of each other.
async fn start_boxes(test: GatewayTest, count: usize) -> Vec<GatewayBox> {
  let others: Vec<GatewayTest> = (2..=count)
    .map(|number| test.beside(&format!("north-{number}"), test.store.address))
    .collect();
  let mut boxes = vec![test.start().await];
  for other in others {
    boxes.push(other.start().await);
  }
  for gateway in &boxes {
    let knows_all = async || gateway.figure("rillford_boxes").await as usize == count;
    assert!(eventually(PATIENCE, knows_all).await);
  }
  boxes
}

/// Has all boxes asked at once, again and again until the time is over; the statuses.
async fn ask_all(boxes: &[GatewayBox], path: &str, time: Duration) -> Vec<StatusCode> {
  let began = Instant::now();
  let mut statuses = Vec::new();
  while began.elapsed() < time {
    let asks = boxes.iter().enumerate().map(|(number, gateway)| {
      let id = format!("{number}-{}", statuses.len());
      async move { gateway.ask(path, &id).await.status }
    });
    statuses.extend(join_all(asks).await);
    sleep(Duration::from_millis(20)).await;
  }
  statuses
}

/// The most requests that reached an endpoint in any second of a time.
fn most_in_a_second(arrivals: &[Instant]) -> usize {
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

/// The sum over boxes keeps to what a cold endpoint carries, and callers are told at once when to come back; once it is warm it
/// gets everything.
#[tokio::test]
async fn boxes_together_send_a_cold_endpoint_no_more_than_it_carries() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  // A box that knows no endpoint is not ready.
  test.enter("e-1", "llm", Some("decode"), &one);
  let boxes = start_boxes(test, 3).await;
  boxes[0].test.enter_cold("p-1", "portal", None, &one, 2_500);
  let is_known = async || boxes[2].figure("rillford_endpoints_limited").await as usize == 1;
  assert!(eventually(PATIENCE, is_known).await);
  let statuses = ask_all(&boxes, "/unsafe/a", Duration::from_millis(1_900)).await;
  let most = most_in_a_second(&arrivals(&one));
  assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
  assert!(statuses.contains(&StatusCode::OK));
  assert!(statuses.contains(&StatusCode::SERVICE_UNAVAILABLE));
  let is_warm = async || boxes[0].figure("rillford_endpoints_limited").await as usize == 0;
  assert!(eventually(PATIENCE, is_warm).await);
  let statuses = ask_all(&boxes, "/unsafe/b", Duration::from_millis(300)).await;
  assert!(statuses.iter().all(|status| *status == StatusCode::OK));
}

#[tokio::test]
async fn nobody_is_refused_while_a_warm_endpoint_has_room() {
  let cold = EndpointStandIn::start(|seen| Reply::ok(seen, "cold")).await;
  let warm = EndpointStandIn::start(|seen| Reply::ok(seen, "warm")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter("p-2", "portal", None, &warm);
  let boxes = start_boxes(test, 2).await;
  boxes[0]
    .test
    .enter_cold("p-1", "portal", None, &cold, 60_000);
  let is_known = async || boxes[1].figure("rillford_endpoints_limited").await as usize == 1;
  assert!(eventually(PATIENCE, is_known).await);
  let statuses = ask_all(&boxes, "/unsafe/a", SECOND).await;
  assert!(statuses.iter().all(|status| *status == StatusCode::OK));
  assert!(most_in_a_second(&arrivals(&cold)) <= MOST_IN_A_SECOND);
}

/// The endpoints of a hall whose drain ends may have turned cold shortly before, and their entries tell so late.
#[tokio::test]
async fn hall_whose_drain_ends_is_used_as_cold_at_first() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter("p-1", "portal", None, &one);
  test.store.put("op/evacuate/north", b"{}");
  let boxes = start_boxes(test, 2).await;
  boxes[0].test.store.remove("op/evacuate/north");
  let is_used = async || boxes[0].ask("/unsafe/a", "r").await.status == StatusCode::OK;
  assert!(eventually(PATIENCE, is_used).await);
  ask_all(&boxes, "/unsafe/b", SECOND).await;
  let most = most_in_a_second(&arrivals(&one));
  assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
}

/// Engines get a seat's call and the stream after it with one permit, and prompts with one each.
#[tokio::test]
async fn cold_engines_get_no_more_prompts_and_streams_than_they_carry() {
  let reader = EndpointStandIn::engine(EVENTS).await;
  let writer = EndpointStandIn::start(|seen: &Seen| engine_reply(seen, EVENTS)).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter_cold("e-1", "llm", Some("prefill"), &reader, 60_000);
  test.enter_cold("e-2", "llm", Some("decode"), &writer, 60_000);
  let boxes = start_boxes(test, 2).await;
  let statuses = ask_all(&boxes, "/stream/a", Duration::from_secs(2)).await;
  assert!(statuses.contains(&StatusCode::OK));
  for engine in [&reader, &writer] {
    let most = most_in_a_second(&arrivals(engine));
    assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
  }
}

/// An endpoint that turns cold tells so in its answers before its entry does.
#[tokio::test]
async fn word_of_an_answer_counts() {
  let one = EndpointStandIn::start(|seen| match Reply::ok(seen, "one") {
    Reply::Write(text) => Reply::Write(text.replacen("\r\n", "\r\nx-cold-ms: 60000\r\n", 1)),
    other => other,
  })
  .await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  test.enter("p-1", "portal", None, &one);
  let boxes = start_boxes(test, 1).await;
  ask_all(&boxes, "/unsafe/a", Duration::from_secs(2)).await;
  let most = most_in_a_second(&arrivals(&one));
  assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
  assert_eq!(
    boxes[0].figure("rillford_endpoints_limited").await as usize,
    1
  );
}

/// Entries and answers may have any number, or none.
#[rstest]
#[case::hours(json!(1e30))]
#[case::below_zero(json!(-5))]
#[case::text(json!("soon"))]
#[tokio::test]
async fn time_that_nobody_can_mean_does_no_harm(#[case] cold_ms: Value) {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await.configure(with_cold_starts);
  let entry = json!({
    "service": "portal", "address": one.address, "zone": "north", "slots": 8, "state": "ready", "coldRemainingMs": cold_ms,
  });
  let entry = entry.to_string();
  test.store.put("servers/p-1", entry.as_bytes());
  let gateway = test.start().await;
  let is_served = async || gateway.ask("/unsafe/a", "r").await.status == StatusCode::OK;
  assert!(eventually(PATIENCE, is_served).await);
}

/// What an endpoint names and what it carries while it is cold share one account: the lower one holds.
#[rstest]
#[case::named_is_lower("1", LimitSource::Answer)]
#[case::cold_is_lower("50", LimitSource::Cold)]
fn lower_of_two_limits_holds(#[case] named: &str, #[case] source: LimitSource) {
  let entry = entry();
  let mut limits = EndpointLimits::default();
  limits.record_response(
    &entry,
    LimitHeader::PerSecond(named.parse().unwrap()),
    0,
    10,
  );
  limits.record_cold(&entry.id, entry.started_ms, span(10, 1_000));
  let in_force: AdvertisedLimit = limits.in_force(&entry, 500).unwrap();
  assert_eq!(in_force.source, source);
  assert_eq!(
    limits.in_force(&entry, 1_000).unwrap().source,
    LimitSource::Answer
  );
}

#[test]
fn another_life_is_not_cold_and_a_warm_endpoint_has_no_limit() {
  let entry = entry();
  let mut limits = EndpointLimits::default();
  limits.record_cold(&entry.id, entry.started_ms, span(0, 0));
  assert!(!limits.are_enforced());
  limits.record_cold(&entry.id, entry.started_ms, span(0, 1_000));
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
  }
}

fn span(recorded_ms: u64, until_ms: u64) -> ColdPeriod {
  ColdPeriod {
    recorded_ms,
    per_s: COLD_PER_S,
    until_ms,
  }
}

/// A box of the replay: what it knows, and its questions to the one that counts.
struct ReplayBox {
  limits: EndpointLimits,
  name: String,
}

/// How long the replay lasts.
const LASTS_MS: u64 = 10_000;

/// A hall comes back cold under full load: each box has requests for the endpoint. Answers of the box that counts come at once here,
/// and a request arrives as it is sent. Answers with
/// when requests were sent, and how many questions for permits there were.
fn replay_cold_endpoint(boxes: usize) -> (Vec<u64>, usize) {
  const WANTED_PER_S: f64 = 200.0;
  let entry = entry();
  let life = EndpointIncarnation::of(&entry.id, entry.started_ms);
  let mut random = ChaCha8Rng::seed_from_u64(boxes as u64);
  let mut counting = PermitTable::default();
  let mut fleet: Vec<ReplayBox> = (0..boxes)
    .map(|number| {
      let mut limits = EndpointLimits::default();
      limits.record_cold(&entry.id, entry.started_ms, span(0, LASTS_MS));
      ReplayBox {
        limits,
        name: format!("north-{number}"),
      }
    })
    .collect();
  let (mut sent_ms, mut questions) = (Vec::new(), 0);
  for now_ms in 0..LASTS_MS {
    if !random.random_bool(WANTED_PER_S / 1_000.0) {
      continue;
    }
    let at = random.random_range(0..boxes);
    let here = &mut fleet[at];
    let local = here.limits.permits().acquire(&entry.id, now_ms);
    let granted = match local {
      LocalPermitVerdict::Granted => true,
      LocalPermitVerdict::Rejected { .. } => false,
      LocalPermitVerdict::Ask { permits, unused } => {
        questions += 1;
        let wish = PermitRequest {
          box_name: here.name.as_str().into(),
          permits,
          priority: 1,
          unused,
        };
        let limit = coordinator_limit(here.limits.per_s(&entry, now_ms).unwrap());
        let verdict: PermitVerdict = counting.request(life, limit, &wish, now_ms);
        let ledger = here.limits.permits();
        ledger.record_verdict(&entry.id, verdict, now_ms)
      }
    };
    if granted {
      sent_ms.push(now_ms);
    }
  }
  (sent_ms, questions)
}

#[rstest]
#[case::few_boxes(3)]
#[case::hall(74)]
#[case::many(300)]
fn replay_of_a_cold_endpoint_keeps_the_sum_at_any_number_of_boxes(#[case] boxes: usize) {
  let (sent_ms, _) = replay_cold_endpoint(boxes);
  let within = |from_ms: &u64| {
    let until_ms = from_ms + 1_000;
    sent_ms
      .iter()
      .filter(|at| (*from_ms..until_ms).contains(at))
      .count()
  };
  let most = sent_ms.iter().map(within).max().unwrap();
  assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
  // It is not left idle either: most of what it carries is used.
  let carried = COLD_PER_S * LASTS_MS as f64 / 1_000.0;
  assert!(
    sent_ms.len() as f64 >= 0.6 * carried,
    "{} sent",
    sent_ms.len()
  );
}

/// A box that was told to wait asks once after the longest wait, and two are called in for each permit.
#[rstest]
#[case::few_boxes(3)]
#[case::hall(74)]
#[case::many(300)]
fn replay_of_a_cold_endpoint_counts_questions(#[case] boxes: usize) {
  const LONGEST_WAIT_MS: u64 = 6_000;
  let (sent_ms, questions) = replay_cold_endpoint(boxes);
  let most_questions = 2 * sent_ms.len() + boxes * (LASTS_MS / LONGEST_WAIT_MS + 1) as usize;
  assert!(questions <= most_questions, "{questions} questions");
}
