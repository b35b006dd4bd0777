//! Order of requests for batch slots, and the size of reservations.

use {
  super::{EndpointStandIn, GatewayTest, Reply, Seen, TIMEOUT, endpoint::engine_reply},
  emulator::eventually,
  http::HeaderValue,
  rillford::gateway::{SlotForecast, SlotQueue, SlotUrgency},
  rstest::rstest,
  std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
};

const EVENTS: &str = "id: 1\ndata: a\n\n";

#[test]
fn resumed_requests_go_first_and_then_the_oldest() {
  let mut queue = SlotQueue::default();
  let older = queue.join(SlotUrgency::New, 1);
  let newer = queue.join(SlotUrgency::New, 1);
  let resumed = queue.join(SlotUrgency::Resumed, 1);
  for position in [resumed, older, newer] {
    assert!(queue.is_first(position), "{position:?}");
    queue.leave(position);
  }
  assert!(queue.is_empty());
}

#[tokio::test]
async fn resumed_request_gets_its_slot_first() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let is_open = Arc::new(AtomicBool::new(false));
  let open = is_open.clone();
  let decode = EndpointStandIn::start(move |seen: &Seen| {
    if seen.path == "/hold-take" && !open.load(Ordering::Relaxed) {
      return Reply::not_run(seen);
    }
    engine_reply(seen, EVENTS)
  })
  .await;
  let test = GatewayTest::new().await.configure(|configuration| {
    for route in [2, 3] {
      configuration["routes"][route]["targetLatencyMs"] = 60_000.into();
      configuration["routes"][route]["timeoutMs"] = 120_000.into();
    }
  });
  let gateway = test.with_engines(&prefill, &decode).await;
  let holds = || {
    decode
      .seen()
      .iter()
      .filter(|seen| seen.path == "/hold-take")
      .count()
  };
  let new = gateway.ask("/stream/a", "new");
  let resumed = async {
    // The new request is waiting for a slot already.
    assert!(eventually(TIMEOUT, async || holds() > 0).await);
    let mut request = gateway.request("/resumable/a", "again");
    let event = HeaderValue::from_static("0");
    request.headers_mut().insert("last-event-id", event);
    gateway.send(request).await
  };
  let opened = async {
    assert!(eventually(TIMEOUT, async || holds() > 30).await);
    is_open.store(true, Ordering::Relaxed);
  };
  tokio::join!(new, resumed, opened);
  let order: Vec<String> = prefill
    .requests()
    .iter()
    .map(|seen| seen.header("x-request-id").to_string())
    .collect();
  assert_eq!(order, ["again", "new"]);
}

#[rstest]
#[case::no_estimate("", 125)]
#[case::estimate("20", 121)]
#[case::longer_than_allowed("5000", 145)]
#[case::no_number("many", 125)]
#[tokio::test]
async fn reservation_is_sized_by_the_callers_estimate(
  #[case] estimate: &'static str,
  #[case] tokens: u64,
) {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let decode = EndpointStandIn::engine(EVENTS).await;
  let gateway = GatewayTest::new()
    .await
    .with_engines(&prefill, &decode)
    .await;
  let mut request = gateway.request("/stream/a", "r1");
  let estimate = HeaderValue::from_static(estimate);
  request.headers_mut().insert("x-length-hint", estimate);
  gateway.send(request).await;
  let hold = String::from_utf8_lossy(&decode.seen()[0].body).into_owned();
  assert!(hold.contains(&format!("\"tokens\":{tokens}")), "{hold}");
}

#[rstest]
#[case::nothing_observed(&[], 9, true)]
#[case::one_ahead(&[0, 500, 1_000], 1, true)]
#[case::many_ahead(&[0, 500, 1_000], 4, false)]
#[case::slots_become_free_fast(&[0, 50, 100], 4, true)]
fn rejection_follows_the_observed_slots(
  #[case] slots_ms: &[u64],
  #[case] ahead: usize,
  #[case] has_chance: bool,
) {
  let mut forecast = SlotForecast::default();
  for slot_ms in slots_ms {
    forecast.record_slot(*slot_ms, true);
  }
  assert_eq!(forecast.has_chance(ahead, 450), has_chance);
}

#[test]
fn time_without_waiting_requests_is_not_an_interval_between_slots() {
  let mut forecast = SlotForecast::default();
  forecast.record_slot(0, true);
  forecast.record_idle();
  forecast.record_slot(60_000, true);
  assert!(forecast.has_chance(9, 450));
  forecast.record_slot(60_050, false);
  forecast.record_slot(90_000, true);
  assert!(forecast.has_chance(4, 450));
}

#[test]
fn retry_after_follows_the_length_of_streams() {
  let mut forecast = SlotForecast::default();
  assert_eq!(forecast.retry_after_ms(0.0), 3_500);
  for _ in 0..50 {
    forecast.record_stream(10_000);
  }
  assert_eq!(forecast.retry_after_ms(0.0), 10_000);
  assert_eq!(forecast.retry_after_ms(1.0), 18_000);
}
