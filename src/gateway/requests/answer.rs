//! Answers to callers: an endpoint's own, unchanged, or this box's own.

use {
  bytes::Bytes,
  http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONNECTION, RETRY_AFTER, WWW_AUTHENTICATE},
  },
  http_body_util::{BodyExt, Full},
  hyper::body::Body,
  std::pin::Pin,
};

/// The stream to the caller has to break: its end can't be delivered.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke: {0}")]
pub(crate) struct StreamAborted(pub(crate) String);

/// An answer's body.
pub(crate) type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = StreamAborted>>>;

/// Why this box answers itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LocalReply {
  /// The request can't be read.
  Malformed,
  /// The body is longer than allowed.
  TooLong,
  /// No organisation of the configuration holds the request's key.
  Unauthorised,
  /// The configuration has no such route.
  NoRoute,
  /// The request has not run and never will; when to come back.
  NotRun {
    /// Time until a further try makes sense; told in seconds, with three decimals.
    retry_after_ms: u64,
  },
  /// The request is beyond its organisation's limit; when there may be room.
  OverLimit {
    /// Time until then; told like that of a request that has not run.
    retry_after_ms: u64,
  },
  /// The endpoint was lost: the request may have run.
  Unknown,
  /// The time is over: the request may have run.
  TimedOut,
}

impl LocalReply {
  /// The status that a caller gets.
  pub(crate) fn status(self) -> StatusCode {
    match self {
      Self::Malformed => StatusCode::BAD_REQUEST,
      Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
      Self::Unauthorised => StatusCode::UNAUTHORIZED,
      Self::NoRoute => StatusCode::NOT_FOUND,
      Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
      Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
      Self::Unknown => StatusCode::BAD_GATEWAY,
      Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    }
  }

  /// Whether the rest of the request may still be on its way.
  fn ends_connection(self) -> bool {
    matches!(self, Self::Malformed | Self::TooLong)
  }

  /// The whole answer: an empty body, and when to come back where the request has not run.
  pub(crate) fn response(self) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = self.status();
    let headers = response.headers_mut();
    if let Self::NotRun { retry_after_ms } | Self::OverLimit { retry_after_ms } = self {
      let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
      if let Ok(value) = HeaderValue::from_str(&seconds) {
        headers.insert(RETRY_AFTER, value);
      }
    }
    if self == Self::Unauthorised {
      headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if self.ends_connection() {
      headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
  }
}

/// A body that is there as a whole.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
  Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// An endpoint's answer, passed on.
pub(crate) fn forward_response(
  status: StatusCode,
  headers: HeaderMap,
  body: ResponseBody,
) -> Response<ResponseBody> {
  let mut response = Response::new(body);
  *response.status_mut() = status;
  *response.headers_mut() = headers;
  response
}
