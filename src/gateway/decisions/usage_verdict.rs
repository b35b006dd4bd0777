//! What is said of a request at its organisation's limit.

use serde::{Deserialize, Serialize};

/// Whether a request is within the limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum UsageVerdict {
  /// It is, and was counted.
  WithinLimit,
  /// It is not, and nothing was counted.
  OverLimit {
    /// Units that were left; below 0 when more was used than the limit allows.
    left: f64,
    /// Time until there is room for it, if nobody else asks.
    wait_ms: u64,
  },
}
