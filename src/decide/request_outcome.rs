//! The three endings of a request.

use serde::{Deserialize, Serialize};

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
  /// The organisation has too many requests in progress.
  OrganisationLimit,
  /// The queue is full and nothing in it ranks lower.
  QueueFull,
  /// It rendezvous_order lowest when the queue was full.
  Shed,
  /// The predicted first token lies past the deadline.
  TooLate,
  /// No endpoint is known that could do the work.
  NoEndpoint,
  /// The platform's service can't be reached, so the claim can't be made.
  ClaimUnavailable,
  /// Another request with the same key was taken on before.
  AlreadyClaimed,
  /// Each endpoint that was tried confirmed that the work never began.
  NeverBegan,
  /// The retry budget is empty.
  RetryBudget,
  /// The box is stopping.
  Stopping,
  /// A ring between two duties is full.
  Busy,
  /// The box has no configuration yet.
  NotReady,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
  /// An endpoint failed after the work may have begun.
  EndpointFailed,
  /// The answer did not come in time.
  TimedOut,
  /// Part of the answer was lost and could not be resumed.
  AnswerBroken,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum RequestOutcome {
  /// The whole answer was delivered.
  Answered,
  /// The work truly did not run.
  NotRun {
    /// Why.
    reason: NotRunReason,
    /// When to come back.
    retry_after_ms: u64,
  },
  /// The work may have run.
  Unknown {
    /// Why.
    reason: UnknownReason,
  },
  /// The caller left before the end.
  Abandoned,
}
