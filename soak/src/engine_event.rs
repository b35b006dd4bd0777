//! Events that engines report to the run.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// An event at an engine.
pub(crate) enum EngineEvent {
  /// The engine switched its role, so that its store entry must be updated.
  RoleChanged {
    /// The engine's place.
    place: usize,
  },
  /// A request crashed the engine.
  Crashed {
    /// The engine's place.
    place: usize,
    /// The engine's incarnation.
    incarnation: String,
  },
}

/// Sender for the events of engines.
pub(crate) type EngineEventSender = UnboundedSender<EngineEvent>;

/// Receiver for the events of engines.
pub(crate) type EngineEventReceiver = UnboundedReceiver<EngineEvent>;
