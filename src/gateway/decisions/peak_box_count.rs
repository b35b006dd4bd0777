//! The number of boxes among which limits of all boxes are divided. Free of I/O.
//!
//! Load pattern: boxes serve on while they are missing from the list, since the store was unreachable and their leases have
//! expired, or since their hall is cut off. If each box divided by the boxes that are listed, their shares would add up to
//! more than the limit.

/// Longer than halls usually are cut off from each other.
const RETENTION_MS: u64 = 15 * 60 * 1_000;

/// The largest number of boxes that were listed within the retention time, or up to twice as long ago.
///
/// ```
/// use rillford::gateway::PeakBoxCount;
/// let mut peak = PeakBoxCount::default();
/// peak.record(58, 0);
/// peak.record(1, 20_000);
/// assert_eq!(peak.get(), 58);
/// peak.record(1, 15 * 60 * 1_000);
/// assert_eq!(peak.get(), 58);
/// peak.record(1, 2 * 15 * 60 * 1_000);
/// assert_eq!(peak.get(), 1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakBoxCount {
  /// The peak since `since_ms`.
  current: usize,
  /// The peak in the retention time before it.
  previous: usize,
  since_ms: u64,
}

impl PeakBoxCount {
  /// Records the number of boxes that are listed now.
  pub fn record(&mut self, boxes: usize, now_ms: u64) {
    if now_ms >= self.since_ms + RETENTION_MS {
      self.previous = self.current;
      self.current = 0;
      self.since_ms = now_ms;
    }
    self.current = self.current.max(boxes);
  }

  pub fn get(&self) -> usize {
    self.current.max(self.previous)
  }
}
