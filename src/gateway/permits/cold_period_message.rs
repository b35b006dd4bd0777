//! The cold period of an endpoint, as boxes send it to each other.

use {
  crate::gateway::decisions::ColdPeriod,
  serde::{Deserialize, Serialize},
};

/// A cold period, independent of a box's clock.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct ColdPeriodMessage {
  /// Requests per second that the endpoint sustains while cold.
  per_s: f64,
  /// Remaining time.
  remaining_ms: u64,
}

impl ColdPeriodMessage {
  pub(super) fn new(period: ColdPeriod, now_ms: u64) -> Self {
    Self {
      remaining_ms: period.until_ms.saturating_sub(now_ms),
      per_s: period.per_s,
    }
  }

  /// The period on the clock of the receiving box.
  pub(super) fn on_local_clock(self, now_ms: u64) -> ColdPeriod {
    ColdPeriod {
      recorded_ms: now_ms,
      per_s: self.per_s.max(0.0),
      until_ms: now_ms.saturating_add(self.remaining_ms),
    }
  }
}
