//! Responses to callers: completions, buffered as JSON or streamed as server-sent events, and relayed service responses.

use {
  super::{
    completion_api::{Choice, CompletionApi, CompletionBody, MessageText, UsageBody},
    outcome::{outcome_body, outcome_response},
    state::PendingResponse,
  },
  crate::{
    chunk::{Chunk, Usage},
    decide::{RequestOutcome, UnknownReason},
    endpoint_api::FinishReason,
    ids::Name,
  },
  axum::{
    Json,
    body::Body as HttpBody,
    response::{IntoResponse, Response},
  },
  bytes::Bytes,
  futures_util::stream,
  http::header,
  std::convert::Infallible,
};

/// The event that ends a stream, as OpenAI clients expect it.
const DONE: &str = "data: [DONE]\n\n";
/// The outcome when `decide` reports none.
const OUTCOME_MISSING: RequestOutcome = RequestOutcome::Unknown {
  reason: UnknownReason::AnswerBroken,
};

/// The fields that are the same in all events of one completion response.
#[derive(Clone)]
pub(super) struct CompletionMetadata {
  pub(super) id: Name,
  pub(super) created: u64,
  pub(super) model: Name,
  pub(super) api: CompletionApi,
}

impl CompletionMetadata {
  fn body(&self, streamed: bool, choice: Choice, usage: Option<Usage>) -> CompletionBody {
    CompletionBody {
      choices: vec![choice],
      created: self.created,
      id: self.id.clone(),
      model: self.model.clone(),
      object: match (self.api, streamed) {
        (CompletionApi::Chat, true) => "chat.completion.chunk",
        (CompletionApi::Chat, false) => "chat.completion",
        (CompletionApi::Text, _) => "text_completion",
      },
      usage: usage.map(|usage| UsageBody {
        completion_tokens: usage.completion_tokens,
        prompt_tokens: usage.prompt_tokens,
        total_tokens: usage.prompt_tokens + usage.completion_tokens,
      }),
    }
  }

  fn text_event(&self, text: String) -> Bytes {
    let choice = match self.api {
      CompletionApi::Chat => Choice {
        delta: Some(MessageText {
          content: Some(text),
          role: None,
        }),
        ..Choice::default()
      },
      CompletionApi::Text => Choice {
        text: Some(text),
        ..Choice::default()
      },
    };
    event(&self.body(true, choice, None))
  }

  fn final_event(&self, usage: Option<Usage>) -> Bytes {
    let finish_reason = Some(usage.map_or(FinishReason::Stop, |usage| usage.finish));
    let choice = match self.api {
      CompletionApi::Chat => Choice {
        delta: Some(MessageText::default()),
        finish_reason,
        ..Choice::default()
      },
      CompletionApi::Text => Choice {
        finish_reason,
        text: Some(String::new()),
        ..Choice::default()
      },
    };
    let mut bytes = event(&self.body(true, choice, usage)).to_vec();
    bytes.extend_from_slice(DONE.as_bytes());
    bytes.into()
  }

  fn full_response(&self, text: String, usage: Option<Usage>) -> Response {
    let finish_reason = Some(usage.map_or(FinishReason::Stop, |usage| usage.finish));
    let choice = match self.api {
      CompletionApi::Chat => Choice {
        finish_reason,
        message: Some(MessageText {
          content: Some(text),
          role: Some("assistant"),
        }),
        ..Choice::default()
      },
      CompletionApi::Text => Choice {
        finish_reason,
        text: Some(text),
        ..Choice::default()
      },
    };
    Json(self.body(false, choice, usage)).into_response()
  }
}

fn event<T: serde::Serialize>(body: &T) -> Bytes {
  let mut bytes = b"data: ".to_vec();
  if serde_json::to_writer(&mut bytes, body).is_err() {
    return Bytes::new();
  }
  bytes.extend_from_slice(b"\n\n");
  bytes.into()
}

fn error_event(outcome: RequestOutcome) -> Bytes {
  let Some(body) = outcome_body(outcome) else {
    return Bytes::new();
  };
  let mut bytes = b"event: error\n".to_vec();
  bytes.extend_from_slice(&event(&body));
  bytes.into()
}

/// The next item of a pending response.
enum Next {
  Chunk(Chunk),
  Finished(RequestOutcome),
}

impl PendingResponse {
  /// The next chunk, or the outcome once all chunks were returned.
  async fn next(&mut self) -> Next {
    tokio::select! {
      biased;
      chunk = self.chunks.recv(), if !self.chunks.is_closed() || !self.chunks.is_empty() => {
        match chunk {
          Some(chunk) => Next::Chunk(chunk),
          None => self.wait_outcome().await,
        }
      }
      outcome = &mut self.outcome => {
        self.guard.disarm();
        let outcome = outcome.unwrap_or(OUTCOME_MISSING);
        // Chunks sent before the outcome may still be in the channel.
        match self.chunks.try_recv() {
          Ok(chunk) => self.defer_outcome(chunk, outcome),
          Err(_) => Next::Finished(outcome),
        }
      }
    }
  }

