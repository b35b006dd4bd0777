//! A bucket of units that is refilled at a rate. Free of I/O.

use crate::gateway::edge::UsageLimit;

/// The deepest debt, as a time at the limit's rate. More is not paid back: a count that is wrong, or told by a box that lies,
/// refuses an organisation for this long at the most.
const MOST_DEBT_S: f64 = 1.0;

/// What is left of a limit. It may be in debt: units that others report late have been used all the same.
///
/// ```
/// use rillford::gateway::{UseBucket, UsageLimit};
/// let limit = UsageLimit { burst: 100.0, rate_per_s: 10.0 };
/// let mut bucket = UseBucket::full(limit, 0);
/// bucket.charge(limit, 105.0);
/// assert_eq!(bucket.left(limit, 0), -5.0);
/// assert_eq!(bucket.left(limit, 200), -3.0);
/// assert_eq!(bucket.wait_ms(limit, 20.0, 200), 2_300);
/// bucket.charge(limit, 1_000_000.0);
/// assert_eq!(bucket.left(limit, 200), -10.0);
/// assert_eq!(bucket.left(limit, 60_000), 100.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UseBucket {
  left: f64,
  at_ms: u64,
}

impl UseBucket {
  /// A bucket that nothing was taken from.
  pub fn full(limit: UsageLimit, now_ms: u64) -> Self {
    Self {
      at_ms: now_ms,
      left: limit.burst,
    }
  }

  /// A bucket without anything in it.
  pub fn empty(now_ms: u64) -> Self {
    Self {
      at_ms: now_ms,
      left: 0.0,
    }
  }

  /// Units that are left now.
  pub fn left(&mut self, limit: UsageLimit, now_ms: u64) -> f64 {
    let passed_ms = now_ms.saturating_sub(self.at_ms);
    self.at_ms = self.at_ms.max(now_ms);
    self.left += limit.rate_per_s * passed_ms as f64 / 1_000.0;
    self.left = self.left.min(limit.burst);
    self.left
  }

  /// Takes units, or gives them back when there are less than none.
  pub fn charge(&mut self, limit: UsageLimit, units: f64) {
    let deepest = -limit.rate_per_s * MOST_DEBT_S;
    self.left = (self.left - units).max(deepest).min(limit.burst);
  }

  /// Time until so many units are there, if nothing is taken.
  pub fn wait_ms(&mut self, limit: UsageLimit, units: f64, now_ms: u64) -> u64 {
    let missing = units.min(limit.burst) - self.left(limit, now_ms);
    (missing.max(0.0) / limit.rate_per_s * 1_000.0).ceil() as u64
  }

  /// The limit has changed: what the bucket holds more, or less, is there at once.
  pub fn change(&mut self, from: UsageLimit, to: UsageLimit, now_ms: u64) {
    let left = self.left(from, now_ms);
    self.left = (left + (to.burst - from.burst).max(0.0)).min(to.burst);
  }
}
