//! All that `decide` can ask for.

use {
  super::{PeerMessage, RequestOutcome, Role, TimelineEvent},
  crate::ids::{AttemptId, Name, RequestId},
};

/// An order to read a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillCommand {
  /// The attempt.
  pub attempt: AttemptId,
  /// The engine.
  pub engine: Name,
  /// Priority, for engines that honour it.
  pub priority: i64,
  /// Time that the engine keeps the attempt without an extension.
  pub hold_ms: u64,
  /// Time until the caller's deadline.
  pub deadline_ms: u64,
}

/// An order to pull a KV cache from a prefill engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ImportCommand {
  /// The attempt.
  pub attempt: AttemptId,
  /// The engine that keeps the export.
  pub source: Name,
  /// The engine that is to decode.
  pub engine: Name,
  /// Time that the engine keeps the attempt without an extension.
  pub hold_ms: u64,
  /// Wait before the transfer begins, so that its link window is free.
  pub link_wait_ms: u64,
  /// Time until the caller's deadline.
  pub deadline_ms: u64,
}

/// An order to write the answer from an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeCommand {
  /// The attempt.
  pub attempt: AttemptId,
  /// The engine.
  pub engine: Name,
  /// Bytes of the answer that the caller has already.
  pub offset: u64,
}

/// An order to keep attempts for a while longer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldCommand {
  /// The engine.
  pub engine: Name,
  /// The attempts.
  pub attempts: Vec<AttemptId>,
  /// How long, from now.
  pub hold_ms: u64,
}

/// One call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallCommand {
  /// The attempt.
  pub attempt: AttemptId,
  /// The endpoint.
  pub endpoint: Name,
  /// Time until the caller's deadline.
  pub deadline_ms: u64,
}

/// An order to change role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleCommand {
  /// The engine.
  pub engine: Name,
  /// The role wanted.
  pub role: Role,
  /// Key-value revision of the steward's lease.
  pub fence: u64,
  /// The order must not be sent after this time on this box's clock.
  pub valid_until_ms: u64,
}

/// All that `decide` can ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
  /// Write a claim.
  Claim(RequestId, Name, Name),
  /// Take back our own claim after proof that nothing ran.
  ReleaseClaim(RequestId, Name, Name),
  /// Read a prompt.
  Prefill(PrefillCommand),
  /// Move a KV cache.
  Import(ImportCommand),
  /// Write an answer.
  Decode(DecodeCommand),
  /// Call a plain service.
  Call(CallCommand),
  /// Stop an attempt at an endpoint.
  Cancel(AttemptId, Name),
  /// Stop reading this attempt's stream and report it as broken: the hold on it is lost.
  AbortStream(AttemptId, Name),
  /// Extend the holds of these attempts.
  ExtendHolds(HoldCommand),
  /// Ask an endpoint for its load.
  PollLoad(Name),
  /// Ask an engine what it holds.
  ListAttempts(Name),
  /// Tell a peer.
  Send(Name, PeerMessage),
  /// Tell the caller how its request ended.
  Complete(RequestId, RequestOutcome),
  /// Change an engine's role.
  SetRole(RoleCommand),
  /// Put an event on the time line.
  Record(TimelineEvent),
}