  async fn wait_outcome(&mut self) -> Next {
    let outcome = (&mut self.outcome).await.unwrap_or(OUTCOME_MISSING);
    self.guard.disarm();
    Next::Finished(outcome)
  }

  /// Returns a chunk first and keeps the outcome for a later call.
  fn defer_outcome(&mut self, chunk: Chunk, outcome: RequestOutcome) -> Next {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let _ = sender.send(outcome);
    self.outcome = receiver;
    Next::Chunk(chunk)
  }
}

/// Responds with the full completion once it has finished.
pub(super) async fn buffered(
  mut pending: PendingResponse,
  metadata: CompletionMetadata,
) -> Response {
  let mut text = String::new();
  let mut usage = None;
  loop {
    match pending.next().await {
      Next::Chunk(Chunk::Text(piece)) => text.push_str(&piece),
      Next::Chunk(Chunk::Usage(total)) => usage = Some(total),
      Next::Chunk(Chunk::Head(..) | Chunk::Body(_)) => {}
      Next::Finished(RequestOutcome::Answered) => return metadata.full_response(text, usage),
      Next::Finished(outcome) => return outcome_response(outcome),
    }
  }
}

/// The event stream of a completion.
struct EventStream {
  pending: PendingResponse,
  metadata: CompletionMetadata,
  usage: Option<Usage>,
  first: Option<Bytes>,
  is_finished: bool,
}

/// Responds with server-sent events. A failure before the first event gets its own status code.
pub(super) async fn streamed(
  mut pending: PendingResponse,
  metadata: CompletionMetadata,
) -> Response {
  let mut usage = None;
  let first = loop {
    match pending.next().await {
      Next::Chunk(Chunk::Text(text)) => break metadata.text_event(text),
      Next::Chunk(Chunk::Usage(total)) => usage = Some(total),
      Next::Chunk(Chunk::Head(..) | Chunk::Body(_)) => {}
      Next::Finished(RequestOutcome::Answered) => {
        return events(HttpBody::from(metadata.final_event(usage)));
      }
      Next::Finished(outcome) => return outcome_response(outcome),
    }
  };
  let event_stream = EventStream {
    first: Some(first),
    is_finished: false,
    metadata,
    pending,
    usage,
  };
  let body = stream::unfold(event_stream, |mut event_stream| async move {
    let bytes = event_stream.next().await?;
    Some((Ok::<_, Infallible>(bytes), event_stream))
  });
  events(HttpBody::from_stream(body))
}

impl EventStream {
  async fn next(&mut self) -> Option<Bytes> {
    if let Some(first) = self.first.take() {
      return Some(first);
    }
    if self.is_finished {
      return None;
    }
    loop {
      match self.pending.next().await {
        Next::Chunk(Chunk::Text(text)) => return Some(self.metadata.text_event(text)),
        Next::Chunk(Chunk::Usage(total)) => self.usage = Some(total),
        Next::Chunk(Chunk::Head(..) | Chunk::Body(_)) => {}
        Next::Finished(outcome) => {
          self.is_finished = true;
          return Some(match outcome {
            RequestOutcome::Answered => self.metadata.final_event(self.usage),
            failed => error_event(failed),
          });
        }
      }
    }
  }
}

fn events(body: HttpBody) -> Response {
  let headers = [
    (header::CONTENT_TYPE, "text/event-stream"),
    (header::CACHE_CONTROL, "no-cache"),
  ];
  (headers, body).into_response()
}

/// The body of a relayed service response.
struct RelayedBody {
  pending: PendingResponse,
  is_finished: bool,
}

/// Relays a plain service's response. If it is truncated, the caller's connection is closed without a normal end.
pub(super) async fn relayed(mut pending: PendingResponse) -> Response {
  let (status, headers) = loop {
    match pending.next().await {
      Next::Chunk(Chunk::Head(status, headers)) => break (status, headers),
      Next::Chunk(_) => {}
      Next::Finished(outcome) => return outcome_response(outcome),
    }
  };
  let relayed = RelayedBody {
    is_finished: false,
    pending,
  };
  let body = stream::unfold(relayed, |mut relayed| async move {
    let data = relayed.next().await?;
    Some((data, relayed))
  });
  let mut response = Response::new(HttpBody::from_stream(body));
  *response.status_mut() = status;
  *response.headers_mut() = headers;
  response
}

/// The service's response was truncated.
#[derive(Debug, thiserror::Error)]
#[error("the service's response was truncated")]
struct TruncatedResponse;

impl RelayedBody {
  async fn next(&mut self) -> Option<Result<Bytes, TruncatedResponse>> {
    if self.is_finished {
      return None;
    }
    loop {
      match self.pending.next().await {
        Next::Chunk(Chunk::Body(bytes)) => return Some(Ok(bytes)),
        Next::Chunk(_) => {}
        Next::Finished(outcome) => {
          self.is_finished = true;
          return (outcome != RequestOutcome::Answered).then_some(Err(TruncatedResponse));
        }
      }
    }
  }
}
