//! Request bodies and response chunks, passed directly between ingress and egress.

use {
  crate::{endpoint_api::FinishReason, ids::RequestId},
  bytes::Bytes,
  http::{HeaderMap, Method, StatusCode},
  std::sync::Arc,
  tokio::{sync::mpsc, time::Instant},
};

/// Chunks that are buffered for a slow caller before backpressure applies to its endpoint stream.
pub(crate) const CHUNKS_IN_FLIGHT: usize = 256;

/// A chunk of a response.
#[derive(Debug)]
pub(crate) enum Chunk {
  /// Text of a completion.
  Text(String),
  /// The finish reason and token counts of a completion. The outcome itself comes from `decide`.
  Usage(Usage),
  /// Status and headers of a plain service's response.
  Head(StatusCode, HeaderMap),
  /// Part of the body of a plain service's response.
  Body(Bytes),
}

/// The finish reason and token counts of a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Usage {
  /// Why generation ended.
  pub(crate) finish: FinishReason,
  /// Tokens of the prompt.
  pub(crate) prompt_tokens: u64,
  /// Tokens of the response.
  pub(crate) completion_tokens: u64,
}

/// The body of a request.
#[derive(Debug)]
pub(crate) enum Body {
  /// A completion.
  Completion {
    /// The model.
    model: Arc<str>,
    /// The prompt.
    prompt: Arc<str>,
    /// Maximum tokens of the response.
    max_tokens: u64,
  },
  /// A call to a plain service.
  Call {
    /// The method.
    method: Method,
    /// Path after the service name, with the query.
    path: Arc<str>,
    /// Headers, without hop-by-hop ones.
    headers: HeaderMap,
    /// The body.
    body: Bytes,
  },
}

/// A request body and the channel for its response.
#[derive(Debug)]
pub(crate) struct Payload {
  /// The request.
  pub(crate) request: RequestId,
  /// The body.
  pub(crate) body: Body,
  /// The response channel.
  pub(crate) chunks: mpsc::Sender<Chunk>,
  /// When the request arrived.
  pub(crate) arrived: Instant,
}
