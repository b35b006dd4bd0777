//! What an endpoint says of itself in an answer.

use crate::InvalidRetryAfter;

/// What an endpoint says of itself in one answer, whatever was asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointNotice {
  /// It leaves: it ends soon, and wants no new work.
  pub leaving: bool,
  /// For how long it wants no work from this box, in milliseconds.
  pub pause_ms: Option<u64>,
  /// How much longer it is cold.
  pub cold_ms: Option<u64>,
  /// How many requests a second it takes of all boxes together.
  pub limit: NamedLimit,
  /// What it says and nobody can read.
  pub unreadable: Option<UnreadableNotice>,
}

/// What an answer says of the requests that its endpoint takes of all boxes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
  /// Nothing.
  #[default]
  Unsaid,
  /// Something that nobody can read.
  Unreadable,
  /// So many requests a second, 0 or more.
  PerS(f64),
}

/// What an endpoint says of itself and nobody can read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UnreadableNotice {
  /// Whether it leaves.
  #[error("whether it leaves: {0:?}")]
  Leaving(String),
  /// How many requests a second it takes.
  #[error("how many requests a second it takes: {0:?}")]
  Limit(String),
  /// For how long it wants no work.
  #[error("{0}")]
  Pause(#[from] InvalidRetryAfter),
}
