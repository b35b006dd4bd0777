//! A limit on the rate of calls.

use std::time::Instant;

/// A token bucket that holds the calls of one second.
#[derive(Debug)]
pub(crate) struct CallRate {
  per_s: f64,
  left: f64,
  filled: Instant,
}

impl CallRate {
  /// A full bucket.
  pub(crate) fn new(per_s: f64, now: Instant) -> Self {
    Self {
      filled: now,
      left: per_s,
      per_s,
    }
  }

  /// Takes the cost of a call. Returns `false` when too little is left.
  pub(crate) fn take(&mut self, cost: f64, now: Instant) -> bool {
    let gained = now.saturating_duration_since(self.filled).as_secs_f64() * self.per_s;
    self.left = (self.left + gained).min(self.per_s);
    self.filled = now;
    let is_taken = self.left >= cost;
    if is_taken {
      self.left -= cost;
    }
    is_taken
  }
}
