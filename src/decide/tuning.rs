//! The knobs of `decide`, from settings and the platform's configuration.

use serde::{Deserialize, Serialize};

/// Who decides on the slots of a nearly full decode engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotMode {
  /// The engine's home box reserves slots one by one.
  #[default]
  #[serde(rename = "home_grants")]
  OwnerGrants,
  /// Each box goes by the load it last heard of.
  LaggingLoad,
  /// Each box owns an equal share of each engine's slots.
  FixedShares,
}

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
  /// Least predicted time to the first token.
  #[default]
  PredictedTime,
  /// One engine after the other.
  RoundRobin,
  /// The less loaded of two drawn at random.
  TwoChoices,
}

/// The knobs of `decide`. Each has a default; configuration names only what it changes.
///
/// ```
/// let tuning = rillford::decide::Tuning::default();
/// assert!(tuning.slot_certainty <= 1.0);
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
  /// Who decides on slots.
  #[serde(rename = "seat_mode")]
  pub slot_mode: SlotMode,
  /// How engines are chosen.
  pub placement: PlacementMode,
  /// Whether a seat and a link window are reserved before prefill begins.
  pub reserve_before_prefill: bool,
  /// From 0 (count on every expected end) to 1 (only slots that are free now): the knob
  /// between goodput and wasted prefill.
  #[serde(rename = "seat_certainty")]
  pub slot_certainty: f64,
  /// Whether requests predicted to be late are told "not run" at once.
  pub early_refusal: bool,
  /// Retries allowed, as a share of requests.
  pub retry_share: f64,
  /// Retries that may be saved up.
  pub retry_burst: f64,
  /// Tries per request.
  pub max_attempts: u32,
  /// Requests that may wait in one lane.
  pub queue_limit: usize,
  /// Requests in progress for one organisation, where its document says nothing.
  pub organisation_limit: usize,
  /// Time that an engine keeps an attempt without an extension.
  pub hold_ms: u64,
  /// Time between heartbeats to peers.
  pub heartbeat_ms: u64,
  /// Time between polls of an endpoint by its home.
  pub poll_ms: u64,
  /// Silence after which an endpoint gets no new work.
  pub endpoint_silence_ms: u64,
  /// Silence after which a peer is taken for dead.
  pub peer_silence_ms: u64,
  /// Time after which a seat ask counts as lost.
  #[serde(rename = "ask_timeout_ms")]
  pub slot_request_timeout_ms: u64,
  /// Time for which a prefill result can be counted on; less than engines keep it.
  pub export_keep_ms: u64,
  /// Time between tokens that is expected of decode engines.
  pub token_ms: u64,
  /// Difference between wanted and present share of roles that is left alone.
  pub role_dead_band: f64,
  /// Least time an engine keeps its role.
  #[serde(rename = "role_least_stay_ms")]
  pub role_min_dwell_ms: u64,
  /// Time that a full engine is not asked for a seat, unless its home says sooner that one is free.
  #[serde(rename = "full_pause_ms")]
  pub full_backoff_ms: u64,
  /// Jump of the own clock after which the box suspects itself.
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
