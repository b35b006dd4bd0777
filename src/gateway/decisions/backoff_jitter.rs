//! When boxes come back to an endpoint that wanted no work for a while. Free of I/O.
//!
//! Load pattern: an endpoint that is full turns away one request of each of hundreds of boxes within a second, and asks all of them for
//! the same pause. They would come back as one, find it full, and be sent away again.

/// Each box comes back so much later than the one before, at the mean: hundreds of boxes that come as one find the endpoint full and
/// are sent away again, and more callers are refused.
const TURN_MS: f64 = 5.0;

/// The pause that one of so many boxes keeps; `draw` from 0 to 1 spreads them, over no longer than the pause itself.
///
/// ```
/// use rillford::gateway::jittered_backoff_ms;
/// assert_eq!(jittered_backoff_ms(3_000, 8, 0.0), 3_000);
/// assert_eq!(jittered_backoff_ms(3_000, 300, 1.0), 4_500);
/// assert_eq!(jittered_backoff_ms(100, 300, 1.0), 200);
/// ```
pub fn jittered_backoff_ms(wanted_ms: u64, boxes: usize, draw: f64) -> u64 {
  let spread_ms = (boxes as f64 * TURN_MS).min(wanted_ms as f64);
  wanted_ms.saturating_add((spread_ms * draw) as u64)
}
