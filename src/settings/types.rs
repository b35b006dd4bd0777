//! The sections of a settings file.

use {
  crate::{
    decide::{EndpointKind, EndpointSpec, Role},
    ids::Name,
  },
  serde::Deserialize,
  std::{net::SocketAddr, path::PathBuf},
};

/// The settings of a box.
#[derive(Clone, Debug)]
pub struct Settings {
  /// The identity of the box.
  pub identity: BoxSettings,
  /// The addresses on which it listens.
  pub listen: Listen,
  /// Certificate and key for links to peers.
  pub peers: PeerKeys,
  /// The platform's services.
  pub platform: Platform,
  /// Access to the administration API.
  pub administration: Administration,
  /// Limits on callers and connections.
  pub limits: Limits,
  /// Latency targets, for metrics only.
  pub targets: Targets,
  /// The log.
  pub log: LogSettings,
  /// Metrics.
  pub metrics: Metrics,
  /// All endpoints.
  pub endpoints: Vec<EndpointSettings>,
}

/// The identity of the box: `[box]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxSettings {
  /// Its name; also the DNS name in its certificate.
  pub name: Name,
  /// Its hall.
  pub hall: Name,
}

/// The addresses on which the box listens: `[listen]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
  /// For callers.
  pub callers: SocketAddr,
  /// For administration.
  pub administration: SocketAddr,
  /// For peers, over UDP.
  pub peers: SocketAddr,
}

/// Certificate and key for links to peers: `[peers]`. Paths are relative to the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKeys {
  /// The box's certificate, PEM.
  pub certificate: PathBuf,
  /// Its private key, PEM.
  pub key: PathBuf,
  /// The certificate authority of all boxes, PEM.
  pub authority: PathBuf,
}

/// The platform's services: `[platform]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
  /// URL of the key-value service (etcd v3 JSON gateway).
  pub key_value: Name,
  /// URL of the box list.
  pub box_list: Name,
  /// Timeout of one call.
  #[serde(default = "default_call_ms")]
  pub call_ms: u64,
  /// Time to live of the leader lease.
  #[serde(default = "default_lease_ms")]
  pub lease_ms: u64,
}

/// Access to the administration API: `[administration]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Administration {
  /// SHA-256 of each accepted key, in hexadecimal.
  pub keys_sha256: Vec<Name>,
}

/// Limits on callers and connections: `[limits]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
  /// Maximum request body size.
  pub body_bytes: usize,
  /// Time for a caller to send its headers.
  pub header_ms: u64,
  /// Time for a caller to send its body.
  pub body_ms: u64,
  /// Maximum connections from callers.
  pub connections: usize,
  /// Maximum requests in progress.
  pub requests: usize,
  /// Silence of an endpoint in the middle of a response after which the response is retried if a retry is left, or counts
  /// as failed.
  pub stall_ms: u64,
  /// Time that a stopping box still accepts requests, until the load balancer has noticed.
  pub balancer_lag_ms: u64,
}

impl Default for Limits {
  fn default() -> Self {
    Self {
      balancer_lag_ms: 3_000,
      body_bytes: 1024 * 1024,
      body_ms: 10_000,
      connections: 4_096,
      header_ms: 5_000,
      requests: 4_096,
      stall_ms: 3_000,
    }
  }
}

/// Latency targets: `[targets]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Targets {
  /// Time to the first token.
  pub first_token_ms: u64,
  /// Time between tokens.
  pub between_token_ms: u64,
}

impl Default for Targets {
  fn default() -> Self {
    Self {
      between_token_ms: 36,
      first_token_ms: 1_400,
    }
  }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
  /// Plain text.
  #[default]
  Text,
  /// One JSON object per line.
  Json,
}

/// The log: `[log]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
  /// The format of log lines.
  pub format: LogFormat,
  /// The least severe level written: error, warn, info, debug or trace.
  pub level: Option<Name>,
}

/// Metrics: `[metrics]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
  /// The statsd address; no metrics are sent if absent.
  pub statsd: Option<SocketAddr>,
}

/// The value of `kind` of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKindValue {
  /// An inference engine.
  Engine,
  /// An instance of a plain service.
  Service,
}

/// One endpoint: `[[endpoint]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
  /// Its name.
  pub name: Name,
  /// Its hall.
  pub hall: Name,
  /// Its kind.
  pub kind: EndpointKindValue,
  /// Its base URL.
  pub url: Name,
  /// Requests that it can run at once.
  pub seats: u32,
  /// For engines: the role it starts with.
  pub role: Option<Role>,
  /// For engines: the models it serves.
  #[serde(default)]
  pub models: Vec<Name>,
  /// For engines: whether it rejects role commands with an outdated fence.
  #[serde(default)]
  pub checks_fence: bool,
  /// For plain services: the service's name.
  pub service: Option<Name>,
  /// Prefill throughput, in prompt tokens per second.
  #[serde(default = "default_prefill_tokens_per_s")]
  pub prefill_tokens_per_s: u64,
  /// KV cache size of one token.
  #[serde(default = "default_kv_bytes_per_token")]
  pub kv_bytes_per_token: u64,
  /// Bandwidth of its link for KV transfers.
  #[serde(default = "default_link_bytes_per_s")]
  pub link_bytes_per_s: u64,
}

impl EndpointSettings {
  /// The specification for `decide`; the settings must be valid.
  pub fn spec(&self) -> EndpointSpec {
    let kind = match self.kind {
      EndpointKindValue::Engine => EndpointKind::Engine {
        checks_fence: self.checks_fence,
        models: self.models.clone(),
        role: self.role.unwrap_or(Role::Decode),
      },
      EndpointKindValue::Service => EndpointKind::Service {
        service: self.service.clone().unwrap_or_else(|| "".into()),
      },
    };
    EndpointSpec {
      hall: self.hall.clone(),
      kind,
      kv_bytes_per_token: self.kv_bytes_per_token,
      link_bytes_per_s: self.link_bytes_per_s,
      name: self.name.clone(),
      prefill_tokens_per_s: self.prefill_tokens_per_s,
      slots: self.seats,
    }
  }
}

fn default_call_ms() -> u64 {
  1_000
}

fn default_lease_ms() -> u64 {
  10_000
}

fn default_prefill_tokens_per_s() -> u64 {
  10_000
}

fn default_kv_bytes_per_token() -> u64 {
  131_072
}

fn default_link_bytes_per_s() -> u64 {
  12_500_000_000
}
