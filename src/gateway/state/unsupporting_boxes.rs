//! Boxes that answered that they don't know a message. They get the message of older builds meanwhile.

use std::{collections::HashMap, net::SocketAddr};

/// How long a box is not sent the message again: a release takes minutes, and a restarted box is noticed within seconds.
const RETRY_MS: u64 = 5_000;

/// The boxes that don't know a message, each with the time until which it is not sent again.
#[derive(Debug, Default)]
pub(crate) struct UnsupportingBoxes {
  until_ms: HashMap<SocketAddr, u64>,
}

impl UnsupportingBoxes {
  /// Records that a box does not know the message.
  pub(crate) fn record(&mut self, address: SocketAddr, now_ms: u64) {
    self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    self.until_ms.insert(address, now_ms + RETRY_MS);
  }

  /// Whether a box is sent the message.
  pub(crate) fn is_supported(&self, address: SocketAddr, now_ms: u64) -> bool {
    let until_ms = self.until_ms.get(&address);
    until_ms.is_none_or(|until_ms| now_ms >= *until_ms)
  }
}
