//! What an operator can see of a box.

use {
  super::Role,
  crate::ids::Name,
  serde::{Deserialize, Serialize},
};

/// An endpoint's state, as a word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
  /// Never heard of.
  Unseen,
  /// Gets new work.
  Live,
  /// Silent; gets no new work.
  Suspect,
  /// Leaving; gets no new work.
  Leaving,
}

/// One endpoint as this box sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointStatus {
  /// Its name.
  pub name: Name,
  /// Its hall.
  pub hall: Name,
  /// Its state.
  pub state: EndpointState,
  /// Its role.
  pub role: Option<Role>,
  /// Seats taken.
  pub used_seats: u32,
  /// Seats it has.
  pub seats: u32,
  /// Prompt tokens that wait.
  pub queue_tokens_ms: u64,
  /// The box that is its home.
  pub home: Option<Name>,
}

/// One peer as this box sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
  /// Its name.
  pub name: Name,
  /// Its hall.
  pub hall: Name,
  /// Whether it counts as alive.
  pub live: bool,
  /// Whether it is stopping.
  pub leaving: bool,
}

/// A box as it sees itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
  /// Whether it takes requests.
  pub ready: bool,
  /// Whether it is stopping.
  pub stopping: bool,
  /// Requests in progress, waiting ones included.
  pub in_progress: usize,
  /// Requests that wait.
  pub waiting: usize,
  /// OpenCommands open or being cancelled at endpoints.
  pub open_orders: usize,
  /// Seats granted as home.
  pub seats_granted: usize,
  /// Whether it holds its hall's steward lease.
  pub steward: bool,
  /// Digest of the configuration in force.
  pub configuration_digest: u64,
  /// All endpoints.
  pub endpoints: Vec<EndpointStatus>,
  /// All peers.
  pub peers: Vec<PeerStatus>,
}
