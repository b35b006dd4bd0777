//! The services and their servers.

use {serde::Deserialize, std::sync::Arc};

/// The servers of a service in a zone.
#[derive(Clone, Debug, Deserialize)]
pub struct Servers {
  /// The zone.
  pub zone: Arc<str>,
  /// Number of servers.
  pub count: usize,
}

/// The model that the servers of a service run.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineModel {
  /// Time of a step of the batch, and in addition for each running request.
  pub step_ms: f64,
  /// The addition for each running request.
  pub step_ms_per_slot: f64,
  /// Tokens that a prefill engine reads in a millisecond.
  pub prefill_tokens_per_ms: f64,
  /// Time until the first token.
  pub first_ms: f64,
  /// Tokens of an event.
  pub stride: u64,
  /// Tokens of a piece of a prompt.
  pub chunk: u64,
  /// Memory for tokens.
  pub kv_tokens: u64,
  /// Bytes of a token's memory.
  pub kv_bytes: f64,
  /// Bandwidth of moves of memory.
  pub link_mbps: f64,
  /// Time until a move of memory begins.
  #[serde(default)]
  pub setup_ms: f64,
  /// Age of a report.
  pub report_lag_ms: f64,
  /// Share of the servers that read prompts at first.
  pub prefill: f64,
  /// Time that an exported prompt is kept.
  pub handle_s: f64,
  /// Time of a change of the stage.
  pub switch_s: f64,
  /// Longest time that a prompt is pinned.
  pub pin_ms: f64,
  /// Longest reservation.
  pub hold_ms: f64,
}

/// A service.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
  /// Its name.
  pub name: Arc<str>,
  /// Its servers.
  pub servers: Vec<Servers>,
  /// Requests that a server works on at the same time.
  pub slots: usize,
  /// Requests that wait at a server.
  pub queue: usize,
  /// Connections that a server accepts.
  pub conn_cap: usize,
  /// Time that a new connection may hold a slot.
  #[serde(default)]
  pub handshake_ms: f64,
  /// Time of an answer to a health check.
  #[serde(default)]
  pub health_ms: f64,
  /// Whether answers tell the server's load.
  #[serde(default)]
  pub load_header: bool,
  /// Time for which an idle connection is kept.
  #[serde(default)]
  pub linger_ms: Option<f64>,
  /// Relative speeds of the servers, in turn; all are equal without them.
  #[serde(default)]
  pub speeds: Vec<f64>,
  /// The model; `None` for a plain service.
  #[serde(default)]
  pub llm: Option<EngineModel>,
}
