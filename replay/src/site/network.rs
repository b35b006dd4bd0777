//! The network between machines.

use serde::Deserialize;

/// Delays of the network.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Network {
  /// Within a zone.
  #[serde(default)]
  pub in_zone_ms: f64,
  /// Between zones of a region.
  #[serde(default)]
  pub cross_zone_ms: f64,
  /// Between regions.
  #[serde(default)]
  pub cross_region_ms: f64,
  /// Between clients and the machines.
  #[serde(default)]
  pub client_ms: f64,
}
