//! A violation of a promise.

use {super::promise::Promise, std::fmt};

/// A violation of a promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
  /// The violated promise.
  pub promise: Promise,
  /// Description of what was observed.
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
