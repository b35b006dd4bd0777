//! What is read from the headers of every request.

use {
  super::{Desk, outcome::mistake},
  crate::{bearer_key::BearerKey, ids::Name},
  axum::response::Response,
  http::{HeaderMap, StatusCode},
};

const DEADLINE: &str = "x-rillford-deadline-ms";
const NOT_REPEATABLE: &str = "x-rillford-not-repeatable";
const TASK: &str = "x-rillford-task";

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const MOST_NAME_BYTES: usize = 256;

/// What is read from every request's headers.
pub(super) struct CallerHeaders {
  pub(super) organisation: Name,
  pub(super) task: Name,
  pub(super) not_repeatable: bool,
  pub(super) idempotency_key: Option<Name>,
  pub(super) deadline_ms: Option<u64>,
}

/// Reads and checks the headers that every request may carry.
pub(super) fn read_headers(
  desk: &Desk,
  headers: &HeaderMap,
) -> Result<CallerHeaders, Box<Response>> {
  let organisation = organisation(desk, headers).ok_or_else(|| {
    let message = "the Authorization header must carry your organisation's bearer key";
    Box::new(mistake(StatusCode::UNAUTHORIZED, "wrong_key", message))
  })?;
  Ok(CallerHeaders {
    deadline_ms: deadline(headers)?,
    idempotency_key: short_text(headers, IDEMPOTENCY_KEY)?,
    not_repeatable: not_repeatable(headers)?,
    organisation,
    task: short_text(headers, TASK)?.unwrap_or_else(|| "default".into()),
  })
}

fn organisation(desk: &Desk, headers: &HeaderMap) -> Option<Name> {
  let key = BearerKey::read(headers).given()?;
  desk.keys.load().organisation(key).cloned()
}

fn wrong_header(name: &str, message: &str) -> Box<Response> {
  let message = format!("header {name}: {message}");
  Box::new(mistake(StatusCode::BAD_REQUEST, "wrong_header", message))
}

fn short_text(headers: &HeaderMap, name: &str) -> Result<Option<Name>, Box<Response>> {
  let Some(value) = headers.get(name) else {
    return Ok(None);
  };
  match value.to_str() {
    Ok(text) if !text.is_empty() && text.len() <= MOST_NAME_BYTES => Ok(Some(text.into())),
    _ => Err(wrong_header(
      name,
      "must be 1 to 256 visible ASCII characters",
    )),
  }
}

fn deadline(headers: &HeaderMap) -> Result<Option<u64>, Box<Response>> {
  let Some(value) = headers.get(DEADLINE) else {
    return Ok(None);
  };
  let parsed = value
    .to_str()
    .ok()
    .and_then(|text| text.parse::<u64>().ok());
  parsed
    .filter(|deadline_ms| *deadline_ms > 0)
    .map(Some)
    .ok_or_else(|| wrong_header(DEADLINE, "must be a whole number of milliseconds above 0"))
}

fn not_repeatable(headers: &HeaderMap) -> Result<bool, Box<Response>> {
  let Some(value) = headers.get(NOT_REPEATABLE) else {
    return Ok(false);
  };
  match value.as_bytes() {
    b"true" => Ok(true),
    b"false" => Ok(false),
    _ => Err(wrong_header(NOT_REPEATABLE, "must be `true` or `false`")),
  }
}
