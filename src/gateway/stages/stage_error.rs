//! Why a stage of a request failed, and what that says about whether the request has run.

use crate::gateway::{connections::SendError, decisions::Unavailable};

/// Why a stage failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum StageError {
  /// No connection could be established within the timeout.
  #[error("unreachable")]
  Unreachable,
  /// The connection failed before the request was sent.
  #[error("unsent: {0}")]
  Unsent(String),
  /// The endpoint may not be sent work now.
  #[error("not sent: {0}")]
  Unavailable(#[from] Unavailable),
  /// The request is quarantined: endpoints crashed while they ran it.
  #[error("blocked: endpoints crashed while running it")]
  Blocked,
  /// The endpoint states that it did not run the request.
  #[error("rejected by the endpoint with status {0}")]
  NotRun(u16),
  /// The request may have run, but there is no response to forward.
  #[error("lost: {0}")]
  Lost(String),
  /// The endpoint aborted a response that this box left unread, so the request may have run.
  #[error("aborted by the endpoint after this box left it unread for {unread_ms} ms")]
  LeftUnread {
    /// For how long the response was left unread.
    unread_ms: u64,
  },
}

impl StageError {
  /// Whether the endpoint has certainly not run the request.
  pub(crate) fn has_not_run(&self) -> bool {
    !matches!(self, Self::Lost(_) | Self::LeftUnread { .. })
  }

  /// Whether the endpoint's rate limit left no permit for the request.
  pub(crate) fn is_without_permit(&self) -> bool {
    matches!(self, Self::Unavailable(Unavailable::NoPermit { .. }))
  }

  /// Whether the endpoint never received the request.
  pub(crate) fn is_unsent(&self) -> bool {
    matches!(
      self,
      Self::Unreachable | Self::Unsent(_) | Self::Unavailable(_) | Self::Blocked
    )
  }
}

impl From<SendError> for StageError {
  fn from(error: SendError) -> Self {
    match error {
      SendError::Unreachable => Self::Unreachable,
      SendError::Unsent(text) => Self::Unsent(text),
      SendError::ConnectionLost(text) => Self::Lost(text),
    }
  }
}
