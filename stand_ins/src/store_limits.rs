//! The limits of the simulated store.

use std::time::Duration;

/// Limits of the store, over all of its views.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
  /// Writing calls per second; grants and ends of leases count as writes.
  pub writes_per_s: f64,
  /// Reading calls per second; a renewal of a lease costs a tenth of one, and a read that may be stale nothing.
  pub reads_per_s: f64,
  /// Time for which changes stay in the history.
  pub history: Duration,
  /// Items per page of a listing.
  pub page_items: usize,
}

/// What a call takes of the limits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallCost {
  Read,
  /// A read that may be stale.
  StaleRead,
  Renewal,
  Write,
}
