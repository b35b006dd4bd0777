//! Bound on log lines that each request causes.

use std::cell::Cell;

/// Length of the periods in which lines are counted.
const PERIOD_MS: u64 = 1_000;

/// Allows a number of log lines per second.
#[derive(Debug, Default)]
pub(crate) struct LogBudget {
  period: Cell<u64>,
  requested: Cell<u32>,
}

impl LogBudget {
  /// Whether a line may be logged now, of at most `max_per_s`.
  pub(crate) fn should_log(&self, max_per_s: u32, now_ms: u64) -> bool {
    let period = now_ms / PERIOD_MS;
    if self.period.replace(period) != period {
      self.requested.set(0);
    }
    let requested = self.requested.get().saturating_add(1);
    self.requested.set(requested);
    requested <= max_per_s
  }
}
