//! What was made to misbehave, and when.

/// What a disturbance struck.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
  /// A box's process, or its connections.
  Box(usize),
  /// A box that was told to stop, until it is up again.
  Leaving(usize),
  /// The way from one box to the store.
  StoreLink(usize),
  /// An endpoint's place: its process, its answers or its connections.
  Endpoint(usize),
  /// The store.
  Store,
}

/// A time in which something was made to misbehave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Disturbance {
  /// What.
  pub target: Target,
  /// Since when.
  pub from_ms: u64,
  /// Until when; nothing while it lasts.
  pub until_ms: Option<u64>,
}
