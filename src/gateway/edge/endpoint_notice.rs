//! What an endpoint says of itself in an answer.

use crate::BadRetryAfter;

/// What an endpoint says of itself in one answer, whatever was asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointNotice {
  /// It leaves: it ends soon, and wants no new work.
  pub leaving: bool,
  /// For how long it wants no work from this box, in milliseconds.
  pub pause_ms: Option<u64>,
  /// What it says and nobody can read.
  pub unreadable: Option<UnreadableNotice>,
}

/// What an endpoint says of itself and nobody can read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UnreadableNotice {
  /// Whether it leaves.
  #[error("whether it leaves: {0:?}")]
  Leaving(String),
  /// For how long it wants no work.
  #[error("{0}")]
  Pause(#[from] BadRetryAfter),
}
