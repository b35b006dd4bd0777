//! Late traffic of links.

/// How late the traffic of a link arrives. Nothing is lost, and the order is kept: what comes behind late bytes waits for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lateness {
  /// Shortest delay.
  pub least_ms: u64,
  /// Longest delay.
  pub most_ms: u64,
  /// Whether only the traffic back from the target is late.
  pub is_back_only: bool,
}
