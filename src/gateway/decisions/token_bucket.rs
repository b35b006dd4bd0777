//! A token bucket that may be in debt. Free of I/O.

use crate::gateway::edge::UsageLimit;

/// Largest debt, as time at the limit's rate: a wrong count, or one reported by a faulty box, blocks an organisation for at
/// most this long.
const MAX_DEBT_S: f64 = 1.0;

/// The remaining units of a limit; in debt when others report late what they have already used.
///
/// ```
/// use rillford::gateway::{TokenBucket, UsageLimit};
/// let limit = UsageLimit { burst: 100.0, rate_per_s: 10.0 };
/// let mut bucket = TokenBucket::full(limit, 0);
/// bucket.charge(limit, 105.0);
/// assert_eq!(bucket.level(limit, 0), -5.0);
/// assert_eq!(bucket.level(limit, 200), -3.0);
/// assert_eq!(bucket.wait_ms(limit, 20.0, 200), 2_300);
/// bucket.charge(limit, 1_000_000.0);
/// assert_eq!(bucket.level(limit, 200), -10.0);
/// assert_eq!(bucket.level(limit, 60_000), 100.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
  level: f64,
  at_ms: u64,
}

impl TokenBucket {
  /// A full bucket.
  pub fn full(limit: UsageLimit, now_ms: u64) -> Self {
    Self {
      at_ms: now_ms,
      level: limit.burst,
    }
  }

  /// An empty bucket.
  pub fn empty(now_ms: u64) -> Self {
    Self {
      at_ms: now_ms,
      level: 0.0,
    }
  }

  /// The current level.
  pub fn level(&mut self, limit: UsageLimit, now_ms: u64) -> f64 {
    let passed_ms = now_ms.saturating_sub(self.at_ms);
    self.at_ms = self.at_ms.max(now_ms);
    self.level += limit.rate_per_s * passed_ms as f64 / 1_000.0;
    self.level = self.level.min(limit.burst);
    self.level
  }

  /// Takes units, or returns them when negative.
  pub fn charge(&mut self, limit: UsageLimit, units: f64) {
    let deepest = -limit.rate_per_s * MAX_DEBT_S;
    self.level = (self.level - units).max(deepest).min(limit.burst);
  }

  /// Time until the bucket holds this many units, if nothing is taken.
  pub fn wait_ms(&mut self, limit: UsageLimit, units: f64, now_ms: u64) -> u64 {
    let missing = units.min(limit.burst) - self.level(limit, now_ms);
    (missing.max(0.0) / limit.rate_per_s * 1_000.0).ceil() as u64
  }

  /// Applies a changed limit: additional or reduced capacity is effective at once.
  pub fn change(&mut self, from: UsageLimit, to: UsageLimit, now_ms: u64) {
    let level = self.level(from, now_ms);
    self.level = (level + (to.burst - from.burst).max(0.0)).min(to.burst);
  }
}
