//! The handlers for completions.

use {
  super::{
    Desk,
    answer::{self, Letterhead},
    caller_headers::{CallerHeaders, read_headers},
    completion_api::{ChatRequest, PlainRequest, Style},
    desk::Asked,
    outcome::mistake,
  },
  crate::{
    chunk::Body,
    decide::{ModelWork, Work},
    endpoint_api::{BYTES_PER_TOKEN, prefix_blocks},
    ids::Name,
    observe::unix_ms,
  },
  axum::{
    body::to_bytes,
    extract::{Request, State},
    response::Response,
  },
  bytes::Bytes,
  http::StatusCode,
  serde::de::DeserializeOwned,
  std::{sync::Arc, time::Duration},
  tokio::time::timeout,
};

const DEFAULT_MAX_TOKENS: u64 = 512;
const MOST_MAX_TOKENS: u64 = 65_536;
const MS_PER_S: u64 = 1_000;

/// A completion, whichever call it came by.
struct Completion {
  style: Style,
  model: Name,
  prompt: Name,
  max_tokens: u64,
  stream: bool,
}

pub(super) async fn chat(State(desk): State<Arc<Desk>>, request: Request) -> Response {
  let read = |request: ChatRequest| Completion {
    max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    model: request.model.clone(),
    prompt: request.prompt(),
    stream: request.stream,
    style: Style::Chat,
  };
  handle(desk, request, read).await
}

pub(super) async fn plain(State(desk): State<Arc<Desk>>, request: Request) -> Response {
  let read = |request: PlainRequest| Completion {
    max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    model: request.model,
    prompt: request.prompt,
    stream: request.stream,
    style: Style::Plain,
  };
  handle(desk, request, read).await
}

async fn handle<T: DeserializeOwned>(
  desk: Arc<Desk>,
  request: Request,
  read: impl FnOnce(T) -> Completion,
) -> Response {
  let headers = match read_headers(&desk, request.headers()) {
    Ok(headers) => headers,
    Err(refusal) => return *refusal,
  };
  let bytes = match read_body(&desk, request).await {
    Ok(bytes) => bytes,
    Err(refusal) => return *refusal,
  };
  let completion = match serde_json::from_slice::<T>(&bytes) {
    Ok(parsed) => read(parsed),
    Err(error) => {
      let message = format!("body: {error}");
      return mistake(StatusCode::BAD_REQUEST, "wrong_body", message);
    }
  };
  if let Some(refusal) = check(&desk, &completion) {
    return refusal;
  }
  serve(&desk, headers, completion).await
}

/// Reads a body within its bounds of size and time.
pub(super) async fn read_body(desk: &Desk, request: Request) -> Result<Bytes, Box<Response>> {
  let limit = desk.limits.body_bytes;
  let read = to_bytes(request.into_body(), limit);
  match timeout(Duration::from_millis(desk.limits.body_ms), read).await {
    Ok(Ok(bytes)) => Ok(bytes),
    Ok(Err(error)) => {
      let (status, message) = if is_length_limit(&error) {
        (
          StatusCode::PAYLOAD_TOO_LARGE,
          format!("body: larger than {limit} bytes"),
        )
      } else {
        (StatusCode::BAD_REQUEST, format!("body: {error}"))
      };
      Err(Box::new(mistake(status, "wrong_body", message)))
    }
    Err(_) => {
      let message = format!("body: not received within {} ms", desk.limits.body_ms);
      let refusal = mistake(StatusCode::REQUEST_TIMEOUT, "slow_body", message);
      Err(Box::new(refusal))
    }
  }
}

fn is_length_limit(error: &axum::Error) -> bool {
  let mut source = std::error::Error::source(error);
  while let Some(inner) = source {
    if inner.is::<http_body_util::LengthLimitError>() {
      return true;
    }
    source = inner.source();
  }
  false
}

fn check(desk: &Desk, completion: &Completion) -> Option<Response> {
  if !desk.models.contains(&completion.model) {
    let message = format!("model `{}` is not served here", completion.model);
    return Some(mistake(StatusCode::NOT_FOUND, "no_such_model", message));
  }
  if completion.prompt.is_empty() {
    let message = "the prompt is empty";
    return Some(mistake(StatusCode::BAD_REQUEST, "wrong_body", message));
  }
  if !(1..=MOST_MAX_TOKENS).contains(&completion.max_tokens) {
    let message = format!("max_tokens must lie between 1 and {MOST_MAX_TOKENS}");
    return Some(mistake(StatusCode::BAD_REQUEST, "wrong_body", message));
  }
  None
}

async fn serve(desk: &Arc<Desk>, headers: CallerHeaders, completion: Completion) -> Response {
  let prompt_tokens = (completion.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
  let asked = Asked {
    deadline_ms: headers.deadline_ms,
    idempotency_key: headers.idempotency_key,
    not_repeatable: headers.not_repeatable,
    organisation: headers.organisation,
    task: headers.task,
    work: Work::Model(ModelWork {
      max_tokens: completion.max_tokens,
      model: completion.model.clone(),
      prefix: prefix_blocks(&completion.prompt),
      prompt_tokens,
    }),
  };
  let body = Body::Completion {
    max_tokens: completion.max_tokens,
    model: completion.model.clone(),
    prompt: completion.prompt,
  };
  let ticket = match desk.admit(asked, body) {
    Ok(ticket) => ticket,
    Err(refusal) => return *refusal,
  };
  let created_ms = unix_ms();
  let letterhead = Letterhead {
    created: created_ms / MS_PER_S,
    id: format!("cmpl-{created_ms:x}-{:x}", ticket.guard.request().0).into(),
    model: completion.model,
    style: completion.style,
  };
  if completion.stream {
    answer::streamed(ticket, letterhead).await
  } else {
    answer::whole(ticket, letterhead).await
  }
}
