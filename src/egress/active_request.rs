//! The state of one request in egress, shared by the tasks of its attempts.

use {
  super::{joiner::Joiner, latency_recorder::LatencyRecorder},
  crate::chunk::Payload,
  std::sync::{Mutex, MutexGuard, PoisonError},
};

/// The state of one request, over all its attempts.
pub(super) struct ActiveRequest {
  pub(super) payload: Payload,
  pub(super) joiner: Mutex<Joiner>,
  /// Taken when the response is complete.
  pub(super) latencies: Mutex<Option<LatencyRecorder>>,
  pub(super) prompt_tokens: Mutex<u64>,
}

impl ActiveRequest {
  pub(super) fn joiner(&self) -> MutexGuard<'_, Joiner> {
    self.joiner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Bytes of the response delivered so far.
  pub(super) fn offset(&self) -> u64 {
    self.joiner().offset()
  }
}
