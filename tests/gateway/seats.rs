//! Who gets the next seat, and how much memory is asked for.

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
fn going_on_comes_first_and_then_the_oldest() {
  let mut queue = SlotQueue::default();
  let older = queue.join(SlotUrgency::New, 1);
  let newer = queue.join(SlotUrgency::New, 1);
  let going_on = queue.join(SlotUrgency::Resumed, 1);
  for place in [going_on, older, newer] {
    assert!(queue.is_first(place), "{place:?}");
    queue.leave(place);
  }
  assert!(queue.is_empty());
}

#[tokio::test]
async fn caller_that_comes_back_for_the_rest_gets_its_seat_first() {
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
  let begins = gateway.ask("/stream/a", "new");
  let goes_on = async {
    // The new one looks for a seat already.
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
  tokio::join!(begins, goes_on, opened);
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
async fn seat_is_sized_by_the_callers_estimate(
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
#[case::nothing_seen(&[], 9, true)]
#[case::one_ahead(&[0, 500, 1_000], 1, true)]
#[case::many_ahead(&[0, 500, 1_000], 4, false)]
#[case::seats_come_fast(&[0, 50, 100], 4, true)]
fn refusal_follows_the_seats_that_were_seen(
  #[case] seats_ms: &[u64],
  #[case] ahead: usize,
  #[case] has_chance: bool,
) {
  let mut forecast = SlotForecast::default();
  for seat_ms in seats_ms {
    forecast.record_slot(*seat_ms, true);
  }
  assert_eq!(forecast.has_chance(ahead, 450), has_chance);
}

#[test]
fn time_without_waiting_requests_says_nothing_of_seats() {
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
fn callers_return_when_the_streams_of_now_have_ended() {
  let mut forecast = SlotForecast::default();
  assert_eq!(forecast.retry_after_ms(0.0), 3_500);
  for _ in 0..50 {
    forecast.record_stream(10_000);
  }
  assert_eq!(forecast.retry_after_ms(0.0), 10_000);
  assert_eq!(forecast.retry_after_ms(1.0), 18_000);
}
