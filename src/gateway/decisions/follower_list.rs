//! Which boxes report to a box that counts. Free of I/O.

use {crate::ids::Name, std::collections::HashMap};

/// A box that has not reported for this long may be alone: several reports were due, an idle box's too.
const UNHEARD_MS: u64 = 1_200;

/// When each follower reported last.
#[derive(Clone, Debug, Default)]
pub(super) struct FollowerList {
  heard_ms: HashMap<Name, u64>,
}

impl FollowerList {
  /// A box has reported.
  pub(super) fn note(&mut self, name: &Name, now_ms: u64) {
    self.heard_ms.insert(name.clone(), now_ms);
  }

  /// How many boxes report; the others are forgotten.
  pub(super) fn count(&mut self, now_ms: u64) -> usize {
    self
      .heard_ms
      .retain(|_, heard_ms| now_ms <= *heard_ms + UNHEARD_MS);
    self.heard_ms.len()
  }
}
