//! The faults of links.

/// A fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
  /// Adds latency.
  Delayed {
    /// Added latency in each direction.
    delay_ms: u64,
  },
  /// Drops all traffic without closing connections.
  Blocked,
  /// Blocks traffic towards the target.
  BlockedForward,
  /// Blocks traffic back from the target.
  BlockedBack,
  /// Resets all open connections; new ones work.
  Reset,
}
