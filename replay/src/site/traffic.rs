//! The traffic of a zone.

use {
  serde::Deserialize,
  std::{collections::BTreeMap, sync::Arc},
};

/// How the rate of a zone changes over time.
#[derive(Clone, Debug, Deserialize)]
pub struct Shape {
  /// The kind: `wave`, or constant.
  pub kind: Arc<str>,
  /// Largest deviation, as a share of the rate.
  #[serde(default)]
  pub swing: f64,
  /// Period of the wave.
  #[serde(default)]
  pub period_s: f64,
  /// Phase of the wave, as a share of its period.
  #[serde(default)]
  pub phase: f64,
}

/// The traffic of a zone.
#[derive(Clone, Debug, Deserialize)]
pub struct Traffic {
  /// The zone.
  pub zone: Arc<str>,
  /// Relative frequency of each kind of request.
  pub mix: BTreeMap<Arc<str>, f64>,
  /// Requests a second.
  pub per_s: f64,
  /// Number of clients.
  pub clients: usize,
  /// Change of the rate over time.
  #[serde(default)]
  pub shape: Option<Shape>,
}
