//! When a box enters itself in the store again. Free of I/O.
//!
//! Load pattern: the store was away for longer than leases last, and all boxes enter themselves again with the same event. Each needs
//! some writes, and the store takes some hundred a second.

/// Writes of all boxes in a second.
const WRITES_PER_S: f64 = 200.0;
/// Writes with which a box enters itself: a lease and its entry.
const WRITES: f64 = 2.0;
/// The longest delay, in the largest deployments.
const MAX_DELAY_MS: f64 = 6_000.0;
/// Mean delay after a failed call in a small deployment.
const MEAN_RETRY_MS: f64 = 500.0;
/// The longest mean delay after a failed call: the interval of renewals.
const MAX_MEAN_RETRY_MS: f64 = 3_000.0;

/// The delay before one of `boxes` boxes enters itself after its entry has gone; `draw` from 0 to 1 spreads them.
///
/// ```
/// use rillford::gateway::registration_delay_ms;
/// assert_eq!(registration_delay_ms(15, 1.0), 150);
/// assert_eq!(registration_delay_ms(61, 0.5), 305);
/// assert_eq!(registration_delay_ms(985, 1.0), 6_000);
/// ```
pub fn registration_delay_ms(boxes: usize, draw: f64) -> u64 {
  (draw * spread_ms(boxes).min(MAX_DELAY_MS)) as u64
}

/// The delay of one of `boxes` boxes after a call for its lease or its entry has failed.
///
/// ```
/// use rillford::gateway::renewal_retry_ms;
/// assert_eq!(renewal_retry_ms(15, 0.0), 250);
/// assert_eq!(renewal_retry_ms(61, 0.5), 610);
/// assert_eq!(renewal_retry_ms(985, 0.5), 3_000);
/// ```
pub fn renewal_retry_ms(boxes: usize, draw: f64) -> u64 {
  let mean_ms = spread_ms(boxes).clamp(MEAN_RETRY_MS, MAX_MEAN_RETRY_MS);
  (mean_ms * (0.5 + draw)) as u64
}

/// The time in which all boxes enter themselves.
fn spread_ms(boxes: usize) -> f64 {
  boxes as f64 * WRITES / WRITES_PER_S * 1_000.0
}
