//! One queue of requests that compete for the same endpoints, and how fast it drains.

use super::FairQueue;

const SMOOTHING: f64 = 0.2;

/// The requests that wait for one model or one plain service.
#[derive(Default)]
pub struct RequestQueue {
  /// Those that wait.
  pub entries: FairQueue,
  last_start_ms: u64,
  interval_ms: f64,
}

impl RequestQueue {
  /// A request left the queue for an endpoint. Only starts out of a queue say how fast it drains.
  pub fn record_start(&mut self, now_ms: u64) {
    let interval_ms = now_ms.saturating_sub(self.last_start_ms) as f64;
    self.last_start_ms = now_ms;
    if !self.entries.is_empty() {
      self.interval_ms += SMOOTHING * (interval_ms - self.interval_ms);
    }
  }

  /// Time until a newcomer of that priority would leave the queue.
  pub fn wait_ms(&self, priority: i64) -> u64 {
    (self.entries.count_ahead(priority) as f64 * self.interval_ms) as u64
  }
}
