//! How far boxes share what they know of requests that end endpoints.

use serde::Deserialize;

/// The ways that can be chosen under `[quarantine]` in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineStrategy {
  /// Nothing is kept: each try is bounded by itself alone.
  Off,
  /// Each box keeps what it has seen itself.
  OwnBox,
  /// Boxes share what they have seen by the store: a request that comes again at other boxes ends few endpoints more, and nearly all
  /// other callers are served.
  #[default]
  Shared,
}
