//! The API keys of callers, and the organisation that holds each in a version of the configuration.

use serde_json::{Value, json};

/// The organisations of a run. `hot` sends several times its limit.
pub(crate) const CAPTIONS: &str = "captions";
const LECTURES: &str = "lectures";
pub(crate) const HOT: &str = "hot";
/// Tokens of the prompt and of the longest answer that a request declares; no stream has more events.
pub(crate) const PROMPT_TOKENS: u64 = 100;
pub(crate) const MAX_TOKENS: u64 = 140;
/// Usage units per request.
pub(crate) const REQUEST_UNITS: u64 = PROMPT_TOKENS + MAX_TOKENS;
/// Limit of the hot organisation in even versions; odd versions reduce it by `REDUCED_SHARE`.
pub(crate) const HOT_UNITS_PER_S: f64 = 3_200.0;
const REDUCED_SHARE: f64 = 0.75;
/// Allowed excess over the limit in a window, as a share and in units.
pub(crate) const OVERAGE: f64 = 0.1;
pub(crate) const SLACK_UNITS: f64 = 6_400.0;
/// Number of versions in which the key of a version is valid, including that version.
const KEY_LIFETIME_VERSIONS: u64 = 2;

/// An API key of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerKey {
  /// Always held by the organisation `captions`.
  Captions,
  /// Always held by the organisation `lectures`.
  Lectures,
  /// Held by the organisation that sends more than its limit.
  Hot,
  /// Moves between two organisations with each version.
  Transferred,
  /// Added in a version and revoked in a later one.
  ForVersion(u64),
}

impl CallerKey {
  /// Keys that are never revoked.
  const PERMANENT: [Self; 4] = [Self::Captions, Self::Lectures, Self::Hot, Self::Transferred];

  /// The key's text.
  pub(crate) fn text(self) -> String {
    match self {
      Self::Captions => "key-of-captions".into(),
      Self::Lectures => "key-of-lectures".into(),
      Self::Hot => "key-of-hot".into(),
      Self::Transferred => "key-passed".into(),
      Self::ForVersion(version) => format!("key-of-version-{version}"),
    }
  }

  /// The organisation that holds the key in a version.
  pub(crate) fn holder(self, version: u64) -> Option<&'static str> {
    match self {
      Self::Captions => Some(CAPTIONS),
      Self::Lectures => Some(LECTURES),
      Self::Hot => Some(HOT),
      Self::Transferred if version.is_multiple_of(2) => Some(CAPTIONS),
      Self::Transferred => Some(LECTURES),
      Self::ForVersion(own) if version < own || version >= own + KEY_LIFETIME_VERSIONS => None,
      Self::ForVersion(_) => Some(CAPTIONS),
    }
  }

  /// The version that revokes the key.
  pub(crate) fn revoked_in(self) -> Option<u64> {
    match self {
      Self::ForVersion(own) => Some(own + KEY_LIFETIME_VERSIONS),
      _ => None,
    }
  }
}

/// The organisations of a version, in the operator's format.
pub(crate) fn organisations(version: u64) -> Value {
  let oldest = version.saturating_sub(KEY_LIFETIME_VERSIONS - 1).max(1);
  let of_versions = (oldest..=version).map(CallerKey::ForVersion);
  let keys: Vec<CallerKey> = CallerKey::PERMANENT
    .into_iter()
    .chain(of_versions)
    .collect();
  let organisation = |name: &str| {
    let valid_keys: Vec<String> = keys
      .iter()
      .filter(|key| key.holder(version) == Some(name))
      .map(|key| key.text())
      .collect();
    json!({"name": name, "apiKeys": valid_keys, "unit": "token_stream", "plainTokens": REQUEST_UNITS})
  };
  let mut hot = organisation(HOT);
  let share = if version.is_multiple_of(2) {
    1.0
  } else {
    REDUCED_SHARE
  };
  hot["ratePerS"] = json!(HOT_UNITS_PER_S * share);
  hot["burst"] = json!(HOT_UNITS_PER_S * share);
  json!([organisation(CAPTIONS), organisation(LECTURES), hot])
}
