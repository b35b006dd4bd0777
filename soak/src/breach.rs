//! A violation of a promise.

use {super::promise::Promise, std::fmt};

/// A violation of a promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
  /// The violated promise.
  pub promise: Promise,
  /// Description of what was observed.
  pub observed: String,
}

impl Breach {
  pub(crate) fn new(promise: Promise, observed: impl Into<String>) -> Self {
    let observed = observed.into();
    Self { promise, observed }
  }
}

impl fmt::Display for Breach {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    write!(formatter, "{:?}: {}", self.promise, self.observed)
  }
}
