//! A day of a deployment.

use {
  super::{Impairment, Traffic},
  serde::Deserialize,
  std::sync::Arc,
};

/// What strikes at the end of a day.
#[derive(Clone, Debug, Deserialize)]
pub struct Closing {
  /// The kind: `power_off_all`, `kill_all` or `wipe_after_ack`.
  pub kind: Arc<str>,
  /// Time until the machines are back.
  pub down_s: f64,
  /// The variant.
  #[serde(default)]
  pub how: Arc<str>,
}

/// A day.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
  /// Its name, which decides nothing.
  pub name: Arc<str>,
  /// The seed of its draws.
  #[serde(default)]
  pub seed: u64,
  /// Length of its traffic, if not the site's.
  #[serde(default)]
  pub length_s: Option<f64>,
  /// Planned work.
  #[serde(default)]
  pub plan: Vec<Impairment>,
  /// Faults.
  #[serde(default)]
  pub faults: Vec<Impairment>,
  /// What strikes at its end.
  #[serde(default)]
  pub closing: Option<Closing>,
  /// Its traffic, if not the site's.
  #[serde(default)]
  pub traffic: Option<Vec<Traffic>>,
}
