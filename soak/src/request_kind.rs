//! What callers ask.

/// What a request is, as far as promises differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
  /// May run more than once.
  Retryable,
  /// Runs at most once.
  NonRetryable,
  /// A stream that runs at most once.
  Stream,
  /// A stream that another engine may go on with.
  ResumableStream,
  /// The same, with a body that ends each engine that runs it. Its path is the same each time.
  CrashingStream,
}

impl RequestKind {
  /// Whether a second run breaks no promise.
  pub fn may_retry(self) -> bool {
    matches!(
      self,
      Self::Retryable | Self::ResumableStream | Self::CrashingStream
    )
  }

  /// Whether the answer is a series of events.
  pub fn is_stream(self) -> bool {
    matches!(
      self,
      Self::Stream | Self::ResumableStream | Self::CrashingStream
    )
  }

  /// The path of its route.
  pub(crate) fn path(self) -> &'static str {
    match self {
      Self::Retryable => "/safe/",
      Self::NonRetryable => "/unsafe/",
      Self::Stream => "/stream/",
      Self::ResumableStream | Self::CrashingStream => "/resumable/",
    }
  }

  /// The most endpoints that its route allows one request to be sent to.
  pub fn max_attempts(self) -> usize {
    match self {
      Self::NonRetryable | Self::Stream => 1,
      Self::Retryable => 2,
      Self::ResumableStream | Self::CrashingStream => 3,
    }
  }
}
