//! The rank of a request.

use crate::ids::Name;

/// The result of the policy program's `rank` function.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
  /// Class of the request, for the timeline.
  pub class: Name,
  /// Higher is served first.
  pub priority: i64,
  /// Whether the request may be shed when its queue is full.
  pub may_wait: bool,
  /// Among requests of equal priority that may wait, the lowest weight is shed first.
  pub weight: f64,
  /// Target time to the first token.
  pub first_token_ms: u64,
}

impl Rank {
  /// The rank of all requests when no policy program is configured.
  ///
  /// ```
  /// let rank = rillford::decide::Rank::without_policy();
  /// assert_eq!(rank.first_token_ms, 1400);
  /// ```
  pub fn without_policy() -> Self {
    Self {
      class: "default".into(),
      first_token_ms: 1400,
      may_wait: false,
      priority: 0,
      weight: 1.0,
    }
  }
}
