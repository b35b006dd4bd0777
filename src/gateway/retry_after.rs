//! When a caller whose request has not run is told to come back, and why then.

/// All endpoints refused: their queues are short, and some place is free soon.
pub(crate) const RETRY_AFTER_FULL_MS: u64 = 400;
/// No endpoint is known: the list is a second old at most when the store is there.
pub(crate) const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 1_000;
/// No configuration is in force on this box yet.
pub(crate) const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 500;
/// This box is about to stop; the others serve.
pub(crate) const RETRY_AFTER_LEAVING_MS: u64 = 50;
/// All seats of the engines are taken: a stream lasts some four seconds, and so does a wave of callers.
const RETRY_AFTER_NO_SEAT_MS: (f64, f64) = (2_500.0, 4_500.0);

/// When to come back for a seat; `draw` from 0 to 1 spreads those who do.
pub(crate) fn retry_after_no_seat_ms(draw: f64) -> u64 {
  let (least, most) = RETRY_AFTER_NO_SEAT_MS;
  (least + draw * (most - least)) as u64
}
