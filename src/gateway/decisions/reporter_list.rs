//! Which boxes report to a box that counts. Free of I/O.

use {crate::ids::Name, std::collections::HashMap};

/// A box that has not reported for this long may be alone: several reports were due, an idle box's too.
const REPORT_TIMEOUT_MS: u64 = 1_200;

/// When each follower reported last.
#[derive(Clone, Debug, Default)]
pub(super) struct ReporterList {
  last_contact_ms: HashMap<Name, u64>,
}

impl ReporterList {
  /// A box has reported.
  pub(super) fn record(&mut self, name: &Name, now_ms: u64) {
    self.last_contact_ms.insert(name.clone(), now_ms);
  }

  /// How many boxes report; the others are forgotten.
  pub(super) fn count(&mut self, now_ms: u64) -> usize {
    self
      .last_contact_ms
      .retain(|_, last_contact_ms| now_ms <= *last_contact_ms + REPORT_TIMEOUT_MS);
    self.last_contact_ms.len()
  }
}
