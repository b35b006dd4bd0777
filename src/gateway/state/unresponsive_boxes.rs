//! Boxes that recently failed to answer. Calls to them are skipped, since each would delay a request by a timeout.

use std::{collections::HashMap, net::SocketAddr};

/// How long calls to a box are skipped after it failed to answer.
const BACKOFF_MS: u64 = 1_000;

/// The boxes that failed to answer, each with the end of its backoff.
#[derive(Debug, Default)]
pub(crate) struct UnresponsiveBoxes {
  until_ms: HashMap<SocketAddr, u64>,
}

impl UnresponsiveBoxes {
  /// Starts the backoff of a box that did not answer.
  pub(crate) fn record_failure(&mut self, address: SocketAddr, now_ms: u64) {
    self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    self.until_ms.insert(address, now_ms + BACKOFF_MS);
  }

  /// Whether calls to a box are skipped now.
  pub(crate) fn is_unresponsive(&self, address: SocketAddr, now_ms: u64) -> bool {
    self
      .until_ms
      .get(&address)
      .is_some_and(|until_ms| now_ms < *until_ms)
  }
}
