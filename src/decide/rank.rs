//! What policy says of one request.

use crate::ids::Name;

/// The typed result of the policy's `rank`.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
  /// The class that the request belongs to, for queues and figures.
  pub class: Name,
  /// Higher goes first.
  pub priority: i64,
  /// Whether the work may be shed under pressure.
  pub may_wait: bool,
  /// Among work that may wait, the lowest weight is shed first.
  pub weight: f64,
  /// Target for the first token.
  pub first_token_ms: u64,
}

impl Rank {
  /// The rank used when no policy is in force.
  ///
  /// ```
  /// let rank = rillford::decide::Rank::plain();
  /// assert_eq!(rank.first_token_ms, 1400);
  /// ```
  pub fn plain() -> Self {
    Self {
      class: "default".into(),
      first_token_ms: 1400,
      may_wait: false,
      priority: 0,
      weight: 1.0,
    }
  }
}
