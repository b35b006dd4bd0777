//! When a caller whose request has not run is told to come back, and why then.

/// All endpoints refused: their queues are short, and some place is free soon.
pub(crate) const RETRY_AFTER_FULL_MS: u64 = 400;
/// No endpoint is known: the list is a second old at most when the store is there.
pub(crate) const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 1_000;
/// No configuration is in force on this box yet.
pub(crate) const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 500;
/// This box is about to stop; the others serve.
pub(crate) const RETRY_AFTER_LEAVING_MS: u64 = 50;
