//! A bound on lines that an endpoint's every answer could cause.

use std::cell::Cell;

/// Pause between two lines of one kind.
const PAUSE_MS: u64 = 1_000;

/// Lets one line pass in each second.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
  quiet_until_ms: Cell<u64>,
}

impl LogThrottle {
  /// Whether a line may be written now; if so, the next one waits.
  pub(crate) fn should_log(&self, now_ms: u64) -> bool {
    if now_ms < self.quiet_until_ms.get() {
      return false;
    }
    self.quiet_until_ms.set(now_ms + PAUSE_MS);
    true
  }
}
