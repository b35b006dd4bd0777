//! How long a box waits before it asks the store again after a call that failed.

/// Mean pause of a box among few.
const PAUSE_MS: f64 = 250.0;
/// With more boxes than this, each pauses longer: all their calls together are priced.
const BOXES: f64 = 16.0;
/// Bounds on the random factor that keeps boxes from asking at once.
const SPREAD: (f64, f64) = (0.5, 1.5);
/// Part of the time of contact that a pause may take at the most: a box counts as connected that long after the
/// store is back, and has to have listed and heard all by then.
const CONTACT_SHARE: f64 = 0.5;

/// The pause of one of so many boxes; `draw` from 0 to 1 spreads them. `contact_ms` is the time without trouble
/// after which a box counts as connected (the users' setting).
///
/// ```
/// use rillford::gateway::store_retry_delay_ms;
/// assert_eq!(store_retry_delay_ms(8, 3_000, 0.5), 250);
/// assert_eq!(store_retry_delay_ms(64, 3_000, 0.5), 1_000);
/// assert_eq!(store_retry_delay_ms(390, 3_000, 1.0), 1_500);
/// ```
pub fn store_retry_delay_ms(boxes: usize, contact_ms: u64, draw: f64) -> u64 {
  let (least, most) = SPREAD;
  let longest_mean_ms = contact_ms as f64 * CONTACT_SHARE / most;
  let wanted_mean_ms = PAUSE_MS * (boxes as f64 / BOXES).max(1.0);
  let mean_ms = wanted_mean_ms.min(longest_mean_ms);
  (mean_ms * (least + draw * (most - least))) as u64
}
