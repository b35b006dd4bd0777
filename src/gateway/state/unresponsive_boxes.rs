//! Boxes that did not answer a moment ago: each call to them would cost a request the time in which they don't.

use std::{collections::HashMap, net::SocketAddr};

/// For so long a box that did not answer is not asked.
const UNHEARD_MS: u64 = 1_000;

/// The boxes that did not answer, each until it is asked again.
#[derive(Debug, Default)]
pub(crate) struct UnresponsiveBoxes {
  until_ms: HashMap<SocketAddr, u64>,
}

impl UnresponsiveBoxes {
  /// A box did not answer.
  pub(crate) fn note(&mut self, address: SocketAddr, now_ms: u64) {
    self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    self.until_ms.insert(address, now_ms + UNHEARD_MS);
  }

  /// Whether a box did not answer a moment ago.
  pub(crate) fn is_unresponsive(&self, address: SocketAddr, now_ms: u64) -> bool {
    self
      .until_ms
      .get(&address)
      .is_some_and(|until_ms| now_ms < *until_ms)
  }
}
