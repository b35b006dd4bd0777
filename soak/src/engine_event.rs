//! What engines tell the run of themselves.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// Something that happened to an engine.
pub(crate) enum EngineEvent {
  /// It changed its role: its entry has to follow.
  RoleChanged {
    /// Where it is.
    place: usize,
  },
  /// A request ended it.
  Crashed {
    /// Where it was.
    place: usize,
    /// Its id.
    incarnation: String,
  },
}

/// Where engines tell it.
pub(crate) type EngineEventSender = UnboundedSender<EngineEvent>;

/// Where the run hears it.
pub(crate) type EngineEventReceiver = UnboundedReceiver<EngineEvent>;
