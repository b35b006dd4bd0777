//! The configuration document.

use {
  super::super::{
    routes::RoutePlace,
    site::{EngineModel, RequestClass, RequestKind, Service, Site},
  },
  serde::Serialize,
  std::sync::Arc,
};

const HEADER_BYTES: u64 = 16_384;
const HEADER_TIMEOUT_MS: u64 = 3_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// Calls for cache events that an engine holds at the same time.
const EVENT_CALLS: u32 = 12;
/// Name of the model that every engine runs.
const MODEL: &str = "m";

/// The newest configuration.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Document {
  pub(super) version: u64,
  pub(super) routes: Vec<RouteEntry>,
  pub(super) services: Vec<ServiceEntry>,
  limits: LimitsEntry,
}

/// A route.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RouteEntry {
  pub(super) name: Arc<str>,
  host: Arc<str>,
  path_prefix: Arc<str>,
  kind: &'static str,
  pub(super) timeout_ms: f64,
  target_latency_ms: f64,
  priority: u8,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) service: Option<Arc<str>>,
  #[serde(skip_serializing_if = "Vec::is_empty")]
  pub(super) split: Vec<SplitEntry>,
  max_attempts: u32,
  #[serde(skip_serializing_if = "Option::is_none")]
  sticky_sessions: Option<bool>,
  #[serde(skip_serializing_if = "Option::is_none")]
  resumable: Option<bool>,
  #[serde(skip_serializing_if = "Option::is_none")]
  gap_target_ms: Option<f64>,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SplitEntry {
  pub(super) service: Arc<str>,
  pub(super) weight: u32,
}

/// A service.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ServiceEntry {
  pub(super) name: Arc<str>,
  health_path: &'static str,
  max_connections: usize,
  protocol: &'static str,
  tls: bool,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) engine: Option<EngineEntry>,
}

/// The engines of a service.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct EngineEntry {
  slots: usize,
  kv_tokens: u64,
  kv_token_bytes: f64,
  link_mbps: f64,
  moves: bool,
  backups: bool,
  stride: u64,
  most: u32,
  handle_ttl_s: f64,
  switch_s: f64,
  pin_ms: f64,
  hold_ms: f64,
  models: [ModelEntry; 1],
}

#[derive(Clone, Debug, Serialize)]
struct ModelEntry {
  name: &'static str,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct LimitsEntry {
  max_header_bytes: u64,
  max_body_bytes: u64,
  header_timeout_ms: u64,
  idle_timeout_ms: u64,
}

impl Document {
  /// The services of a site, without routes.
  pub(super) fn new(site: &Site, version: u64) -> Self {
    Self {
      limits: LimitsEntry {
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        max_body_bytes: site.config.body_bytes,
        max_header_bytes: HEADER_BYTES,
      },
      routes: Vec::new(),
      services: site.services.iter().map(ServiceEntry::new).collect(),
      version,
    }
  }

  /// Whether a service has engines.
  pub(super) fn has_engines(&self, service: &str) -> bool {
    let found = self.services.iter().find(|entry| &*entry.name == service);
    found.is_some_and(|entry| entry.engine.is_some())
  }
}

impl RouteEntry {
  /// The route of a kind of request.
  pub(super) fn new(name: Arc<str>, place: &RoutePlace, class: &RequestClass) -> Self {
    let stream = class.stream.as_ref();
    Self {
      gap_target_ms: stream.map(|stream| stream.gap_aim_ms),
      host: place.host.clone(),
      kind: match class.kind {
        RequestKind::Safe => "safe",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Stream => "stream",
      },
      max_attempts: class.attempts,
      name,
      path_prefix: place.path_prefix.clone(),
      priority: class.priority,
      resumable: stream.map(|stream| stream.resume),
      service: Some(class.service.clone()),
      split: Vec::new(),
      sticky_sessions: stream.map(|_| true),
      target_latency_ms: class.aim_ms,
      timeout_ms: class.timeout_ms,
    }
  }

  /// Whether a service gets requests of the route.
  pub(super) fn uses(&self, service: &str) -> bool {
    let single = self.service.iter();
    let mut services = single.chain(self.split.iter().map(|entry| &entry.service));
    services.any(|of| &**of == service)
  }
}

impl ServiceEntry {
  fn new(service: &Service) -> Self {
    Self {
      engine: service
        .llm
        .as_ref()
        .map(|model| EngineEntry::new(model, service.slots)),
      health_path: "/health",
      max_connections: service.conn_cap,
      name: service.name.clone(),
      protocol: "h1",
      tls: false,
    }
  }
}

impl EngineEntry {
  fn new(model: &EngineModel, slots: usize) -> Self {
    Self {
      backups: false,
      handle_ttl_s: model.handle_s,
      hold_ms: model.hold_ms,
      kv_token_bytes: model.kv_bytes,
      kv_tokens: model.kv_tokens,
      link_mbps: model.link_mbps,
      models: [ModelEntry { name: MODEL }],
      most: EVENT_CALLS,
      moves: false,
      pin_ms: model.pin_ms,
      slots,
      stride: model.stride,
      switch_s: model.switch_s,
    }
  }
}
