//! Configuration documents and their validation. A document is validated in full before it is applied.

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
const MAX_NAME_BYTES: usize = 64;
const MAX_OFFSET_MINUTES: i64 = 14 * 60;
const ORGANISATIONS: &str = "organisations/";
const PLATFORM: &str = "platform";

/// The document that a key identifies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentKey {
  /// The document for the whole platform.
  Platform,
  /// The document of one organisation.
  Organisation(Name),
}

impl DocumentKey {
  /// Parses a key such as `platform` or `organisations/oslo`.
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
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    is_valid.then(|| Self::Organisation(name.into()))
  }
}

/// The document for the whole platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformDocument {
  /// The source text of the policy program.
  pub policy: Option<Name>,
  /// Tuning parameters.
  pub tuning: Tuning,
  /// Offset of local time from UTC, for the policy.
  pub utc_offset_minutes: i64,
}

/// One organisation's document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationDocument {
  /// SHA-256 of each of its keys, in hexadecimal.
  pub keys_sha256: Vec<Name>,
  /// Maximum requests in progress on one box; unlimited if absent.
  pub in_progress: Option<usize>,
  /// Whether all its requests are rejected.
  pub closed: bool,
}

/// A valid document.
#[derive(Clone, Debug)]
pub enum ParsedDocument {
  /// The platform's, with its compiled policy.
  Platform(PlatformDocument, Option<Arc<Program>>),
  /// An organisation's.
  Organisation(Name, OrganisationDocument),
}

/// Parses and validates a document.
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
      let document = parse_json::<PlatformDocument>(key, text)?;
      check_platform(key, &document)?;
      let policy = document
        .policy
        .as_deref()
        .map(|policy| compile(key, policy))
        .transpose()?;
      Ok(ParsedDocument::Platform(document, policy))
    }
    Some(DocumentKey::Organisation(name)) => {
      let document = parse_json::<OrganisationDocument>(key, text)?;
      check_organisation(key, &document)?;
      Ok(ParsedDocument::Organisation(name, document))
    }
  }
}

fn parse_json<'a, T: Deserialize<'a>>(key: &Name, text: &'a str) -> Result<T, ConfigurationError> {
  serde_json::from_str(text).map_err(|error| ConfigurationError::Form {
    column: error.column(),
    key: key.clone(),
    line: error.line(),
    message: error.to_string(),
  })
}

/// Compiles a policy and runs it once, so that a program that always fails is rejected.
fn compile(key: &Name, policy: &str) -> Result<Arc<Program>, ConfigurationError> {
  let invalid = |source| ConfigurationError::Policy {
    key: key.clone(),
    source,
  };
  let program = Program::compile(policy).map_err(invalid)?;
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
  program.rank(&facts, noon).map_err(invalid)?;
  program.shift(noon, &[]).map_err(invalid)?;
  Ok(program)
}

fn check_platform(key: &Name, document: &PlatformDocument) -> Result<(), ConfigurationError> {
  let invalid = |field, message: &str| {
    Err(ConfigurationError::Value {
      field,
      key: key.clone(),
      message: message.into(),
    })
  };
  let tuning = &document.tuning;
  if !(0.0..=1.0).contains(&tuning.slot_certainty) {
    return invalid("tuning.seat_certainty", "must lie between 0 and 1");
  }
  if !(0.0..=1.0).contains(&tuning.retry_share) {
    return invalid("tuning.retry_share", "must lie between 0 and 1");
  }
  if tuning.hold_ms < 1_000 {
    return invalid("tuning.hold_ms", "must be at least 1000");
  }
  if tuning.max_attempts == 0 {
    return invalid("tuning.max_attempts", "must be at least 1");
  }
  if tuning.heartbeat_ms < 20 || tuning.poll_ms < 20 {
    return invalid(
      "tuning.heartbeat_ms",
      "this and poll_ms must be at least 20",
    );
  }
  if document.utc_offset_minutes.abs() > MAX_OFFSET_MINUTES {
    return invalid("utc_offset_minutes", "must lie within 14 hours");
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
