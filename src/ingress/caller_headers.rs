//! Parses the headers that every request may carry.

use {
  super::{IngressState, outcome::invalid_request},
  crate::{bearer_key::BearerKey, ids::Name},
  axum::response::Response,
  http::{HeaderMap, StatusCode},
};

const DEADLINE_MS: &str = "x-rillford-deadline-ms";
const NOT_REPEATABLE: &str = "x-rillford-not-repeatable";
const TASK: &str = "x-rillford-task";

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const MAX_VALUE_BYTES: usize = 256;

/// The parsed headers of a request.
pub(super) struct CallerHeaders {
  pub(super) organisation: Name,
  pub(super) task: Name,
  pub(super) not_repeatable: bool,
  pub(super) idempotency_key: Option<Name>,
  pub(super) deadline_ms: Option<u64>,
}

/// Authenticates the caller and parses its headers; an error is the response to send.
pub(super) fn parse_headers(
  state: &IngressState,
  headers: &HeaderMap,
) -> Result<CallerHeaders, Box<Response>> {
  let organisation = organisation(state, headers).ok_or_else(|| {
    let message = "the Authorization header must carry your organisation's bearer key";
    Box::new(invalid_request(
      StatusCode::UNAUTHORIZED,
      "wrong_key",
      message,
    ))
  })?;
  Ok(CallerHeaders {
    deadline_ms: deadline(headers)?,
    idempotency_key: short_text(headers, IDEMPOTENCY_KEY)?,
    not_repeatable: not_repeatable(headers)?,
    organisation,
    task: short_text(headers, TASK)?.unwrap_or_else(|| "default".into()),
  })
}

fn organisation(state: &IngressState, headers: &HeaderMap) -> Option<Name> {
  let key = BearerKey::read(headers).key()?;
  state.keys.load().organisation(key).cloned()
}

fn invalid_header(name: &str, message: &str) -> Box<Response> {
  let message = format!("header {name}: {message}");
  Box::new(invalid_request(
    StatusCode::BAD_REQUEST,
    "wrong_header",
    message,
  ))
}

fn short_text(headers: &HeaderMap, name: &str) -> Result<Option<Name>, Box<Response>> {
  let Some(value) = headers.get(name) else {
    return Ok(None);
  };
  match value.to_str() {
    Ok(text) if !text.is_empty() && text.len() <= MAX_VALUE_BYTES => Ok(Some(text.into())),
    _ => Err(invalid_header(
      name,
      "must be 1 to 256 visible ASCII characters",
    )),
  }
}

fn deadline(headers: &HeaderMap) -> Result<Option<u64>, Box<Response>> {
  let Some(value) = headers.get(DEADLINE_MS) else {
    return Ok(None);
  };
  let parsed = value
    .to_str()
    .ok()
    .and_then(|text| text.parse::<u64>().ok());
  parsed
    .filter(|deadline_ms| *deadline_ms > 0)
    .map(Some)
    .ok_or_else(|| {
      invalid_header(
        DEADLINE_MS,
        "must be a whole number of milliseconds above 0",
      )
    })
}

fn not_repeatable(headers: &HeaderMap) -> Result<bool, Box<Response>> {
  let Some(value) = headers.get(NOT_REPEATABLE) else {
    return Ok(false);
  };
  match value.as_bytes() {
    b"true" => Ok(true),
    b"false" => Ok(false),
    _ => Err(invalid_header(NOT_REPEATABLE, "must be `true` or `false`")),
  }
}
