//! Silent periods of an engine.

use {
  std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::time::{Instant, sleep_until},
};

/// Whether an engine sends nothing for now. Shared by all its connections, which pause together.
#[derive(Clone, Default)]
pub(crate) struct Silence(Arc<Mutex<Option<Instant>>>);

impl Silence {
  fn until(&self) -> MutexGuard<'_, Option<Instant>> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Starts a silent period, or extends the current one.
  pub(crate) fn begin(&self, duration: Duration) {
    let end = Instant::now() + duration;
    let mut until = self.until();
    *until = (*until).max(Some(end));
  }

  /// Returns once the engine may send.
  pub(crate) async fn ended(&self) {
    loop {
      let until = *self.until();
      match until {
        Some(end) if Instant::now() < end => sleep_until(end).await,
        _ => return,
      }
    }
  }
}
