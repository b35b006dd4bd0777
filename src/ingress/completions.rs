//! Handlers for the completion APIs.

use {
  super::{
    IngressState,
    caller_headers::{CallerHeaders, parse_headers},
    completion_api::{ChatRequest, CompletionApi, PlainRequest},
    outcome::invalid_request,
    response::{self, CompletionMetadata},
    state::RequestAttributes,
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
const MAX_TOKENS_LIMIT: u64 = 65_536;
const MS_PER_S: u64 = 1_000;

/// A completion request through either API.
struct Completion {
  api: CompletionApi,
  model: Name,
  prompt: Name,
  max_tokens: u64,
  stream: bool,
}

pub(super) async fn chat(State(state): State<Arc<IngressState>>, request: Request) -> Response {
  let convert = |request: ChatRequest| Completion {
    max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    model: request.model.clone(),
    prompt: request.prompt(),
    stream: request.stream,
    api: CompletionApi::Chat,
  };
  handle(state, request, convert).await
}

pub(super) async fn text(State(state): State<Arc<IngressState>>, request: Request) -> Response {
  let convert = |request: PlainRequest| Completion {
    max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    model: request.model,
    prompt: request.prompt,
    stream: request.stream,
    api: CompletionApi::Text,
  };
  handle(state, request, convert).await
}

async fn handle<T: DeserializeOwned>(
  state: Arc<IngressState>,
  request: Request,
  convert: impl FnOnce(T) -> Completion,
) -> Response {
  let headers = match parse_headers(&state, request.headers()) {
    Ok(headers) => headers,
    Err(rejection) => return *rejection,
  };
  let bytes = match read_body(&state, request).await {
    Ok(bytes) => bytes,
    Err(rejection) => return *rejection,
  };
  let completion = match serde_json::from_slice::<T>(&bytes) {
    Ok(parsed) => convert(parsed),
    Err(error) => {
      let message = format!("body: {error}");
      return invalid_request(StatusCode::BAD_REQUEST, "wrong_body", message);
    }
  };
  if let Some(rejection) = validate(&state, &completion) {
    return rejection;
  }
  serve(&state, headers, completion).await
}

/// Reads a request body within its size limit and timeout; an error is the response to send.
pub(super) async fn read_body(
  state: &IngressState,
  request: Request,
) -> Result<Bytes, Box<Response>> {
  let limit = state.limits.body_bytes;
  let read = to_bytes(request.into_body(), limit);
  match timeout(Duration::from_millis(state.limits.body_ms), read).await {
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
      Err(Box::new(invalid_request(status, "wrong_body", message)))
    }
    Err(_) => {
      let message = format!("body: not received within {} ms", state.limits.body_ms);
      let rejection = invalid_request(StatusCode::REQUEST_TIMEOUT, "slow_body", message);
      Err(Box::new(rejection))
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

/// The response to an invalid completion request; `None` if the request is valid.
fn validate(state: &IngressState, completion: &Completion) -> Option<Response> {
  if !state.models.contains(&completion.model) {
    let message = format!("model `{}` is not served here", completion.model);
    return Some(invalid_request(
      StatusCode::NOT_FOUND,
      "no_such_model",
      message,
    ));
  }
  if completion.prompt.is_empty() {
    let message = "the prompt is empty";
    return Some(invalid_request(
      StatusCode::BAD_REQUEST,
      "wrong_body",
      message,
    ));
  }
  if !(1..=MAX_TOKENS_LIMIT).contains(&completion.max_tokens) {
    let message = format!("max_tokens must lie between 1 and {MAX_TOKENS_LIMIT}");
    return Some(invalid_request(
      StatusCode::BAD_REQUEST,
      "wrong_body",
      message,
    ));
  }
  None
}

async fn serve(
  state: &Arc<IngressState>,
  headers: CallerHeaders,
  completion: Completion,
) -> Response {
  let prompt_tokens = (completion.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
  let attributes = RequestAttributes {
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
  let pending = match state.admit(attributes, body) {
    Ok(pending) => pending,
    Err(rejection) => return *rejection,
  };
  let created_ms = unix_ms();
  let metadata = CompletionMetadata {
    api: completion.api,
    created: created_ms / MS_PER_S,
    id: format!("cmpl-{created_ms:x}-{:x}", pending.guard.request().0).into(),
    model: completion.model,
  };
  if completion.stream {
    response::streamed(pending, metadata).await
  } else {
    response::buffered(pending, metadata).await
  }
}
