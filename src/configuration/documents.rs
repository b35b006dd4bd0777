//! The documents and their checks; nothing is applied that was not checked whole.

use {
  super::ConfigurationError,
  crate::{
    decide::Tuning,
    ids::Name,
    policy::{Clock, Program, RequestAttributes},
  },
  serde::{Deserialize, Serialize},
  std::sync::Arc,
};

const HASH_HEX_DIGITS: usize = 64;
const MOST_NAME_BYTES: usize = 64;
const MOST_OFFSET_MINUTES: i64 = 14 * 60;
const ORGANISATIONS: &str = "organisations/";
const PLATFORM: &str = "platform";

/// Which document a key names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentKey {
  /// The one for the whole platform.
  Platform,
  /// One organisation's.
  Organisation(Name),
}

impl DocumentKey {
  /// Reads a key such as `platform` or `organisations/oslo`.
  ///
  /// ```
  /// use rillford::configuration::DocumentKey;
  /// assert_eq!(DocumentKey::parse("platform"), Some(DocumentKey::Platform));
  /// assert_eq!(DocumentKey::parse("organisations/a/b"), None);
  /// ```
  pub fn parse(key: &str) -> Option<Self> {
    if key == PLATFORM {
      return Some(Self::Platform);
    }
    let name = key.strip_prefix(ORGANISATIONS)?;
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let usable = !name.is_empty() && name.len() <= MOST_NAME_BYTES && name.chars().all(plain);
    usable.then(|| Self::Organisation(name.into()))
  }
}

/// The document for the whole platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformDocument {
  /// The policy program's text.
  pub policy: Option<Name>,
  /// The knobs.
  pub tuning: Tuning,
  /// Local time less UTC, for policy.
  pub utc_offset_minutes: i64,
}

/// One organisation's document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationDocument {
  /// SHA-256 of each of its keys, in hexadecimal.
  pub keys_sha256: Vec<Name>,
  /// Requests in progress on one box.
  pub in_progress: Option<usize>,
  /// Whether its requests are refused.
  pub closed: bool,
}

/// A document that has passed its checks.
#[derive(Clone, Debug)]
pub enum ParsedDocument {
  /// The platform's.
  Platform(PlatformDocument, Option<Arc<Program>>),
  /// An organisation's.
  Organisation(Name, OrganisationDocument),
}

/// Reads and checks a document in full.
///
/// ```
/// use rillford::configuration::parse_document;
/// let error = parse_document(&"platform".into(), "{\"policy\": \"fn rank(\"}").unwrap_err();
/// assert!(error.to_string().starts_with("platform: policy: line 1"));
/// ```
pub fn parse_document(key: &Name, text: &str) -> Result<ParsedDocument, ConfigurationError> {
  match DocumentKey::parse(key) {
    None => Err(ConfigurationError::Key(key.clone())),
    Some(DocumentKey::Platform) => {
      let document = read::<PlatformDocument>(key, text)?;
      check_platform(key, &document)?;
      let policy = document
        .policy
        .as_deref()
        .map(|policy| compile(key, policy))
        .transpose()?;
      Ok(ParsedDocument::Platform(document, policy))
    }
    Some(DocumentKey::Organisation(name)) => {
      let document = read::<OrganisationDocument>(key, text)?;
      check_organisation(key, &document)?;
      Ok(ParsedDocument::Organisation(name, document))
    }
  }
}

fn read<'a, T: Deserialize<'a>>(key: &Name, text: &'a str) -> Result<T, ConfigurationError> {
  serde_json::from_str(text).map_err(|error| ConfigurationError::Form {
    column: error.column(),
    key: key.clone(),
    line: error.line(),
    message: error.to_string(),
  })
}

/// Compiles a policy and tries it once, so that a program that always fails is refused.
fn compile(key: &Name, policy: &str) -> Result<Arc<Program>, ConfigurationError> {
  let refuse = |source| ConfigurationError::Policy {
    key: key.clone(),
    source,
  };
  let program = Program::compile(policy).map_err(refuse)?;
  let facts = RequestAttributes {
    kind: "model".into(),
    max_tokens: 1,
    organisation: "check".into(),
    prompt_tokens: 1,
    subject: "check".into(),
    task: "check".into(),
  };
  let noon = Clock {
    day: 0,
    minute_of_day: 720,
  };
  program.rank(&facts, noon).map_err(refuse)?;
  program.shift(noon, &[]).map_err(refuse)?;
  Ok(program)
}

fn check_platform(key: &Name, document: &PlatformDocument) -> Result<(), ConfigurationError> {
  let refuse = |field, message: &str| {
    Err(ConfigurationError::Value {
      field,
      key: key.clone(),
      message: message.into(),
    })
  };
  let tuning = &document.tuning;
  if !(0.0..=1.0).contains(&tuning.slot_certainty) {
    return refuse("tuning.seat_certainty", "must lie between 0 and 1");
  }
  if !(0.0..=1.0).contains(&tuning.retry_share) {
    return refuse("tuning.retry_share", "must lie between 0 and 1");
  }
  if tuning.hold_ms < 1_000 {
    return refuse("tuning.hold_ms", "must be at least 1000");
  }
  if tuning.max_attempts == 0 {
    return refuse("tuning.max_attempts", "must be at least 1");
  }
  if tuning.heartbeat_ms < 20 || tuning.poll_ms < 20 {
    return refuse(
      "tuning.heartbeat_ms",
      "this and poll_ms must be at least 20",
    );
  }
  if document.utc_offset_minutes.abs() > MOST_OFFSET_MINUTES {
    return refuse("utc_offset_minutes", "must lie within 14 hours");
  }
  Ok(())
}

fn check_organisation(
  key: &Name,
  document: &OrganisationDocument,
) -> Result<(), ConfigurationError> {
  let is_hash =
    |text: &Name| text.len() == HASH_HEX_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit());
  if document.keys_sha256.iter().all(is_hash) {
    return Ok(());
  }
  Err(ConfigurationError::Value {
    field: "keys_sha256",
    key: key.clone(),
    message: "each must be a SHA-256 in 64 hexadecimal digits".into(),
  })
}
