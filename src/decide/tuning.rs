//! Tuning parameters of `decide`, from the platform's configuration document.

use serde::{Deserialize, Serialize};

/// How the slots of a decode engine are allocated to boxes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotMode {
  /// The box that owns the engine grants slots one by one.
  #[default]
  #[serde(rename = "home_grants")]
  OwnerGrants,
  /// Each box uses the last reported load.
  LaggingLoad,
  /// Each box has an equal share of each engine's slots.
  FixedShares,
}

/// The algorithm that chooses engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
  /// The shortest predicted time to the first token.
  #[default]
  PredictedTime,
  /// Round robin.
  RoundRobin,
  /// The less loaded of two engines chosen at random.
  TwoChoices,
}

/// Tuning parameters of `decide`. A document names only those that differ from the defaults.
///
/// ```
/// let tuning = rillford::decide::Tuning::default();
/// assert!(tuning.slot_certainty <= 1.0);
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
  #[serde(rename = "seat_mode")]
  pub slot_mode: SlotMode,
  /// The algorithm that chooses engines.
  pub placement: PlacementMode,
  /// Whether a slot and a link window are reserved before prefill begins.
  pub reserve_before_prefill: bool,
  /// From 0 (count on every slot that is expected to become free) to 1 (only slots that are free now): trades goodput for
  /// less wasted prefill.
  #[serde(rename = "seat_certainty")]
  pub slot_certainty: f64,
  /// Whether requests that are predicted to miss their deadline are rejected on arrival.
  pub early_refusal: bool,
  /// Maximum share of retries among requests.
  pub retry_share: f64,
  /// Burst of the retry budget.
  pub retry_burst: f64,
  /// Maximum attempts per request.
  pub max_attempts: u32,
  /// Maximum requests in the queue of one model or service.
  pub queue_limit: usize,
  /// Maximum requests in progress of an organisation, unless its document has a limit.
  pub organisation_limit: usize,
  /// Time to live of a hold, after which the engine may free the attempt.
  pub hold_ms: u64,
  pub heartbeat_ms: u64,
  /// Interval at which a box polls the endpoints that it owns.
  pub poll_ms: u64,
  /// Time without a report after which an endpoint gets no new work.
  pub endpoint_silence_ms: u64,
  /// Time without a heartbeat after which a peer counts as lost.
  pub peer_silence_ms: u64,
  /// Timeout of a slot request to another box.
  #[serde(rename = "ask_timeout_ms")]
  pub slot_request_timeout_ms: u64,
  /// Time for which a prefill result is expected to be available; less than engines keep it.
  pub export_keep_ms: u64,
  /// Expected time between tokens of a decode engine.
  pub token_ms: u64,
  /// Difference between the wanted and the current share of a role up to which no engine switches.
  pub role_dead_band: f64,
  /// Minimum time for which an engine keeps its role.
  #[serde(rename = "role_least_stay_ms")]
  pub role_min_dwell_ms: u64,
  /// Backoff from a full engine, unless its owner announces a free slot sooner.
  #[serde(rename = "full_pause_ms")]
  pub full_backoff_ms: u64,
  /// Gap between two events after which a box assumes that it was paused.
  pub clock_jump_ms: u64,
}

impl Default for Tuning {
  fn default() -> Self {
    Self {
      slot_request_timeout_ms: 100,
      clock_jump_ms: 1_500,
      early_refusal: true,
      endpoint_silence_ms: 2_500,
      export_keep_ms: 650,
      full_backoff_ms: 400,
      heartbeat_ms: 250,
      hold_ms: 6_000,
      max_attempts: 3,
      organisation_limit: 512,
      peer_silence_ms: 1_000,
      placement: PlacementMode::PredictedTime,
      poll_ms: 250,
      queue_limit: 512,
      reserve_before_prefill: true,
      retry_burst: 10.0,
      retry_share: 0.1,
      role_dead_band: 0.15,
      role_min_dwell_ms: 120_000,
      slot_certainty: 0.5,
      slot_mode: SlotMode::OwnerGrants,
      token_ms: 30,
    }
  }
}
