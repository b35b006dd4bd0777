//! Pieces of an answer on their way from egress to ingress, past `decide`.

use {
  crate::{endpoint_api::FinishReason, ids::RequestId},
  bytes::Bytes,
  http::{HeaderMap, Method, StatusCode},
  std::sync::Arc,
  tokio::{sync::mpsc, time::Instant},
};

/// Pieces that may wait for a slow caller before its own stream is held up.
pub(crate) const CHUNKS_IN_FLIGHT: usize = 256;

/// A piece of an answer.
#[derive(Debug)]
pub(crate) enum Chunk {
  /// Text of a completion.
  Text(String),
  /// Why a completion ended, and what it took. The end itself is told by `decide`.
  Usage(Usage),
  /// Status and headers of a plain service's answer.
  Head(StatusCode, HeaderMap),
  /// Part of a plain service's body.
  Body(Bytes),
}

/// What a completion took.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Usage {
  /// Why it ended.
  pub(crate) finish: FinishReason,
  /// Tokens read.
  pub(crate) prompt_tokens: u64,
  /// Tokens written.
  pub(crate) completion_tokens: u64,
}

/// The body of a request, handed from ingress to egress.
#[derive(Debug)]
pub(crate) enum Body {
  /// A completion.
  Completion {
    /// The model.
    model: Arc<str>,
    /// The prompt.
    prompt: Arc<str>,
    /// The most tokens that the answer may have.
    max_tokens: u64,
  },
  /// A call to a plain service.
  Call {
    /// The method.
    method: Method,
    /// Path below the service, with the query.
    path: Arc<str>,
    /// Headers, without hop-by-hop ones.
    headers: HeaderMap,
    /// The body.
    body: Bytes,
  },
}

/// A request's body and the way back to its caller.
#[derive(Debug)]
pub(crate) struct Payload {
  /// The request.
  pub(crate) request: RequestId,
  /// The body.
  pub(crate) body: Body,
  /// The way back.
  pub(crate) chunks: mpsc::Sender<Chunk>,
  /// When the request arrived.
  pub(crate) arrived: Instant,
}
