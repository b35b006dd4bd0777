//! How many endpoints take work.

use std::fmt::{self, Display, Formatter};

/// How many endpoints are known, and how many of them take no work.
///
/// ```
/// use rillford::gateway::EndpointCounts;
/// let counts = EndpointCounts { drained: 0, known: 3, leaving: 1, limited: 0, pausing: 2 };
/// assert_eq!(counts.to_string(), "3 endpoints known, 1 leaving, 2 pausing, 0 limited, 0 in drained halls");
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
  /// Those of halls that operators drain.
  pub drained: usize,
  /// All of them.
  pub known: usize,
  /// Those that leave, by the store's word or their own.
  pub leaving: usize,
  /// Those that take so many requests a second of all boxes.
  pub limited: usize,
  /// Those that want no work for now.
  pub pausing: usize,
}

impl Display for EndpointCounts {
  fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
    let Self {
      drained,
      known,
      leaving,
      limited,
      pausing,
    } = self;
    write!(
      formatter,
      "{known} endpoints known, {leaving} leaving, {pausing} pausing, {limited} limited, {drained} in drained halls"
    )
  }
}
