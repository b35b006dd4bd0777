//! The verdict on a request at its organisation's limit.

use serde::{Deserialize, Serialize};

/// Whether a request is within the limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum UsageVerdict {
  /// It is, and was charged.
  WithinLimit,
  /// It is not, and nothing was charged.
  OverLimit {
    /// Remaining units; negative when usage exceeds the limit.
    remaining: f64,
    /// Time until the request fits, if nobody else uses units.
    wait_ms: u64,
  },
}
