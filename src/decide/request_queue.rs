//! A queue of requests for the same endpoints, with the rate at which it drains.

use super::FairQueue;

/// Weight of the latest interval in the moving average.
const SMOOTHING: f64 = 0.2;

/// The queue of one model or one plain service.
#[derive(Default)]
pub struct RequestQueue {
  pub entries: FairQueue,
  last_start_ms: u64,
  /// Moving average of the time between two starts.
  interval_ms: f64,
}

impl RequestQueue {
  /// Records that a request left the queue for an endpoint. Only starts while others still wait show how fast it drains.
  pub fn record_start(&mut self, now_ms: u64) {
    let interval_ms = now_ms.saturating_sub(self.last_start_ms) as f64;
    self.last_start_ms = now_ms;
    if !self.entries.is_empty() {
      self.interval_ms += SMOOTHING * (interval_ms - self.interval_ms);
    }
  }

  /// Expected wait of a new request of that priority.
  pub fn wait_ms(&self, priority: i64) -> u64 {
    (self.entries.count_ahead(priority) as f64 * self.interval_ms) as u64
  }
}
