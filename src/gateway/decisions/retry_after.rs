//! When a caller whose request has not run is told to come back, and why then.

/// All endpoints refused: their queues are short, and some place is free soon.
pub(crate) const RETRY_AFTER_FULL_MS: u64 = 400;
/// No endpoint is known: the list is a second old at most when the store is there.
pub(crate) const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 1_000;
/// No configuration is in force on this box yet.
pub(crate) const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 500;
/// This box is about to stop; the others serve.
pub(crate) const RETRY_AFTER_LEAVING_MS: u64 = 50;
/// Callers that are refused while all endpoints pause come back over this time from the first pause's end on: those of some tens of
/// boxes would else come at one moment.
const RETURN_SPREAD_MS: f64 = 500.0;

/// When a caller is told to come back whose request finds all endpoints pausing; `draw` from 0 to 1 spreads callers.
///
/// ```
/// use rillford::gateway::retry_after_backoff_ms;
/// assert_eq!(retry_after_backoff_ms(2_000, 0.0), 2_000);
/// assert_eq!(retry_after_backoff_ms(2_000, 1.0), 2_500);
/// ```
pub fn retry_after_backoff_ms(available_in_ms: u64, draw: f64) -> u64 {
  available_in_ms + (RETURN_SPREAD_MS * draw) as u64
}
