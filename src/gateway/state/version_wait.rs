//! Waits for records of versions in the store.

use {
  super::gateway::Gateway,
  crate::gateway::decisions::ServiceVersion,
  std::{collections::BTreeSet, time::Duration},
  tokio::time::timeout,
};

/// How long a stream waits for a record: the store answers within it, also when it is slow.
const MAX_WAIT_MS: u64 = 1_000;
/// Interval at which records are looked at again: the listed engines may change as well.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Gateway {
  /// Has records of versions written, and waits until `missing` names none that the store lacks. Returns whether it has them in time.
  pub(crate) async fn await_version_records(
    &self,
    missing: impl Fn() -> BTreeSet<ServiceVersion>,
  ) -> bool {
    let until_ms = self.now_ms() + MAX_WAIT_MS;
    loop {
      let recorded = self.version_recorded.notified();
      let versions = missing();
      if versions.is_empty() {
        return true;
      }
      if self.now_ms() >= until_ms || !self.is_current() {
        return false;
      }
      self.want_version_records(versions);
      // They are looked at again either way.
      let _ = timeout(CHECK_INTERVAL, recorded).await;
    }
  }

  fn want_version_records(&self, versions: BTreeSet<ServiceVersion>) {
    let mut endpoints = self.endpoints.borrow_mut();
    for version in versions {
      endpoints.version_records_mut().want(version);
    }
    self.version_awaited.notify_one();
  }
}
