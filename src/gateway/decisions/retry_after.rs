//! Retry-after delays of rejected requests.

/// All endpoints rejected the request: their queues are short, and a slot is free soon.
pub(crate) const RETRY_AFTER_FULL_MS: u64 = 400;
/// No endpoint is known: the list is at most a second old while the store is reachable.
pub(crate) const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 1_000;
/// No configuration is in force on this box yet.
pub(crate) const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 500;
/// The box that recorded where the stream began may be cut off for a while.
pub(crate) const RETRY_AFTER_UNKNOWN_ORIGIN_MS: u64 = 1_000;
/// This box is about to stop; other boxes serve.
pub(crate) const RETRY_AFTER_LEAVING_MS: u64 = 50;
/// The box holds too many bytes: callers that read slowly take about this long for theirs.
pub(crate) const RETRY_AFTER_MEMORY_MS: u64 = 400;
/// Window over which callers return after the first backoff ends, when all endpoints back off: else the callers of dozens of
/// boxes would return at once.
const RETURN_SPREAD_MS: f64 = 500.0;

/// The delay of a request that finds all endpoints backing off; `draw` from 0 to 1 spreads callers.
///
/// ```
/// use rillford::gateway::retry_after_backoff_ms;
/// assert_eq!(retry_after_backoff_ms(2_000, 0.0), 2_000);
/// assert_eq!(retry_after_backoff_ms(2_000, 1.0), 2_500);
/// ```
pub fn retry_after_backoff_ms(available_in_ms: u64, draw: f64) -> u64 {
  available_in_ms + (RETURN_SPREAD_MS * draw) as u64
}
