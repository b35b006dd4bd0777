//! The bounds of the rules.

use serde::Deserialize;

/// Bounds of the rules.
#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
  /// Time until a server that leaves gets no more requests.
  pub drain_ms: u64,
  /// Time until a configuration is in force.
  pub config_ms: u64,
  /// Time of undisturbed work after which a machine counts as in touch.
  pub touch_ms: u64,
  /// Time until a change is acknowledged.
  #[serde(default)]
  pub ack_ms: Option<u64>,
  /// Longest time that a request may stay.
  #[serde(default)]
  pub outer_ms: Option<u64>,
  /// Time that a process has to stop.
  pub grace_s: f64,
  /// Time until requests are served again after the last fault.
  pub recover_s: f64,
  /// Retries beside the share of the requests.
  pub budget_slack: f64,
  /// Whether servers check fences.
  #[serde(default)]
  pub fenced: bool,
}
