//! When boxes return to an endpoint that asked for a backoff. Free of I/O.
//!
//! Load pattern: a full endpoint rejects one request of each of hundreds of boxes within a second, and asks all of them for
//! the same backoff. Without jitter they return at once, find it full, and are rejected again.

/// Mean interval between the returns of two boxes.
const RETURN_INTERVAL_MS: f64 = 5.0;

/// The backoff that one of `boxes` boxes observes; `draw` from 0 to 1 spreads them, over at most the backoff itself.
///
/// ```
/// use rillford::gateway::jittered_backoff_ms;
/// assert_eq!(jittered_backoff_ms(3_000, 8, 0.0), 3_000);
/// assert_eq!(jittered_backoff_ms(3_000, 300, 1.0), 4_500);
/// assert_eq!(jittered_backoff_ms(100, 300, 1.0), 200);
/// ```
pub fn jittered_backoff_ms(requested_ms: u64, boxes: usize, draw: f64) -> u64 {
  let spread_ms = (boxes as f64 * RETURN_INTERVAL_MS).min(requested_ms as f64);
  requested_ms.saturating_add((spread_ms * draw) as u64)
}
