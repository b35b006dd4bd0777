//! Whether a data hall seems to be unreachable from this box.

use {super::choice::AttemptOutcome, crate::ids::Name, std::collections::HashSet};

/// Unreachable endpoints from which on a hall counts as unreachable.
const MIN_UNREACHABLE_ENDPOINTS: usize = 2;
/// Time after which an endpoint of an unreachable hall is tried again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Connection failures in one hall.
#[derive(Debug, Default)]
pub(super) struct HallReachability {
  /// Endpoints that could not be reached since one last answered.
  pub(super) unreachable: HashSet<Name>,
  /// When one could last not be reached.
  pub(super) last_failure_ms: u64,
}

impl HallReachability {
  pub(super) fn record(&mut self, endpoint: &Name, outcome: AttemptOutcome, now_ms: u64) {
    match outcome {
      AttemptOutcome::Answered { .. } | AttemptOutcome::Failed | AttemptOutcome::Full => {
        self.unreachable.clear()
      }
      AttemptOutcome::Unreachable => {
        self.unreachable.insert(endpoint.clone());
        self.last_failure_ms = now_ms;
      }
      AttemptOutcome::Lost | AttemptOutcome::Cancelled => {}
    }
  }

  pub(super) fn is_unreachable(&self, now_ms: u64) -> bool {
    self.unreachable.len() >= MIN_UNREACHABLE_ENDPOINTS
      && now_ms < self.last_failure_ms + RETRY_AFTER_MS
  }
}
