//! Rate limit of log lines that any response of an endpoint could cause.

use std::cell::Cell;

/// Shortest time between two log lines of one kind.
const MIN_INTERVAL_MS: u64 = 1_000;

/// Allows one log line per interval.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
  muted_until_ms: Cell<u64>,
}

impl LogThrottle {
  /// Whether a line may be logged now; if so, further ones are muted for an interval.
  pub(crate) fn should_log(&self, now_ms: u64) -> bool {
    if now_ms < self.muted_until_ms.get() {
      return false;
    }
    self.muted_until_ms.set(now_ms + MIN_INTERVAL_MS);
    true
  }
}
