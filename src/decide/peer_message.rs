//! Messages between boxes.

use {
  super::LoadReport,
  crate::ids::{AttemptId, Name},
  serde::{Deserialize, Serialize},
};

/// The applied revision of one configuration document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentRevision {
  pub key: Name,
  pub revision: u64,
}

/// A configuration document, as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
  pub key: Name,
  /// Its revision in the store.
  pub revision: u64,
  /// JSON.
  pub text: Name,
}

/// A periodic message that shows that a box is live.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
  /// Start of the sender's process; higher is later.
  pub incarnation: u64,
  pub leaving: bool,
  pub leaving_endpoints: Vec<LeavingEndpoint>,
  /// Load of endpoints that the sender owns.
  pub loads: Vec<LoadReport>,
  /// Digest of the configuration revisions that the sender has applied.
  pub configuration_digest: u64,
  /// The highest applied revision.
  pub latest_revision: u64,
}

/// An endpoint that is leaving.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeavingEndpoint {
  pub endpoint: Name,
  /// The incarnation that is leaving; a higher one has returned.
  pub incarnation: u64,
}

/// A request to the owner of a decode engine for a batch slot and a window of its link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
  pub attempt: AttemptId,
  pub engine: Name,
  /// Expected time until prefill is done.
  pub ready_in_ms: u64,
  /// Expected time for which the slot is used after that.
  pub hold_ms: u64,
  /// Bytes to transfer over the engine's link.
  pub kv_bytes: u64,
}

/// The owner's response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotResponse {
  pub attempt: AttemptId,
  pub engine: Name,
  /// Whether the slot is reserved.
  pub granted: bool,
  /// Wait for the link window after `ready_in_ms`.
  pub link_wait_ms: u64,
}

/// A message between boxes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
  Heartbeat(Heartbeat),
  SlotRequest(SlotRequest),
  SlotResponse(SlotResponse),
  /// Returns a slot.
  SlotReturn(AttemptId, Name),
  /// A slot is free again at an engine for which the receiver's request was rejected.
  SlotFreed(Name),
  /// Requests documents of higher revisions than this one; sent by a box that has fallen behind.
  DocumentsAfter(u64),
  /// Requests documents newer than these; sent by a box that has missed one in between.
  DocumentsWanted(Vec<DocumentRevision>),
  Documents(Vec<Document>),
}
