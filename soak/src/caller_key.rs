//! The keys that callers hold, and whose they are in each version of the configuration.

use serde_json::{Value, json};

/// The organisations of a run. `hot` asks for several times its limit.
pub(crate) const CAPTIONS: &str = "captions";
const LECTURES: &str = "lectures";
pub(crate) const HOT: &str = "hot";
/// Units that each request counts: what it names, of prompt and longest answer.
pub(crate) const REQUEST_UNITS: u64 = 150;
/// The limit of the hot organisation in versions with even numbers; it is cut to this part in the others.
pub(crate) const HOT_UNITS_PER_S: f64 = 2_000.0;
const REDUCED_SHARE: f64 = 0.75;
/// What its use may go beyond a limit in a window, in part and in units.
pub(crate) const OVERAGE: f64 = 0.1;
pub(crate) const SLACK_UNITS: f64 = 4_000.0;
/// Versions in which a version's own key is held, its own included.
const KEY_LIFETIME_VERSIONS: u64 = 2;

/// A caller's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerKey {
  /// Always of one organisation.
  Captions,
  /// Always of another one.
  Lectures,
  /// Of the organisation that asks for too much.
  Hot,
  /// Passed from one organisation to the other with each version.
  Transferred,
  /// Added with a version and taken away with a later one.
  ForVersion(u64),
}

impl CallerKey {
  /// The keys that are never taken away.
  const PERMANENT: [Self; 4] = [Self::Captions, Self::Lectures, Self::Hot, Self::Transferred];

  /// The key itself.
  pub(crate) fn text(self) -> String {
    match self {
      Self::Captions => "key-of-captions".into(),
      Self::Lectures => "key-of-lectures".into(),
      Self::Hot => "key-of-hot".into(),
      Self::Transferred => "key-passed".into(),
      Self::ForVersion(version) => format!("key-of-version-{version}"),
    }
  }

  /// The organisation that holds it in a version.
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

  /// The version that takes it away.
  pub(crate) fn revoked_in(self) -> Option<u64> {
    match self {
      Self::ForVersion(own) => Some(own + KEY_LIFETIME_VERSIONS),
      _ => None,
    }
  }
}

/// The organisations of a version, as the operator writes them.
pub(crate) fn organisations(version: u64) -> Value {
  let oldest = version.saturating_sub(KEY_LIFETIME_VERSIONS - 1).max(1);
  let of_versions = (oldest..=version).map(CallerKey::ForVersion);
  let keys: Vec<CallerKey> = CallerKey::PERMANENT
    .into_iter()
    .chain(of_versions)
    .collect();
  let organisation = |name: &str| {
    let held: Vec<String> = keys
      .iter()
      .filter(|key| key.holder(version) == Some(name))
      .map(|key| key.text())
      .collect();
    json!({"name": name, "apiKeys": held, "unit": "token_stream", "plainTokens": REQUEST_UNITS})
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
