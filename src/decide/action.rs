//! What [`Machine`](super::Machine) asks the rest of the box to do.

use {
  super::{PeerMessage, RequestOutcome, Role, TimelineEvent},
  crate::ids::{AttemptId, Name, RequestId},
};

/// Prefill of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillCommand {
  pub attempt: AttemptId,
  pub engine: Name,
  /// Higher is scheduled first, by engines that honour priorities.
  pub priority: i64,
  /// Time after which the engine may free the attempt if its hold is not extended.
  pub hold_ms: u64,
  /// Time left until the caller's deadline.
  pub deadline_ms: u64,
}

/// Transfer of a KV cache from a prefill engine to a decode engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ImportCommand {
  pub attempt: AttemptId,
  /// The prefill engine that exports the KV cache.
  pub source: Name,
  /// The decode engine that imports it.
  pub engine: Name,
  /// Time after which the engine may free the attempt if its hold is not extended.
  pub hold_ms: u64,
  /// Delay before the transfer begins, until its reserved link window.
  pub link_wait_ms: u64,
  /// Time left until the caller's deadline.
  pub deadline_ms: u64,
}

/// Decode, from an offset of the answer on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeCommand {
  pub attempt: AttemptId,
  pub engine: Name,
  /// Bytes of the answer that the caller already has.
  pub offset: u64,
}

/// Extension of an engine's holds on attempts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldCommand {
  pub engine: Name,
  pub attempts: Vec<AttemptId>,
  /// New time to live of the holds.
  pub hold_ms: u64,
  /// When the command was sent, on the box's clock.
  pub sent_ms: u64,
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallCommand {
  pub attempt: AttemptId,
  pub endpoint: Name,
  /// Time left until the caller's deadline.
  pub deadline_ms: u64,
}

/// Change of an engine's role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleCommand {
  pub engine: Name,
  pub role: Role,
  /// Store revision of the leader's lease; engines reject a fence lower than the last one.
  pub fence: u64,
  /// End of the leader's lease on this box's clock; the command must not be sent later.
  pub valid_until_ms: u64,
}

/// What [`Machine`](super::Machine) asks the rest of the box to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
  /// Write a claim on an idempotency key of an organisation.
  Claim(RequestId, Name, Name),
  /// Release this box's claim after proof that nothing ran.
  ReleaseClaim(RequestId, Name, Name),
  Prefill(PrefillCommand),
  Import(ImportCommand),
  Decode(DecodeCommand),
  Call(CallCommand),
  /// Cancel an attempt at an endpoint.
  Cancel(AttemptId, Name),
  /// Abort the attempt's stream and report it as failed, because its hold may have expired.
  AbortStream(AttemptId, Name),
  /// End the attempt's silent stream between two reads, and report it as failed.
  EndStream(AttemptId, Name),
  ExtendHolds(HoldCommand),
  PollLoad(Name),
  /// List the attempts for which an engine holds memory.
  ListAttempts(Name),
  /// Send a message to a peer.
  Send(Name, PeerMessage),
  /// Report the outcome of a request to its caller.
  Complete(RequestId, RequestOutcome),
  SetRole(RoleCommand),
  /// Record an event on the timeline.
  Record(TimelineEvent),
}
