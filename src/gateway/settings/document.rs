//! The settings of a gateway box.

use {
  super::{
    limits::LimitSettings, mechanisms::Mechanisms, memory::MemorySettings,
    prefill_queue::PrefillQueueSettings, quarantine::QuarantineSettings, route_policy::RoutePolicy,
  },
  crate::{Error, Result, gateway::decisions::RetryAllowance, ids::Name, settings::SettingsError},
  serde::Deserialize,
  std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
  },
};

/// The settings file of `rillford gateway`.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewaySettings {
  /// This box's identity.
  #[serde(rename = "box")]
  pub identity: GatewayIdentity,
  /// The region of each data hall; required when routes or organisations have allowed regions.
  #[serde(default)]
  pub regions: BTreeMap<Name, Name>,
  /// Listening addresses.
  pub listen: GatewayListen,
  /// The platform's store.
  pub store: StoreSettings,
  /// The deployment's bounds.
  pub bounds: GatewayBounds,
  /// How engines are divided between prefill and decode.
  pub engines: EngineSettings,
  /// How endpoints maintain their entries.
  #[serde(default)]
  pub endpoints: EndpointSettings,
  /// The operators' policy program; without one, the routes' configuration applies.
  pub policy: Option<PolicySettings>,
  /// Enforcement of organisations' limits.
  #[serde(default)]
  pub limits: LimitSettings,
  /// Quarantine of requests that crash endpoints.
  #[serde(default)]
  pub quarantine: QuarantineSettings,
  /// Queue reservations at prefill engines.
  #[serde(default)]
  pub prefill_queue: PrefillQueueSettings,
  /// The box's memory.
  #[serde(default)]
  pub memory: MemorySettings,
  /// Switches of mechanisms.
  #[serde(default)]
  pub mechanisms: Mechanisms,
}

/// A box's identity.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewayIdentity {
  /// The box's name.
  pub name: Name,
  /// The box's data hall.
  pub hall: Name,
}

/// A box's listening addresses.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewayListen {
  /// For callers.
  pub callers: SocketAddr,
  /// For the load balancer's readiness checks.
  pub ready: SocketAddr,
  /// For the other boxes.
  pub boxes: SocketAddr,
  /// For metrics; no metrics are served without it.
  pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
  /// The store's address.
  pub address: SocketAddr,
  /// The shortest lease that it grants.
  #[serde(rename = "least_lease_ms")]
  pub min_lease_ms: u64,
}

/// The deployment's bounds.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewayBounds {
  /// Seconds from the stop signal until the process is killed.
  pub stop_s: f64,
  /// Retries per request in a window, over all boxes.
  pub retry_ratio: f64,
  /// Length of the sliding window in which retries are counted, in seconds.
  pub retry_window_s: f64,
  /// Additional retries in a window, over all boxes.
  pub retry_slack: f64,
  /// Minimum time between role commands of two boxes to the same engine.
  pub order_gap_ms: u64,
  /// Time of undisturbed contact after which a box counts as connected to the store.
  pub contact_ms: u64,
  /// Time within which every connected box has to apply a new configuration.
  pub configuration_ms: u64,
}

/// The policy program.
#[derive(Clone, Debug, Deserialize)]
pub struct PolicySettings {
  /// The program's path, relative to the process's working directory.
  pub file: PathBuf,
  /// Minutes that local time is ahead of UTC.
  #[serde(default)]
  pub utc_offset_minutes: i64,
}

/// How endpoints maintain their entries in the store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EndpointSettings {
  /// Interval at which an endpoint renews its entry, which is removed after three that were missed.
  #[serde(default = "EndpointSettings::default_heartbeat_ms")]
  pub heartbeat_ms: u64,
  /// Whether an engine that names its start neither in its entry nor in its reports may start again under its id.
  #[serde(default)]
  pub unnamed_restarts: bool,
}

impl EndpointSettings {
  fn default_heartbeat_ms() -> u64 {
    Self::default().heartbeat_ms
  }
}

impl Default for EndpointSettings {
  fn default() -> Self {
    Self {
      heartbeat_ms: 1_200,
      unnamed_restarts: false,
    }
  }
}

/// How engines are divided between prefill and decode.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineSettings {
  /// Fraction of a service's engines with the prefill role, between 0 and 1.
  pub prefill_share: f64,
  /// Which priority is sent to engines.
  #[serde(default, rename = "marks")]
  pub engine_priority: EnginePriority,
}

/// Which priority is sent to engines, which preempt less urgent requests; a preempted request is prefilled again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum EnginePriority {
  /// The route's. Organisations' priorities order only each box's queue, which avoids preemptions between organisations.
  #[default]
  Route,
  /// The organisation's, if it has one.
  Organisation,
}

impl GatewaySettings {
  /// Reads a settings file. Fails when it can't be read, is malformed, or has a value out of range.
  pub fn load(path: &Path) -> Result<Self> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
      path: path.into(),
      source,
    })?;
    Self::parse(path, &text)
  }

  /// Parses settings; `path` is named in errors.
  pub fn parse(path: &Path, text: &str) -> Result<Self> {
    let settings: Self = toml::from_str(text).map_err(|error| {
      let start = error.span().map_or(0, |span| span.start);
      let before = text.get(..start).unwrap_or_default();
      invalid(
        path,
        before.matches('\n').count() + 1,
        "settings",
        error.message(),
      )
    })?;
    settings.validate(path)?;
    Ok(settings)
  }

  /// Fails for the first value that is out of range.
  fn validate(&self, path: &Path) -> Result {
    let bounds = &self.bounds;
    let positive = [
      ("bounds.stop_s", bounds.stop_s),
      ("bounds.retry_window_s", bounds.retry_window_s),
    ];
    for (key, value) in positive {
      if !value.is_finite() || value <= 0.0 {
        return Err(invalid(path, 1, key, "must be a number above 0"));
      }
    }
    let shares = [
      ("bounds.retry_ratio", bounds.retry_ratio),
      ("bounds.retry_slack", bounds.retry_slack),
    ];
    for (key, value) in shares {
      if !value.is_finite() || value < 0.0 {
        return Err(invalid(path, 1, key, "must be a number of 0 or more"));
      }
    }
    if self.endpoints.heartbeat_ms == 0 {
      return Err(invalid(
        path,
        1,
        "endpoints.heartbeat_ms",
        "must be above 0",
      ));
    }
    if let Some((key, message)) = self.limits.validation_error() {
      return Err(invalid(path, 1, key, message));
    }
    if let Some((key, message)) = self.memory.validation_error() {
      return Err(invalid(path, 1, key, message));
    }
    let share = self.engines.prefill_share;
    if !(share > 0.0 && share < 1.0) {
      return Err(invalid(
        path,
        1,
        "engines.prefill_share",
        "must lie between 0 and 1",
      ));
    }
    Ok(())
  }

  /// Reads the policy program, if there is one.
  pub fn load_policy(&self) -> Result<RoutePolicy> {
    match &self.policy {
      Some(policy) => RoutePolicy::load(&policy.file, policy.utc_offset_minutes),
      None => Ok(RoutePolicy::default()),
    }
  }

  /// The retry budget.
  pub fn retry_allowance(&self) -> RetryAllowance {
    RetryAllowance {
      ratio: self.bounds.retry_ratio,
      slack: self.bounds.retry_slack,
      window_ms: (self.bounds.retry_window_s * 1_000.0) as u64,
    }
  }
}

fn invalid(path: &Path, line: usize, key: &str, message: &str) -> Error {
  Error::Settings(vec![SettingsError {
    file: path.into(),
    key: key.into(),
    line,
    message: message.into(),
  }])
}
