//! An exponentially decaying sum of units. Free of I/O.

/// Time constant of the decay: longer than the gaps between the requests of a small organisation, shorter than the time in
/// which its callers move to another hall.
const DECAY_MS: f64 = 4_000.0;
/// Minimum age of the sum that [`RecentUsage::before_outage`] returns: an outage is detected this late.
const DETECTION_DELAY_MS: u64 = 600;

/// A sum of units that decays with their age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentUsage {
  units: f64,
  at_ms: u64,
  /// The sum at two earlier times, the older one first.
  before: [(f64, u64); 2],
}

impl RecentUsage {
  /// Adds units, or subtracts refunded ones.
  pub(super) fn record(&mut self, units: f64, now_ms: u64) {
    let sum = self.units(now_ms);
    if now_ms >= self.before[1].1 + DETECTION_DELAY_MS {
      self.before = [self.before[1], (sum, now_ms)];
    }
    self.units = (sum + units).max(0.0);
    self.at_ms = now_ms;
  }

  /// The sum before an outage that is detected now.
  pub(super) fn before_outage(&self, now_ms: u64) -> f64 {
    let outage_ms = now_ms.saturating_sub(DETECTION_DELAY_MS);
    if self.at_ms <= outage_ms {
      return self.units(outage_ms);
    }
    let known = self
      .before
      .iter()
      .rev()
      .find(|(_, at_ms)| *at_ms <= outage_ms);
    known.map_or(0.0, |(units, _)| *units)
  }

  /// The current sum.
  pub(super) fn units(&self, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
    self.units * (-age_ms / DECAY_MS).exp()
  }

  /// The mean recent rate in units per second.
  pub(super) fn per_s(&self, now_ms: u64) -> f64 {
    self.units(now_ms) * 1_000.0 / DECAY_MS
  }
}
