//! Reads and writes configuration documents. A document is validated in full before it is written.

use {
  super::{problem::Problem, state::AdminState},
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

const MAX_DOCUMENT_BYTES: usize = 1_000_000;
const MAX_HISTORY: usize = 20;
const READ_BACK_ATTEMPTS: usize = 10;
const READ_BACK_PERIOD: Duration = Duration::from_millis(100);

/// A document in a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationBody {
  /// The document's key.
  pub key: Name,
  /// Its revision, for the `If-Match` header of the next write.
  pub revision: u64,
  /// Its JSON text.
  pub text: Name,
}

/// One revision of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
  /// Its revision.
  pub revision: u64,
  /// Its JSON text.
  pub text: Name,
}

/// The revisions of a document, the latest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryBody {
  /// The document's key.
  pub key: Name,
  /// Its revisions.
  pub revisions: Vec<Revision>,
}

fn parse_key(key: &str) -> Result<Name, Problem> {
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
  State(state): State<Arc<AdminState>>,
  Path(key): Path<String>,
) -> Result<Response, Problem> {
  let key = parse_key(&key)?;
  let stored = state
    .store
    .get(&stored_key(&key))
    .await
    .map_err(|error| unavailable(&error))?
    .ok_or_else(|| Problem::new(StatusCode::NOT_FOUND, format!("{key}: not written yet")))?;
  Ok(document_response(
    StatusCode::OK,
    key,
    stored.revision,
    stored.value.into(),
  ))
}

pub(super) async fn history(
  State(state): State<Arc<AdminState>>,
  Path(key): Path<String>,
) -> Result<Json<HistoryBody>, Problem> {
  let key = parse_key(&key)?;
  let stored_key = stored_key(&key);
  let mut next = state
    .store
    .get(&stored_key)
    .await
    .map_err(|error| unavailable(&error))?;
  let mut revisions = Vec::new();
  while let Some(stored) = next {
    let previous = stored.revision.saturating_sub(1);
    revisions.push(Revision {
      revision: stored.revision,
      text: stored.value.into(),
    });
    if previous == 0 || revisions.len() == MAX_HISTORY {
      break;
    }
    // Older revisions may have been compacted; the history ends there.
    next = state
      .store
      .get_at(&stored_key, previous)
      .await
      .unwrap_or_default();
  }
  Ok(Json(HistoryBody { key, revisions }))
}

/// The revision in the `If-Match` header; 0 means that the document does not exist yet.
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
  State(state): State<Arc<AdminState>>,
  Path(key): Path<String>,
  headers: HeaderMap,
  text: String,
) -> Result<Response, Problem> {
  let key = parse_key(&key)?;
  let expected = expected(&headers)?;
  if text.len() > MAX_DOCUMENT_BYTES {
    let message = format!("{key}: larger than {MAX_DOCUMENT_BYTES} bytes");
    return Err(Problem::new(StatusCode::PAYLOAD_TOO_LARGE, message));
  }
  parse_document(&key, &text).map_err(|error| Problem::new(StatusCode::BAD_REQUEST, error))?;
  let swapped = state
    .store
    .compare_and_swap(&stored_key(&key), expected, &text, None)
    .await;
  let revision = match swapped {
    Ok(SwapOutcome::Done(revision)) => revision,
    Ok(SwapOutcome::Conflict(current)) => return Err(Problem::conflict(current)),
    Err(error) => read_back(&state, &key, expected, &text, &error).await?,
  };
  let text: Name = text.into();
  let document = Document {
    key: key.clone(),
    revision,
    text: text.clone(),
  };
  state.to_platform.send(vec![document]).await;
  Ok(document_response(StatusCode::OK, key, revision, text))
}

/// Reads back a write that got no response: it may have taken effect, or may still do so.
async fn read_back(
  state: &AdminState,
  key: &Name,
  expected: u64,
  text: &str,
  error: &KeyValueError,
) -> Result<u64, Problem> {
  for _ in 0..READ_BACK_ATTEMPTS {
    match state.store.get(&stored_key(key)).await {
      Ok(Some(stored)) if stored.revision > expected => {
        return if stored.value == text {
          Ok(stored.revision)
        } else {
          Err(Problem::conflict(stored.revision))
        };
      }
      Ok(_) | Err(_) => sleep(READ_BACK_PERIOD).await,
    }
  }
  let message = format!("{error}; unknown whether the write takes effect: read it again");
  Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, message))
}

fn document_response(status: StatusCode, key: Name, revision: u64, text: Name) -> Response {
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
