//! The outcomes of a request, with their reasons.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
  /// The organisation has too many requests in progress.
  OrganisationLimit,
  /// The queue is full and holds no request that ranks lower.
  QueueFull,
  /// Shed from a full queue for a request that ranks higher.
  Shed,
  /// The first token is predicted to come after the deadline.
  TooLate,
  /// No live endpoint serves the model or service.
  NoEndpoint,
  /// The store can't be reached, so that no claim can be written.
  ClaimUnavailable,
  /// An earlier request with the same idempotency key holds the claim.
  AlreadyClaimed,
  /// Each endpoint tried has confirmed that the work never began.
  NeverBegan,
  /// The retry budget is empty.
  RetryBudget,
  /// The box is stopping.
  Stopping,
  /// A ring buffer between two tasks is full.
  Busy,
  /// The box has no configuration yet.
  NotReady,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
  /// An endpoint failed after the work may have begun.
  EndpointFailed,
  /// The answer did not arrive in time.
  TimedOut,
  /// Part of the answer was lost, and the stream could not be resumed.
  AnswerBroken,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum RequestOutcome {
  /// The whole answer was delivered.
  Answered,
  /// Certain that the work did not run.
  NotRun {
    reason: NotRunReason,
    /// Delay after which the caller may retry.
    retry_after_ms: u64,
  },
  /// The work may have run.
  Unknown {
    /// What happened after the work may have begun.
    reason: UnknownReason,
  },
  /// The caller disconnected before the end.
  Abandoned,
}
