//! The events that [`Machine`](super::Machine) handles.

use {
  super::{Arrival, ConfigurationView, HoldCommand, PeerMessage},
  crate::ids::{AttemptId, Name, RequestId},
  serde::{Deserialize, Serialize},
  std::sync::Arc,
};

/// Result of writing the claim of a request that must not run twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
  /// This box holds the claim.
  Held,
  /// Another request holds it.
  Taken,
  /// The store gave no conclusive answer.
  Unavailable,
}

/// Whether a failed command may have begun to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Began {
  /// The command never reached the endpoint, or the endpoint confirms that it never began.
  Never,
  /// It may have begun.
  Perhaps,
}

/// Result of a command at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StageOutcome {
  /// Prefill is done; the engine keeps the KV cache for a short time.
  Prefilled {
    prompt_tokens: u64,
    /// Prompt tokens that were in the prefix cache.
    cached_tokens: u64,
    /// Size of the KV cache to transfer.
    kv_bytes: u64,
  },
  /// The decode engine has the KV cache, and the prefill engine has freed its export.
  Imported,
  /// The first chunk of the attempt's stream has arrived.
  FirstChunk,
  /// The stream has been silent for another stall timeout. It is still read.
  Stalled { silence_ms: u64 },
  /// The stream ended normally, and all of it was delivered.
  Finished { tokens: u64 },
  /// The endpoint rejected the command because it is full; nothing began.
  Full,
  Failed {
    began: Began,
    /// Bytes of the answer that were delivered.
    offset: u64,
    /// Whether another attempt can resume the answer at this offset with the same bytes.
    resumable: bool,
  },
}

/// Result of a command, with its attempt and endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageReport {
  pub attempt: AttemptId,
  pub endpoint: Name,
  pub outcome: StageOutcome,
}

/// An endpoint's answer to a cancel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelAnswer {
  /// The work had begun and has been stopped.
  Cancelled,
  /// The endpoint never began the work and will not begin it.
  NeverBegan,
  /// The endpoint does not know the attempt, and rejects it if it arrives later.
  UnknownAttempt,
  /// The endpoint did not answer.
  Unreachable,
}

/// The role of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
  /// Prefills prompts.
  Prefill,
  /// Decodes answers.
  Decode,
}

/// Load of an endpoint, from the endpoint itself or relayed by the box that owns it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
  pub endpoint: Name,
  /// Start of the endpoint's process; higher is later.
  pub incarnation: u64,
  /// Role of an engine; none for plain services.
  pub role: Option<Role>,
  pub leaving: bool,
  /// Requests in progress.
  pub used_slots: u32,
  /// Maximum requests at once.
  pub slots: u32,
  /// Prompt tokens queued for prefill.
  pub queue_tokens: u64,
  /// Age of the report when it was sent on.
  pub age_ms: u64,
}

/// An attempt for which an engine holds memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldAttempt {
  pub attempt: AttemptId,
  /// Time left until the engine may free it; negative if that time has passed.
  pub hold_left_ms: i64,
}

/// An entry of the platform's box list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoxEntry {
  pub name: Name,
  pub hall: Name,
  /// Address for its peers.
  pub peer_address: Name,
  pub leaving: bool,
}

/// The events that [`Machine`](super::Machine) handles.
#[derive(Clone, Debug)]
pub enum Event {
  Arrived(Arrival),
  CallerDisconnected(RequestId),
  /// Result of writing a claim.
  ClaimSettled(RequestId, ClaimOutcome),
  /// Result of a command at an endpoint.
  Stage(StageReport),
  /// Answer to a cancel, or its absence.
  CancelSettled(AttemptId, Name, CancelAnswer),
  LoadReported(LoadReport),
  /// An endpoint did not answer a poll of its load.
  PollFailed(Name),
  /// An endpoint rejected a command and asks for a backoff of this many milliseconds.
  EndpointBackoff(Name, u64),
  /// Cache events of an engine: hashes of prefix blocks that it now holds.
  CacheReported(Name, Vec<u64>),
  /// The attempts for which an engine holds memory.
  AttemptsListed(Name, Vec<HeldAttempt>),
  /// An engine has extended holds on this box's attempts.
  HoldsExtended(HoldCommand),
  /// An engine did not extend the holds.
  HoldExtensionFailed(Name),
  /// A message from a peer.
  Peer(Name, PeerMessage),
  Boxes(Vec<BoxEntry>),
  /// This box has applied a configuration.
  Configured(Arc<ConfigurationView>),
  /// This box holds the lease of its hall's role leader.
  LeaseHeld {
    /// End of the lease on this box's clock, minus the safety margin.
    until_ms: u64,
    /// Store revision of the lease's key.
    fence: u64,
  },
  /// An operator drains an endpoint (true) or ends the drain (false).
  Drain(Name, bool),
  /// A planned stop begins.
  Stopping,
  Tick,
}
