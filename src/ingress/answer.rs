//! Writing completions back: whole as JSON, or streamed as server-sent events.

use {
  super::{
    completion_api::{Choice, CompletionBody, MessageText, Style, UsageBody},
    desk::Ticket,
    outcome::{outcome_body, outcome_response},
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

const DONE: &str = "data: [DONE]\n\n";
const LOST: RequestOutcome = RequestOutcome::Unknown {
  reason: UnknownReason::AnswerBroken,
};

/// What is the same in each piece of one answer.
#[derive(Clone)]
pub(super) struct Letterhead {
  pub(super) id: Name,
  pub(super) created: u64,
  pub(super) model: Name,
  pub(super) style: Style,
}

impl Letterhead {
  fn body(&self, streamed: bool, choice: Choice, usage: Option<Usage>) -> CompletionBody {
    CompletionBody {
      choices: vec![choice],
      created: self.created,
      id: self.id.clone(),
      model: self.model.clone(),
      object: match (self.style, streamed) {
        (Style::Chat, true) => "chat.completion.chunk",
        (Style::Chat, false) => "chat.completion",
        (Style::Plain, _) => "text_completion",
      },
      usage: usage.map(|usage| UsageBody {
        completion_tokens: usage.completion_tokens,
        prompt_tokens: usage.prompt_tokens,
        total_tokens: usage.prompt_tokens + usage.completion_tokens,
      }),
    }
  }

  fn piece(&self, text: String) -> Bytes {
    let choice = match self.style {
      Style::Chat => Choice {
        delta: Some(MessageText {
          content: Some(text),
          role: None,
        }),
        ..Choice::default()
      },
      Style::Plain => Choice {
        text: Some(text),
        ..Choice::default()
      },
    };
    event(&self.body(true, choice, None))
  }

  fn last(&self, usage: Option<Usage>) -> Bytes {
    let finish_reason = Some(usage.map_or(FinishReason::Stop, |usage| usage.finish));
    let choice = match self.style {
      Style::Chat => Choice {
        delta: Some(MessageText::default()),
        finish_reason,
        ..Choice::default()
      },
      Style::Plain => Choice {
        finish_reason,
        text: Some(String::new()),
        ..Choice::default()
      },
    };
    let mut bytes = event(&self.body(true, choice, usage)).to_vec();
    bytes.extend_from_slice(DONE.as_bytes());
    bytes.into()
  }

  fn whole(&self, text: String, usage: Option<Usage>) -> Response {
    let finish_reason = Some(usage.map_or(FinishReason::Stop, |usage| usage.finish));
    let choice = match self.style {
      Style::Chat => Choice {
        finish_reason,
        message: Some(MessageText {
          content: Some(text),
          role: Some("assistant"),
        }),
        ..Choice::default()
      },
      Style::Plain => Choice {
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

fn error_event(ending: RequestOutcome) -> Bytes {
  let Some(body) = outcome_body(ending) else {
    return Bytes::new();
  };
  let mut bytes = b"event: error\n".to_vec();
  bytes.extend_from_slice(&event(&body));
  bytes.into()
}

/// What comes next on a ticket.
enum Next {
  Chunk(Chunk),
  Ended(RequestOutcome),
}

impl Ticket {
  /// The next piece, or the ending once all pieces before it were taken.
  async fn next(&mut self) -> Next {
    tokio::select! {
      biased;
      chunk = self.chunks.recv(), if !self.chunks.is_closed() || !self.chunks.is_empty() => {
        match chunk {
          Some(chunk) => Next::Chunk(chunk),
          None => self.ended().await,
        }
      }
      ending = &mut self.ending => {
        self.guard.ended();
        let ending = ending.unwrap_or(LOST);
        // Pieces were sent before the ending: they are still in the channel.
        match self.chunks.try_recv() {
          Ok(chunk) => self.put_back(chunk, ending),
          Err(_) => Next::Ended(ending),
        }
      }
    }
  }

  async fn ended(&mut self) -> Next {
    let ending = (&mut self.ending).await.unwrap_or(LOST);
    self.guard.ended();
    Next::Ended(ending)
  }

  fn put_back(&mut self, chunk: Chunk, ending: RequestOutcome) -> Next {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let _ = sender.send(ending);
    self.ending = receiver;
    Next::Chunk(chunk)
  }
}

/// Answers with the whole completion once it has ended.
pub(super) async fn whole(mut ticket: Ticket, letterhead: Letterhead) -> Response {
  let mut text = String::new();
  let mut usage = None;
  loop {
    match ticket.next().await {
      Next::Chunk(Chunk::Text(piece)) => text.push_str(&piece),
      Next::Chunk(Chunk::Usage(total)) => usage = Some(total),
      Next::Chunk(Chunk::Head(..) | Chunk::Body(_)) => {}
      Next::Ended(RequestOutcome::Answered) => return letterhead.whole(text, usage),
      Next::Ended(ending) => return outcome_response(ending),
    }
  }
}

struct Flow {
  ticket: Ticket,
  letterhead: Letterhead,
  usage: Option<Usage>,
  first: Option<Bytes>,
  ended: bool,
}

/// Answers with events as they come; an ending before the first byte has its own status.
pub(super) async fn streamed(mut ticket: Ticket, letterhead: Letterhead) -> Response {
  let mut usage = None;
  let first = loop {
    match ticket.next().await {
      Next::Chunk(Chunk::Text(text)) => break letterhead.piece(text),
      Next::Chunk(Chunk::Usage(total)) => usage = Some(total),
      Next::Chunk(Chunk::Head(..) | Chunk::Body(_)) => {}
      Next::Ended(RequestOutcome::Answered) => {
        return events(HttpBody::from(letterhead.last(usage)));
      }
      Next::Ended(ending) => return outcome_response(ending),
    }
  };
  let flow = Flow {
    ended: false,
    first: Some(first),
    letterhead,
    ticket,
    usage,
  };
  let pieces = stream::unfold(flow, |mut flow| async move {
    let bytes = flow.next().await?;
    Some((Ok::<_, Infallible>(bytes), flow))
  });
  events(HttpBody::from_stream(pieces))
}

impl Flow {
  async fn next(&mut self) -> Option<Bytes> {
    if let Some(first) = self.first.take() {
      return Some(first);
    }
    if self.ended {
      return None;
    }
    loop {
      match self.ticket.next().await {
        Next::Chunk(Chunk::Text(text)) => return Some(self.letterhead.piece(text)),
        Next::Chunk(Chunk::Usage(total)) => self.usage = Some(total),
        Next::Chunk(Chunk::Head(..) | Chunk::Body(_)) => {}
        Next::Ended(ending) => {
          self.ended = true;
          return Some(match ending {
            RequestOutcome::Answered => self.letterhead.last(self.usage),
            broken => error_event(broken),
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

struct Passing {
  ticket: Ticket,
  ended: bool,
}

/// Passes a plain service's answer on; one that breaks off breaks the caller's connection too.
pub(super) async fn passed(mut ticket: Ticket) -> Response {
  let (status, headers) = loop {
    match ticket.next().await {
      Next::Chunk(Chunk::Head(status, headers)) => break (status, headers),
      Next::Chunk(_) => {}
      Next::Ended(ending) => return outcome_response(ending),
    }
  };
  let passing = Passing {
    ended: false,
    ticket,
  };
  let pieces = stream::unfold(passing, |mut passing| async move {
    let piece = passing.next().await?;
    Some((piece, passing))
  });
  let mut response = Response::new(HttpBody::from_stream(pieces));
  *response.status_mut() = status;
  *response.headers_mut() = headers;
  response
}

/// The service's answer broke off.
#[derive(Debug, thiserror::Error)]
#[error("the service's answer broke off")]
struct BrokeOff;

impl Passing {
  async fn next(&mut self) -> Option<Result<Bytes, BrokeOff>> {
    if self.ended {
      return None;
    }
    loop {
      match self.ticket.next().await {
        Next::Chunk(Chunk::Body(bytes)) => return Some(Ok(bytes)),
        Next::Chunk(_) => {}
        Next::Ended(ending) => {
          self.ended = true;
          return (ending != RequestOutcome::Answered).then_some(Err(BrokeOff));
        }
      }
    }
  }
}
