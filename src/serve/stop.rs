//! A planned stop: tell the balancer and the peers, accept for its lag, end what runs, then exit.

use {
  crate::{
    decide::{Event, Status},
    ingress::{Phase, SharedPhase},
    ring::Sender,
  },
  arc_swap::ArcSwap,
  std::{sync::Arc, time::Duration},
  tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep},
  },
};

/// Time that cancels may still take after the last request has ended.
const CANCEL_LIMIT: Duration = Duration::from_secs(5);
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// The status is at most this old, so that one look could miss a request just accepted.
const STATUS_LAG: Duration = Duration::from_millis(500);

/// Awaits a signal; a second one does not cut what runs.
pub(super) async fn await_signal() -> std::io::Result<()> {
  let mut terminate = signal(SignalKind::terminate())?;
  let mut interrupt = signal(SignalKind::interrupt())?;
  tokio::select! {
    _ = terminate.recv() => {}
    _ = interrupt.recv() => {}
  }
  tokio::spawn(async move {
    loop {
      tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
      }
      log::info!("stopping already; requests in progress are not cut");
    }
  });
  Ok(())
}

/// Stops the box without cutting a request.
pub(super) async fn stop(
  phase: &SharedPhase,
  status: &Arc<ArcSwap<Status>>,
  to_decide: &Sender<Event>,
  balancer_lag: Duration,
) {
  phase.advance(Phase::Leaving);
  to_decide.send(Event::Stopping).await;
  sleep(balancer_lag).await;
  phase.advance(Phase::Closed);
  sleep(STATUS_LAG).await;
  while status.load().in_progress > 0 {
    sleep(LOOK_PERIOD).await;
  }
  let until = Instant::now() + CANCEL_LIMIT;
  while status.load().open_orders > 0 && Instant::now() < until {
    sleep(LOOK_PERIOD).await;
  }
  // The last bytes are on their way through ingress.
  sleep(STATUS_LAG).await;
}
