//! The limit that an endpoint advertised, as boxes send it to each other.

use {
  crate::gateway::decisions::{AdvertisedLimit, LimitSource},
  serde::{Deserialize, Serialize},
};

/// An advertised limit, independent of a box's clock.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct RelayedLimit {
  /// Requests per second; `None` when the endpoint no longer advertises a limit.
  pub(super) per_s: Option<f64>,
  /// Time since a box received it from the endpoint.
  pub(super) age_ms: u64,
}

impl RelayedLimit {
  pub(super) fn new(limit: AdvertisedLimit, now_ms: u64) -> Self {
    Self {
      age_ms: now_ms.saturating_sub(limit.received_ms),
      per_s: limit.per_s,
    }
  }

  /// The limit on the clock of the receiving box. A rate that is negative or not finite counts as no limit.
  pub(super) fn on_local_clock(self, now_ms: u64) -> AdvertisedLimit {
    AdvertisedLimit {
      received_ms: now_ms.saturating_sub(self.age_ms),
      per_s: self
        .per_s
        .filter(|per_s| per_s.is_finite() && *per_s >= 0.0),
      source: LimitSource::Box,
    }
  }
}
