//! The delay before a box retries a store call that failed.

/// Mean delay in a small deployment.
const MEAN_DELAY_MS: f64 = 250.0;
/// Number of boxes beyond which the delay grows: each store call is billed.
const SMALL_DEPLOYMENT_BOXES: f64 = 16.0;
/// Bounds of the random factor that keeps boxes from retrying at once.
const JITTER: (f64, f64) = (0.5, 1.5);
/// Longest delay as a share of the contact time: a box counts as connected that long after the store has recovered, and has
/// to have listed everything by then.
const MAX_CONTACT_SHARE: f64 = 0.5;

/// The delay of one of `boxes` boxes; `draw` from 0 to 1 spreads them. `contact_ms` is the time without failures after which
/// a box counts as connected.
///
/// ```
/// use rillford::gateway::store_retry_delay_ms;
/// assert_eq!(store_retry_delay_ms(8, 3_000, 0.5), 250);
/// assert_eq!(store_retry_delay_ms(64, 3_000, 0.5), 1_000);
/// assert_eq!(store_retry_delay_ms(390, 3_000, 1.0), 1_500);
/// ```
pub fn store_retry_delay_ms(boxes: usize, contact_ms: u64, draw: f64) -> u64 {
  let (min, max) = JITTER;
  let max_mean_ms = contact_ms as f64 * MAX_CONTACT_SHARE / max;
  let wanted_mean_ms = MEAN_DELAY_MS * (boxes as f64 / SMALL_DEPLOYMENT_BOXES).max(1.0);
  let mean_ms = wanted_mean_ms.min(max_mean_ms);
  (mean_ms * (min + draw * (max - min))) as u64
}
