//! An endpoint's word on its limit on its way between boxes.

use {
  crate::gateway::decisions::{AdvertisedLimit, LimitSource},
  serde::{Deserialize, Serialize},
};

/// An endpoint's word as a box heard it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct ToldLimit {
  /// Requests a second; nothing when it names no limit any more.
  pub(super) per_s: Option<f64>,
  /// How long ago it was heard.
  pub(super) age_ms: u64,
}

impl ToldLimit {
  /// A word that was heard here.
  pub(super) fn new(heard: AdvertisedLimit, now_ms: u64) -> Self {
    Self {
      age_ms: now_ms.saturating_sub(heard.received_ms),
      per_s: heard.per_s,
    }
  }

  /// It as heard by the box that is told. A figure that no endpoint can name is none.
  pub(super) fn heard(self, now_ms: u64) -> AdvertisedLimit {
    AdvertisedLimit {
      received_ms: now_ms.saturating_sub(self.age_ms),
      per_s: self
        .per_s
        .filter(|per_s| per_s.is_finite() && *per_s >= 0.0),
      source: LimitSource::Box,
    }
  }
}
