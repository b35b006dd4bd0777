//! The number of boxes among which limits of all boxes are divided. Free of I/O.
//!
//! Load pattern: boxes serve on while they are missing from the list, since the store was unreachable and their leases have
//! expired, or since their hall is cut off. If each box divided by the boxes that are listed, their shares would add up to
//! more than the limit.

/// Number of boxes from which on a deployment is large: only store readers read the store and coordinate usage.
pub(super) const MIN_LARGE_BOXES: usize = 16;
/// A box whose entry was removed while it serves on has entered itself again by then: boxes renew their leases every 3 s, and a
/// renewal may fail or wait for the store.
const RECOVERY_MS: u64 = 10_000;
/// The store has dropped the entries when fewer boxes than this share are listed. A cut hall, or a third of the boxes that lose the
/// store, leaves more: the others have to go on coordinating.
const LOST_SHARE: f64 = 0.25;
/// Most boxes have entered themselves again when this share is listed; the coordinators among the first ones would differ.
const RECOVERED_SHARE: f64 = 0.75;
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
  /// When the list was lost, until most boxes are listed again.
  lost_ms: Option<u64>,
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
    let listed_share = boxes as f64 / self.get().max(1) as f64;
    let is_lost = match self.lost_ms {
      None => listed_share < LOST_SHARE,
      Some(_) => listed_share < RECOVERED_SHARE,
    };
    self.lost_ms = is_lost.then(|| self.lost_ms.unwrap_or(now_ms));
  }

  /// Whether nearly all boxes of a large deployment have disappeared from the list, and may still enter themselves again: the store
  /// has dropped their entries, and they serve on.
  ///
  /// ```
  /// use rillford::gateway::PeakBoxCount;
  /// let mut peak = PeakBoxCount::default();
  /// peak.record(24, 0);
  /// peak.record(23, 10);
  /// assert!(!peak.is_list_lost(10));
  /// peak.record(0, 20);
  /// assert!(peak.is_list_lost(20));
  /// peak.record(16, 2_000);
  /// assert!(peak.is_list_lost(2_000));
  /// peak.record(20, 3_000);
  /// assert!(!peak.is_list_lost(3_000));
  /// // Boxes that don't return were removed for good.
  /// peak.record(5, 4_000);
  /// assert!(peak.is_list_lost(13_999) && !peak.is_list_lost(14_000));
  /// ```
  pub fn is_list_lost(&self, now_ms: u64) -> bool {
    let lost_ms = self.lost_ms.filter(|_| self.is_large());
    lost_ms.is_some_and(|lost_ms| now_ms < lost_ms + RECOVERY_MS)
  }

  fn is_large(&self) -> bool {
    self.get() >= MIN_LARGE_BOXES
  }

  pub fn get(&self) -> usize {
    self.current.max(self.previous)
  }
}
