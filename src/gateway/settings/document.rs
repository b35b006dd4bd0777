//! The settings of a gateway box.

use {
  super::{
    limits::LimitSettings, mechanisms::Mechanisms, quarantine::QuarantineSettings,
    route_policy::RoutePolicy,
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
  /// Who this box is.
  #[serde(rename = "box")]
  pub identity: GatewayIdentity,
  /// The region of each data hall; needed where routes or organisations have homes.
  #[serde(default)]
  pub regions: BTreeMap<Name, Name>,
  /// Where it listens.
  pub listen: GatewayListen,
  /// The platform's store.
  pub store: StoreSettings,
  /// Bounds that the users set.
  pub bounds: GatewayBounds,
  /// How engines are shared out.
  pub engines: EngineSettings,
  /// The operators' policy program; the routes' own words hold without one.
  pub policy: Option<PolicySettings>,
  /// How organisations' limits are kept.
  #[serde(default)]
  pub limits: LimitSettings,
  /// What is done about requests that end endpoints.
  #[serde(default)]
  pub quarantine: QuarantineSettings,
  /// Mechanisms that are switched off.
  #[serde(default)]
  pub mechanisms: Mechanisms,
}

/// Who a box is.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewayIdentity {
  /// Its name.
  pub name: Name,
  /// Its data hall.
  pub hall: Name,
}

/// Where a box listens.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewayListen {
  /// For callers.
  pub callers: SocketAddr,
  /// For the balancer's question whether it is ready.
  pub ready: SocketAddr,
  /// For the other boxes.
  pub boxes: SocketAddr,
  /// For whoever reads its figures.
  pub metrics: Option<SocketAddr>,
}

/// The store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
  /// Where it listens.
  pub address: SocketAddr,
  /// The shortest lease that it grants.
  pub least_lease_ms: u64,
}

/// Bounds that the users set; fractions are theirs.
#[derive(Clone, Debug, Deserialize)]
pub struct GatewayBounds {
  /// Seconds from the signal to stop until the process is killed.
  pub stop_s: f64,
  /// Repeats for each request in a window, over all boxes.
  pub retry_ratio: f64,
  /// Length of the sliding window in which repeats are counted, in seconds.
  pub retry_window_s: f64,
  /// Repeats in a window beyond the ratio, over all boxes.
  pub retry_slack: f64,
  /// Orders of two boxes to one engine are at least this far apart.
  pub order_gap_ms: u64,
  /// Time without trouble after which a box counts as connected to the store.
  pub contact_ms: u64,
  /// Time within which a configuration is to be in force on every box that is connected.
  pub configuration_ms: u64,
}

/// Where the policy program is.
#[derive(Clone, Debug, Deserialize)]
pub struct PolicySettings {
  /// The program, from the directory that the process was started in.
  pub file: PathBuf,
  /// Minutes that local time is ahead of UTC.
  #[serde(default)]
  pub utc_offset_minutes: i64,
}

/// How engines are shared out between reading prompts and writing answers.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineSettings {
  /// Part of a service's engines that reads prompts, from 0 to 1.
  pub prefill_share: f64,
  /// Whose priority engines are told.
  #[serde(default, rename = "marks")]
  pub engine_priority: EnginePriority,
}

/// Whose priority engines are told: they preempt what is less urgent, and what is preempted is read anew.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum EnginePriority {
  /// The route's. Organisations' priorities order each box's queue alone: where their streams share engines whose memory is
  /// short, marks by organisation double the preemptions.
  #[default]
  Route,
  /// The organisation's, where it has one.
  Organisation,
}

impl GatewaySettings {
  /// Reads a settings file. Fails when it can't be read, is no such file, or has a value out of bounds.
  pub fn load(path: &Path) -> Result<Self> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
      path: path.into(),
      source,
    })?;
    Self::parse(path, &text)
  }

  /// Reads settings from text; `path` stands in errors.
  pub fn parse(path: &Path, text: &str) -> Result<Self> {
    let settings: Self = toml::from_str(text).map_err(|error| {
      let start = error.span().map_or(0, |span| span.start);
      let before = text.get(..start).unwrap_or_default();
      refusal(
        path,
        before.matches('\n').count() + 1,
        "settings",
        error.message(),
      )
    })?;
    settings.check(path)?;
    Ok(settings)
  }

  /// Refuses the first value that is out of bounds.
  fn check(&self, path: &Path) -> Result {
    let bounds = &self.bounds;
    let positive = [
      ("bounds.stop_s", bounds.stop_s),
      ("bounds.retry_window_s", bounds.retry_window_s),
    ];
    for (key, value) in positive {
      if !value.is_finite() || value <= 0.0 {
        return Err(refusal(path, 1, key, "must be a number above 0"));
      }
    }
    let shares = [
      ("bounds.retry_ratio", bounds.retry_ratio),
      ("bounds.retry_slack", bounds.retry_slack),
    ];
    for (key, value) in shares {
      if !value.is_finite() || value < 0.0 {
        return Err(refusal(path, 1, key, "must be a number of 0 or more"));
      }
    }
    if let Some((key, message)) = self.limits.mistake() {
      return Err(refusal(path, 1, key, message));
    }
    let share = self.engines.prefill_share;
    if !(share > 0.0 && share < 1.0) {
      return Err(refusal(
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

  /// What is allowed in repeats.
  pub fn retry_allowance(&self) -> RetryAllowance {
    RetryAllowance {
      ratio: self.bounds.retry_ratio,
      slack: self.bounds.retry_slack,
      window_ms: (self.bounds.retry_window_s * 1_000.0) as u64,
    }
  }
}

fn refusal(path: &Path, line: usize, key: &str, message: &str) -> Error {
  Error::Settings(vec![SettingsError {
    file: path.into(),
    key: key.into(),
    line,
    message: message.into(),
  }])
}
