//! The kinds of requests that callers send.

use super::endpoint_kind::EndpointKind;

/// Kind of request, as far as the promises differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
  /// May run more than once.
  Retryable,
  /// Runs at most once.
  NonRetryable,
  /// A stream that runs at most once.
  Stream,
  /// A stream that another engine may resume.
  ResumableStream,
  /// A resumable stream that crashes each engine that runs it: by its body, always on the same path, or by a segment of its prompt.
  CrashingStream,
}

impl RequestKind {
  /// Whether a second run is allowed.
  pub fn may_retry(self) -> bool {
    matches!(
      self,
      Self::Retryable | Self::ResumableStream | Self::CrashingStream
    )
  }

  /// Whether the response is an event stream.
  pub fn is_stream(self) -> bool {
    matches!(
      self,
      Self::Stream | Self::ResumableStream | Self::CrashingStream
    )
  }

  /// Whether another run may go on with the stream.
  pub fn may_resume(self) -> bool {
    matches!(self, Self::ResumableStream | Self::CrashingStream)
  }

  /// Name of the route's service.
  pub(crate) fn service(self) -> &'static str {
    if self.is_stream() {
      EndpointKind::Decode.service()
    } else {
      EndpointKind::Plain.service()
    }
  }

  /// Path prefix of the route.
  pub(crate) fn path(self) -> &'static str {
    match self {
      Self::Retryable => "/safe/",
      Self::NonRetryable => "/unsafe/",
      Self::Stream => "/stream/",
      Self::ResumableStream | Self::CrashingStream => "/resumable/",
    }
  }

  /// Maximum number of endpoints that the route allows one request to be sent to.
  pub fn max_attempts(self) -> usize {
    match self {
      Self::NonRetryable | Self::Stream => 1,
      Self::Retryable => 2,
      Self::ResumableStream | Self::CrashingStream => 3,
    }
  }
}
