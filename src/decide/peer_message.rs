//! Messages between boxes.

use {
  super::LoadReport,
  crate::ids::{AttemptId, Name},
  serde::{Deserialize, Serialize},
};

/// The highest revision applied of one configuration document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentRevision {
  /// The document's key.
  pub key: Name,
  /// Its revision.
  pub revision: u64,
}

/// One configuration document, as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
  /// The document's key.
  pub key: Name,
  /// Its revision in the platform's service.
  pub revision: u64,
  /// Its JSON text.
  pub text: Name,
}

/// A box's sign of request_machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
  /// The sender's start; higher is later.
  pub incarnation: u64,
  /// Whether the sender is stopping.
  pub leaving: bool,
  /// Endpoints that the sender knows to be leaving, with their incarnations.
  pub leaving_endpoints: Vec<LeavingEndpoint>,
  /// Load of the endpoints that the sender is home of.
  pub loads: Vec<LoadReport>,
  /// Digest of all configuration revisions that the sender has applied.
  pub configuration_digest: u64,
  /// The highest of these revisions.
  pub latest_revision: u64,
}

/// An endpoint that is on its way out.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeavingEndpoint {
  /// The endpoint.
  pub endpoint: Name,
  /// The incarnation that is leaving; a higher one has come back.
  pub incarnation: u64,
}

/// A box asks the home of a decode engine for a seat and a link window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
  /// The attempt.
  pub attempt: AttemptId,
  /// The decode engine.
  pub engine: Name,
  /// When the prefill is expected to be done, counted from now.
  pub ready_in_ms: u64,
  /// How long the seat is expected to be held after that.
  pub hold_ms: u64,
  /// Bytes to move over the engine's link.
  pub kv_bytes: u64,
}

/// The home's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotResponse {
  /// The attempt.
  pub attempt: AttemptId,
  /// The decode engine.
  pub engine: Name,
  /// Whether the seat is reserved.
  pub granted: bool,
  /// Wait for the link window beyond the time asked for.
  pub link_wait_ms: u64,
}

/// What one box tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
  /// A sign of request_machine.
  Heartbeat(Heartbeat),
  /// Asks for a seat.
  SlotRequest(SlotRequest),
  /// Answers an ask.
  SlotResponse(SlotResponse),
  /// Gives a seat back.
  SlotReturn(AttemptId, Name),
  /// A seat is free again at an engine that refused the receiver.
  SlotFreed(Name),
  /// Asks for documents of higher revisions than this: enough for who has only fallen behind.
  DocumentsAfter(u64),
  /// Asks for documents newer than these: for who has missed one in between.
  DocumentsWanted(Vec<DocumentRevision>),
  /// Documents that the sender has applied.
  Documents(Vec<Document>),
}
