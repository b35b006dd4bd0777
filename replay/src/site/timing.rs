//! Times of the system and of its clients.

use serde::Deserialize;

/// Times of the system and of its clients.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Timing {
  /// Time until a process has caught up.
  #[serde(default)]
  pub catch_up_s: Option<f64>,
  /// Time after which clients come again.
  #[serde(default)]
  pub again_s: Option<f64>,
  /// Time that a request takes on its way.
  #[serde(default)]
  pub pass_ms: Option<f64>,
  /// Share of the clients that wait for longer.
  #[serde(default)]
  pub patient: f64,
}
