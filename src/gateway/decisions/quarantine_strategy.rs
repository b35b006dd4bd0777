//! How far boxes share the marks of requests that crash endpoints.

use serde::Deserialize;

/// The values of `way` under `[quarantine]` in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineStrategy {
  /// No marks: only the attempts of each request are bounded.
  Off,
  /// Each box keeps its own marks.
  OwnBox,
  /// Boxes share marks through the store: a request that is retried at other boxes crashes few more endpoints, and nearly
  /// all other callers are served.
  #[default]
  Shared,
}
