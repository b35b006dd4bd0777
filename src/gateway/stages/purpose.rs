//! The purpose of a request to an endpoint, which decides whether it may be sent.

/// The purpose of a request to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
  /// A caller's request or a stage of it: not sent to an endpoint that is shutting down or asked for a backoff.
  Request,
  /// The same, for one that may run only once: not sent on a connection on which an answer to another call may come first.
  RequestOnce,
  /// The same, for a stream that other endpoints of its version may resume: its endpoint first confirms the listed start.
  ResumableStream,
  /// The same, for a stream that another endpoint began: the version of its endpoint's process has to be known.
  ResumedStream,
  /// A call of the gateway's own that leads to work: not sent to such an endpoint either.
  Call,
  /// A call for an engine's report, which it answers in any role; sent like [`Call`](Self::Call).
  Report,
  /// Releases what an endpoint holds. It frees memory, so it is sent to such an endpoint too.
  Release,
}

impl Purpose {
  /// Whether a caller's request or a stage of it is sent.
  pub(super) fn is_request(self) -> bool {
    matches!(
      self,
      Self::Request | Self::RequestOnce | Self::ResumableStream | Self::ResumedStream
    )
  }
}
