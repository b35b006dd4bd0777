//! For how long an endpoint is cold, on its way between boxes.

use {
  crate::gateway::decisions::ColdPeriod,
  serde::{Deserialize, Serialize},
};

/// A span as a box knows it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct ColdSpanMessage {
  /// Requests a second that the endpoint carries.
  per_s: f64,
  /// How much longer it is cold.
  left_ms: u64,
}

impl ColdSpanMessage {
  /// A span that is known here.
  pub(super) fn new(span: ColdPeriod, now_ms: u64) -> Self {
    Self {
      left_ms: span.until_ms.saturating_sub(now_ms),
      per_s: span.per_s,
    }
  }

  /// It on the clock of the box that is told.
  pub(super) fn span(self, now_ms: u64) -> ColdPeriod {
    ColdPeriod {
      recorded_ms: now_ms,
      per_s: self.per_s.max(0.0),
      until_ms: now_ms.saturating_add(self.left_ms),
    }
  }
}
