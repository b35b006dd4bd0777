//! What an endpoint states about itself in a response.

use crate::InvalidRetryAfter;

/// What an endpoint states about itself in one response, whatever the request was.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointNotice {
  /// It is shutting down and takes no new work.
  pub leaving: bool,
  /// For how long this box is asked to send no work, in milliseconds.
  pub backoff_ms: Option<u64>,
  /// Remaining time of its cold start.
  pub cold_ms: Option<u64>,
  /// Its rate limit for all boxes together.
  pub limit: LimitHeader,
  /// A header that could not be decoded.
  pub unreadable: Option<UnreadableNotice>,
}

/// The rate limit for all boxes together that a response advertises.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitHeader {
  /// The response has no such header.
  #[default]
  Absent,
  /// The header could not be decoded.
  Unreadable,
  /// Requests per second, 0 or more.
  PerSecond(f64),
}

/// A header of an endpoint's notice that could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum UnreadableNotice {
  /// The shutdown header.
  #[error("invalid shutdown header: {0:?}")]
  Leaving(String),
  /// The rate limit header.
  #[error("invalid rate limit header: {0:?}")]
  Limit(String),
  /// The Retry-After header.
  #[error("{0}")]
  Backoff(#[from] InvalidRetryAfter),
}
