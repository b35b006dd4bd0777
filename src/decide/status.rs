//! The status page of a box; its field names are those of the JSON.

use {
  super::Role,
  crate::ids::Name,
  serde::{Deserialize, Serialize},
};

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
  /// No report has arrived yet.
  Unseen,
  Live,
  /// Not responding; gets no new work.
  Suspect,
  /// Drained or stopping; gets no new work.
  Leaving,
}

/// This box's view of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointStatus {
  pub name: Name,
  pub hall: Name,
  pub state: EndpointState,
  pub role: Option<Role>,
  /// Batch slots in use.
  pub used_seats: u32,
  /// Batch slots.
  pub seats: u32,
  /// Predicted time to prefill the queued prompts.
  pub queue_tokens_ms: u64,
  /// The box that owns the endpoint.
  pub home: Option<Name>,
}

/// This box's view of a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
  pub name: Name,
  pub hall: Name,
  pub live: bool,
  pub leaving: bool,
}

/// The status of a box.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
  /// Whether the box accepts requests.
  pub ready: bool,
  pub stopping: bool,
  /// Requests in progress, including queued ones.
  pub in_progress: usize,
  /// Queued requests.
  pub waiting: usize,
  /// Commands that are open or being cancelled at endpoints.
  pub open_orders: usize,
  /// Batch slots granted as owner of decode engines.
  pub seats_granted: usize,
  /// Whether the box holds the lease of its hall's role leader.
  pub steward: bool,
  /// Digest of the applied configuration revisions.
  pub configuration_digest: u64,
  pub endpoints: Vec<EndpointStatus>,
  pub peers: Vec<PeerStatus>,
}
