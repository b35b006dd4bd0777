//! Numbers of endpoints by availability.

use std::fmt::{self, Display, Formatter};

/// How many endpoints are known, and how many of them take no new work, or a limited amount.
///
/// ```
/// use rillford::gateway::EndpointCounts;
/// let counts = EndpointCounts { displaced: 0, drained: 0, known: 3, leaving: 1, limited: 0, backing_off: 2 };
/// assert_eq!(counts.to_string(), "3 endpoints known, 1 leaving, 2 backing off, 0 limited, 0 in drained halls, 0 displaced");
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
  /// Those whose addresses other endpoints have.
  pub displaced: usize,
  /// Those in drained halls.
  pub drained: usize,
  pub known: usize,
  /// Those that leave, as listed in the store or as signalled by themselves.
  pub leaving: usize,
  /// Those with a limit on requests per second over all boxes.
  pub limited: usize,
  /// Those that asked for a backoff.
  pub backing_off: usize,
}

impl Display for EndpointCounts {
  fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
    let Self {
      displaced,
      drained,
      known,
      leaving,
      limited,
      backing_off,
    } = self;
    write!(
      formatter,
      "{known} endpoints known, {leaving} leaving, {backing_off} backing off, {limited} limited, {drained} in drained halls, {displaced} displaced"
    )
  }
}
