//! Whether a data hall seems to be cut off from this box.

use {super::choice::AttemptOutcome, crate::ids::Name, std::collections::HashSet};

/// So many endpoints of a hall without any answer mean that the hall is cut off.
const CUT_ENDPOINTS: usize = 2;
/// How long a hall that seems cut off is left alone before an endpoint there is tried again.
const CUT_MS: u64 = 1_000;

/// Whether a hall seems to be cut off.
#[derive(Debug, Default)]
pub(super) struct HallReach {
  /// Endpoints there that did not answer at all, since one last did.
  pub(super) unreachable: HashSet<Name>,
  /// When one last did not.
  pub(super) noted_ms: u64,
}

impl HallReach {
  pub(super) fn record(&mut self, endpoint: &Name, end: AttemptOutcome, now_ms: u64) {
    match end {
      AttemptOutcome::Answered { .. } | AttemptOutcome::Failed | AttemptOutcome::Full => {
        self.unreachable.clear()
      }
      AttemptOutcome::Unreachable => {
        self.unreachable.insert(endpoint.clone());
        self.noted_ms = now_ms;
      }
      AttemptOutcome::Lost | AttemptOutcome::Cancelled => {}
    }
  }

  pub(super) fn is_unreachable(&self, now_ms: u64) -> bool {
    self.unreachable.len() >= CUT_ENDPOINTS && now_ms < self.noted_ms + CUT_MS
  }
}
