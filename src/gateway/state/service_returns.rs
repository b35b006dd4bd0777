//! What a box knows about the room at a service's endpoints, and the return times that it handed out for it.

use crate::gateway::decisions::{ReturnSchedule, SlotSupply};

/// The state of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceReturns {
  /// How fast the box gets slots, or answers of plain endpoints.
  pub(crate) supply: SlotSupply,
  /// The times after which rejected callers return.
  pub(crate) schedule: ReturnSchedule,
}
