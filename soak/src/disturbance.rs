//! Periods in which a component was disturbed.

/// The component that was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
  /// A box's process or its connections.
  Box(usize),
  /// A box from its stop signal until it is up again.
  Leaving(usize),
  /// The connections of a box to all endpoints.
  EndpointPaths(usize),
  /// The connections of a box, the first number, to the endpoint at a place.
  EndpointPath(usize, usize),
  /// Connections of a box to other boxes.
  BoxPaths(usize),
  /// The connection of a box to the store.
  StoreLink(usize),
  /// The endpoint at a place: its process, responses or connections.
  Endpoint(usize),
  /// The engine at a place, which is sound but silent.
  SilentEngine(usize),
  /// The store.
  Store,
}

/// A period in which a component was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Disturbance {
  /// The component.
  pub target: Target,
  /// Start of the period.
  pub from_ms: u64,
  /// End of the period; `None` while it lasts.
  pub until_ms: Option<u64>,
}
