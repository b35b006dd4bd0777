//! Engines that come back under their id. What a box holds at an engine's former start is not released at a later one.

use {
  super::{
    EndpointStandIn, GatewayTest, ReceivedRequest, Reply, TIMEOUT, endpoint::engine_reply,
    extra_answers::CallKind,
  },
  emulator::eventually,
  std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
  },
  tokio::time::sleep,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// A prefill that lasts until the engine is listed with its later start.
const PREFILL_TIME: Duration = Duration::from_millis(2_000);
/// Until a changed entry has reached the box.
const ENTRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which the engine is down.
const DOWN_TIME: Duration = Duration::from_millis(50);

fn late_prefill(seen: &ReceivedRequest) -> Reply {
  match engine_reply(seen, EVENTS) {
    Reply::Write(text) if seen.is_prefill() => Reply::WriteLater(PREFILL_TIME, text),
    reply => reply,
  }
}

/// Guards against a release that reaches a later start of the engine, which may not know what it names.
#[tokio::test]
async fn reservation_at_a_former_start_is_not_released_at_a_later_one() {
  let prefill = EndpointStandIn::start(late_prefill).await;
  let test = GatewayTest::new().await;
  let store = test.store.clone();
  let reservations = AtomicUsize::new(0);
  let decode = EndpointStandIn::start_restartable(
    move |seen| match CallKind::of(seen) {
      CallKind::Reservation if reservations.fetch_add(1, Ordering::Relaxed) == 1 => {
        Reply::Crash(String::new(), DOWN_TIME)
      }
      _ => engine_reply(seen, EVENTS),
    },
    move |address, start| {
      GatewayTest::enter_incarnation(&store, "e-2", "decode", address, start);
    },
  )
  .await;
  test.enter("e-1", "llm", Some("prefill"), &prefill);
  let gateway = test.start().await;
  let abandoned = gateway.ask_in_background("/stream/a", "r1");
  let is_prefilling = async || !prefill.requests().is_empty();
  assert!(eventually(TIMEOUT, is_prefilling).await);
  let crashes = gateway.ask_in_background("/stream/a", "r2");
  sleep(ENTRY_DELAY).await;
  crashes.abort();
  sleep(ENTRY_DELAY).await;
  abandoned.abort();
  sleep(ENTRY_DELAY).await;
  gateway.ask("/stream/a", "r3").await;
  let received = decode.received();
  let of_later_start: Vec<CallKind> = received
    .iter()
    .filter(|seen| seen.start == 2)
    .map(CallKind::of)
    .collect();
  assert!(!of_later_start.is_empty(), "the engine did not restart");
  assert!(
    !of_later_start.contains(&CallKind::Release),
    "{of_later_start:?}"
  );
}
