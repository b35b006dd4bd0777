//! Reading and writing configuration documents: checked in full, then swapped, never half applied.

use {
  super::{desk::Desk, problem::Problem},
  crate::{
    configuration::{DocumentKey, parse_document},
    decide::Document,
    ids::Name,
    store::{KeyValueError, SwapOutcome, stored_key},
  },
  axum::{
    Json,
    extract::{Path, State},
    response::{IntoResponse, Response},
  },
  http::{HeaderMap, HeaderValue, StatusCode, header},
  serde::{Deserialize, Serialize},
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

const MOST_DOCUMENT_BYTES: usize = 1_000_000;
const MOST_HISTORY: usize = 20;
const READ_BACKS: usize = 10;
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);

/// A document as the API answers with it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationBody {
  /// The document's key.
  pub key: Name,
  /// Its revision; goes into `If-Match` of the next write.
  pub revision: u64,
  /// Its JSON text.
  pub text: Name,
}

/// One earlier state of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
  /// Its revision.
  pub revision: u64,
  /// Its JSON text.
  pub text: Name,
}

/// The earlier states of a document, the latest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryBody {
  /// The document's key.
  pub key: Name,
  /// Its states.
  pub revisions: Vec<Revision>,
}

fn checked_key(key: &str) -> Result<Name, Problem> {
  if DocumentKey::parse(key).is_none() {
    let message = format!("`{key}` is no document: known are platform and organisations/NAME");
    return Err(Problem::new(StatusCode::NOT_FOUND, message));
  }
  Ok(key.into())
}

fn unavailable(error: &KeyValueError) -> Problem {
  Problem::new(StatusCode::SERVICE_UNAVAILABLE, error)
}

pub(super) async fn read(
  State(desk): State<Arc<Desk>>,
  Path(key): Path<String>,
) -> Result<Response, Problem> {
  let key = checked_key(&key)?;
  let stored = desk
    .service
    .get(&stored_key(&key))
    .await
    .map_err(|error| unavailable(&error))?
    .ok_or_else(|| Problem::new(StatusCode::NOT_FOUND, format!("{key}: not written yet")))?;
  Ok(answer(
    StatusCode::OK,
    key,
    stored.revision,
    stored.value.into(),
  ))
}

pub(super) async fn history(
  State(desk): State<Arc<Desk>>,
  Path(key): Path<String>,
) -> Result<Json<HistoryBody>, Problem> {
  let key = checked_key(&key)?;
  let stored_key = stored_key(&key);
  let mut next = desk
    .service
    .get(&stored_key)
    .await
    .map_err(|error| unavailable(&error))?;
  let mut revisions = Vec::new();
  while let Some(stored) = next {
    let before = stored.revision.saturating_sub(1);
    revisions.push(Revision {
      revision: stored.revision,
      text: stored.value.into(),
    });
    if before == 0 || revisions.len() == MOST_HISTORY {
      break;
    }
    // The past may have been compacted away; then the history ends there.
    next = desk
      .service
      .get_at(&stored_key, before)
      .await
      .unwrap_or_default();
  }
  Ok(Json(HistoryBody { key, revisions }))
}

/// The revision that the writer has read; 0 for a document that is not there yet.
fn expected(headers: &HeaderMap) -> Result<u64, Problem> {
  let Some(value) = headers.get(header::IF_MATCH) else {
    let message = "the If-Match header must carry the revision that you have read, or 0";
    return Err(Problem::new(StatusCode::PRECONDITION_REQUIRED, message));
  };
  value
    .to_str()
    .ok()
    .and_then(|text| text.trim_matches('"').parse().ok())
    .ok_or_else(|| Problem::new(StatusCode::BAD_REQUEST, "If-Match must be a whole number"))
}

pub(super) async fn write(
  State(desk): State<Arc<Desk>>,
  Path(key): Path<String>,
  headers: HeaderMap,
  text: String,
) -> Result<Response, Problem> {
  let key = checked_key(&key)?;
  let expected = expected(&headers)?;
  if text.len() > MOST_DOCUMENT_BYTES {
    let message = format!("{key}: larger than {MOST_DOCUMENT_BYTES} bytes");
    return Err(Problem::new(StatusCode::PAYLOAD_TOO_LARGE, message));
  }
  parse_document(&key, &text).map_err(|error| Problem::new(StatusCode::BAD_REQUEST, error))?;
  let swapped = desk
    .service
    .compare_and_swap(&stored_key(&key), expected, &text, None)
    .await;
  let revision = match swapped {
    Ok(SwapOutcome::Done(revision)) => revision,
    Ok(SwapOutcome::Conflict(present)) => return Err(Problem::conflict(present)),
    Err(error) => read_back(&desk, &key, expected, &text, &error).await?,
  };
  let text: Name = text.into();
  let document = Document {
    key: key.clone(),
    revision,
    text: text.clone(),
  };
  desk.to_platform.send(vec![document]).await;
  Ok(answer(StatusCode::OK, key, revision, text))
}

/// Settles a write without an answer: it may have taken effect, or may do so late.
async fn read_back(
  desk: &Desk,
  key: &Name,
  expected: u64,
  text: &str,
  error: &KeyValueError,
) -> Result<u64, Problem> {
  for _ in 0..READ_BACKS {
    match desk.service.get(&stored_key(key)).await {
      Ok(Some(stored)) if stored.revision > expected => {
        return if stored.value == text {
          Ok(stored.revision)
        } else {
          Err(Problem::conflict(stored.revision))
        };
      }
      Ok(_) | Err(_) => sleep(READ_BACK_PAUSE).await,
    }
  }
  let message = format!("{error}; unknown whether the write takes effect: read it again");
  Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, message))
}

fn answer(status: StatusCode, key: Name, revision: u64, text: Name) -> Response {
  let body = ConfigurationBody {
    key,
    revision,
    text,
  };
  let mut response = (status, Json(body)).into_response();
  if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
    response.headers_mut().insert(header::ETAG, value);
  }
  response
}
