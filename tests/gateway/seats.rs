//! Who gets the next seat, and how much memory is asked for.

use {
  super::{EndpointStandIn, GatewayTest, PATIENCE, Reply, Seen, endpoint::engine_reply},
  emulator::eventually,
  http::HeaderValue,
  rillford::gateway::{SeatForecast, SeatQueue, SeatUrgency, SeatWait},
  rstest::rstest,
  std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
};

const EVENTS: &str = "id: 1\ndata: a\n\n";

fn wait(goes_on: bool, in_time_until_ms: u64) -> SeatWait {
  SeatWait {
    goes_on,
    in_time_until_ms,
    until_ms: 10_000,
  }
}

#[rstest]
#[case::goes_on(wait(true, 0), 500, SeatUrgency::GoesOn, 9_500)]
#[case::in_time(wait(false, 900), 500, SeatUrgency::InTime, 400)]
#[case::late(wait(false, 900), 900, SeatUrgency::Late, 9_100)]
#[case::over(wait(false, 900), 10_000, SeatUrgency::Late, 0)]
fn urgency_and_its_next_change(
  #[case] wait: SeatWait,
  #[case] now_ms: u64,
  #[case] urgency: SeatUrgency,
  #[case] change_ms: u64,
) {
  assert_eq!(wait.urgency(now_ms), urgency);
  assert_eq!(wait.next_change_ms(now_ms), change_ms);
}

#[test]
fn oldest_of_the_most_urgent_goes_first() {
  let mut queue = SeatQueue::default();
  let late = queue.join(wait(false, 0));
  let older = queue.join(wait(false, 900));
  let newer = queue.join(wait(false, 900));
  let going_on = queue.join(wait(true, 0));
  for number in [going_on, older, newer, late] {
    assert!(queue.is_first(number, 100), "{number}");
    queue.leave(number);
  }
}

#[tokio::test]
async fn caller_that_was_refused_before_gets_its_seat_after_a_first_one() {
  let prefill = EndpointStandIn::engine(EVENTS).await;
  let is_open = Arc::new(AtomicBool::new(true));
  let open = is_open.clone();
  let decode = EndpointStandIn::start(move |seen: &Seen| {
    if seen.path == "/hold-take" && !open.load(Ordering::Relaxed) {
      return Reply::not_run(seen);
    }
    engine_reply(seen, EVENTS)
  })
  .await;
  let test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][2]["targetLatencyMs"] = 60_000.into();
    configuration["routes"][2]["timeoutMs"] = 120_000.into();
  });
  let gateway = test.with_engines(&prefill, &decode).await;
  let asked = |id: &'static str, deadline_ms: &'static str| {
    let mut request = gateway.request("/stream/a", id);
    let deadline = HeaderValue::from_static(deadline_ms);
    request.headers_mut().insert("x-deadline-ms", deadline);
    gateway.send(request)
  };
  // It tells how long these callers wait in all.
  asked("early", "100000").await;
  is_open.store(false, Ordering::Relaxed);
  let holds = || {
    decode
      .seen()
      .iter()
      .filter(|seen| seen.path == "/hold-take")
      .count()
  };
  let opened = async {
    // Both are here by the time that many asks were refused.
    assert!(eventually(PATIENCE, async || holds() > 60).await);
    is_open.store(true, Ordering::Relaxed);
  };
  tokio::join!(asked("again", "30000"), asked("new", "100000"), opened);
  let order: Vec<String> = prefill
    .requests()
    .iter()
    .map(|seen| seen.header("x-request-id").to_string())
    .collect();
  assert_eq!(order.last().map(String::as_str), Some("again"), "{order:?}");
}

#[rstest]
#[case::no_estimate("", 125)]
#[case::estimate("20", 114)]
#[case::longer_than_allowed("5000", 127)]
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
  let mut forecast = SeatForecast::default();
  for seat_ms in seats_ms {
    forecast.note_seat(*seat_ms, true);
  }
  assert_eq!(forecast.has_chance(ahead, 450), has_chance);
}

#[test]
fn time_without_waiting_requests_says_nothing_of_seats() {
  let mut forecast = SeatForecast::default();
  forecast.note_seat(0, true);
  forecast.note_idle();
  forecast.note_seat(60_000, true);
  assert!(forecast.has_chance(9, 450));
  forecast.note_seat(60_050, false);
  forecast.note_seat(90_000, true);
  assert!(forecast.has_chance(4, 450));
}

#[test]
fn callers_return_when_the_streams_of_now_have_ended() {
  let mut forecast = SeatForecast::default();
  assert_eq!(forecast.retry_after_ms(0.0), 3_500);
  for _ in 0..50 {
    forecast.note_stream(10_000);
  }
  assert_eq!(forecast.retry_after_ms(0.0), 10_000);
  assert_eq!(forecast.retry_after_ms(1.0), 18_000);
}
