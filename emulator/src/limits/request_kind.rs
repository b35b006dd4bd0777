//! Kinds of requests in the limits simulation.

use super::fleet::REQUEST_UNITS;

/// A kind of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
  pub name: &'static str,
  pub units: u64,
  /// Its route's priority; 0 is the most urgent.
  pub priority: u8,
  /// What a served request is worth.
  pub value: f64,
  /// Its requests per second in the mix.
  per_s: f64,
}

impl RequestKind {
  /// The only kind of all patterns but the one of mixed sizes.
  pub(super) const UNIFORM: Self = Self {
    name: "uniform",
    per_s: 1.0,
    priority: 1,
    units: REQUEST_UNITS,
    value: 1.0,
  };
  /// The kinds of mixed sizes.
  pub const MIXED: [Self; 4] = [
    Self {
      name: "plain",
      per_s: 84.4,
      priority: 2,
      units: 200,
      value: 1.0,
    },
    Self {
      name: "appeal",
      per_s: 14.8,
      priority: 0,
      units: 5_270,
      value: 12.0,
    },
    Self {
      name: "review",
      per_s: 11.0,
      priority: 1,
      units: 5_270,
      value: 6.2,
    },
    Self {
      name: "digest",
      per_s: 19.3,
      priority: 2,
      units: 5_270,
      value: 3.1,
    },
  ];

  /// The index of a mixed kind, for a random `draw` from 0 to 1.
  pub(super) fn mixed(draw: f64) -> usize {
    let total: f64 = Self::MIXED.iter().map(|kind| kind.per_s).sum();
    let mut left = draw * total;
    let found = Self::MIXED.iter().position(|kind| {
      left -= kind.per_s;
      left < 0.0
    });
    found.unwrap_or(0)
  }
}

/// Counts of a kind's requests of overloading organisations, while the pattern is active.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindCounts {
  pub asked: u32,
  pub admitted: u32,
}
