//! All that `decide` can be told.

use {
  super::{Arrival, ConfigurationView, PeerMessage},
  crate::ids::{AttemptId, Name, RequestId},
  serde::{Deserialize, Serialize},
  std::sync::Arc,
};

/// How a claim on a not-repeatable request was settled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
  /// The claim is ours.
  Held,
  /// Another holds it.
  Taken,
  /// The platform's service gave no answer that settles it.
  Unavailable,
}

/// How far a failed order may have come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Began {
  /// The endpoint never saw the order, or says that it never began.
  Never,
  /// It may have begun.
  Perhaps,
}

/// What became of one order at one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StageOutcome {
  /// The prompt has been read; its result is kept for a short time.
  Prefilled {
    /// Tokens in the prompt.
    prompt_tokens: u64,
    /// Of these, found in the prefix cache.
    cached_tokens: u64,
    /// Size of the KV cache to move.
    kv_bytes: u64,
  },
  /// The decode engine holds the KV cache; the export is freed.
  Imported,
  /// The first byte of this attempt's stream came.
  FirstChunk,
  /// The normal end came, and all was delivered.
  Finished {
    /// Tokens generated.
    tokens: u64,
  },
  /// The endpoint refused because it is full; nothing began there.
  Full,
  /// The order failed.
  Failed {
    /// Whether the work may have begun.
    began: Began,
    /// Bytes of the answer delivered so far.
    offset: u64,
    /// Whether what was delivered can be resumed by the same bytes at this offset.
    resumable: bool,
  },
}

/// A report on one order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageReport {
  /// The attempt.
  pub attempt: AttemptId,
  /// The endpoint that got the order.
  pub endpoint: Name,
  /// What became of it.
  pub outcome: StageOutcome,
}

/// An endpoint's answer to a cancel.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelAnswer {
  /// The work had begun and is stopped.
  Cancelled,
  /// The endpoint never began it and will not.
  NeverBegan,
  /// The endpoint does not know the attempt and will refuse it if it comes.
  UnknownAttempt,
  /// No answer.
  Unreachable,
}

/// What an engine is for at present.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
  /// Reads prompts.
  Prefill,
  /// Writes answers.
  Decode,
}

/// An endpoint's load, as it reported it or as its home box relays it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
  /// The endpoint.
  pub endpoint: Name,
  /// The endpoint's start; higher is later.
  pub incarnation: u64,
  /// The engine's role; plain services have none.
  pub role: Option<Role>,
  /// Whether it is leaving.
  pub leaving: bool,
  /// Requests held.
  pub used_slots: u32,
  /// Requests it can hold.
  pub slots: u32,
  /// Prompt tokens waiting to be read.
  pub queue_tokens: u64,
  /// Age of the report when it was relayed.
  pub age_ms: u64,
}

/// An attempt that an engine holds memory for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldAttempt {
  /// The attempt.
  pub attempt: AttemptId,
  /// Time left until the engine itself may drop it, negative when past.
  pub hold_left_ms: i64,
}

/// One entry of the platform's box list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoxEntry {
  /// The box's name.
  pub name: Name,
  /// The box's hall.
  pub hall: Name,
  /// Where its peers reach it.
  pub peer_address: Name,
  /// Whether the box is leaving.
  pub leaving: bool,
}

/// All that `decide` can be told.
#[derive(Clone, Debug)]
pub enum Event {
  /// A caller asks.
  Arrived(Arrival),
  /// A caller has gone.
  CallerDisconnected(RequestId),
  /// A claim was settled.
  ClaimSettled(RequestId, ClaimOutcome),
  /// An order came to something.
  Stage(StageReport),
  /// A cancel was answered, or not.
  CancelSettled(AttemptId, Name, CancelAnswer),
  /// An endpoint reported its load.
  LoadReported(LoadReport),
  /// An endpoint did not answer a poll.
  PollFailed(Name),
  /// An endpoint turned an order away, and wants none for so many milliseconds.
  EndpointBackoff(Name, u64),
  /// Cache events of an engine: prefix blocks it now holds.
  CacheReported(Name, Vec<u64>),
  /// The answer to a listing.
  AttemptsListed(Name, Vec<HeldAttempt>),
  /// A batch of holds was extended.
  HoldsExtended(Name),
  /// A batch of holds could not be extended.
  HoldExtensionFailed(Name),
  /// A peer said something.
  Peer(Name, PeerMessage),
  /// The platform's box list.
  Boxes(Vec<BoxEntry>),
  /// A configuration is in force on this box.
  Configured(Arc<ConfigurationView>),
  /// This box holds its hall's steward lease until the time, with this fence.
  LeaseHeld {
    /// End of the lease on this box's clock, less the margin.
    until_ms: u64,
    /// Key-value revision of the lease's key.
    fence: u64,
  },
  /// An operator drains an endpoint, or takes it back.
  Drain(Name, bool),
  /// A planned stop begins.
  Stopping,
  /// Time has passed.
  Tick,
}
