//! A graceful stop: fails the health check, keeps accepting until the load balancer has noticed, drains requests, exits.

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

/// Time allowed for outstanding cancels after the last request has finished.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// The published status is at most this old; an earlier read could miss a request that was just accepted.
const MAX_STATUS_AGE: Duration = Duration::from_millis(500);

/// Waits for SIGTERM or SIGINT. Later signals are only logged.
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
      log::info!("already stopping; waiting for requests in progress");
    }
  });
  Ok(())
}

/// Stops the box after all requests in progress have finished.
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
  sleep(MAX_STATUS_AGE).await;
  while status.load().in_progress > 0 {
    sleep(POLL_PERIOD).await;
  }
  let deadline = Instant::now() + CANCEL_TIMEOUT;
  while status.load().open_orders > 0 && Instant::now() < deadline {
    sleep(POLL_PERIOD).await;
  }
  // Lets ingress send the last response bytes.
  sleep(MAX_STATUS_AGE).await;
}
