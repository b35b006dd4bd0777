//! One promise broken once.

use {super::promise::Promise, std::fmt};

/// One promise broken once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
  /// The promise.
  pub promise: Promise,
  /// What was seen.
  pub seen: String,
}

impl Breach {
  pub(crate) fn new(promise: Promise, seen: impl Into<String>) -> Self {
    let seen = seen.into();
    Self { promise, seen }
  }
}

impl fmt::Display for Breach {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    write!(formatter, "{:?}: {}", self.promise, self.seen)
  }
}
