//! The boxes that report to a coordinator. Free of I/O.

use {crate::ids::Name, std::collections::HashMap};

/// A box that has not reported for this long may be isolated: several reports were due, even from an idle box.
const REPORT_TIMEOUT_MS: u64 = 1_200;

/// When each box reported last.
#[derive(Clone, Debug, Default)]
pub(super) struct ReporterList {
  last_contact_ms: HashMap<Name, u64>,
}

impl ReporterList {
  /// Records a report of a box.
  pub(super) fn record(&mut self, name: &Name, now_ms: u64) {
    self.last_contact_ms.insert(name.clone(), now_ms);
  }

  /// The number of boxes that report; evicts the others.
  pub(super) fn count(&mut self, now_ms: u64) -> usize {
    self
      .last_contact_ms
      .retain(|_, last_contact_ms| now_ms <= *last_contact_ms + REPORT_TIMEOUT_MS);
    self.last_contact_ms.len()
  }
}
