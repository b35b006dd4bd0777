//! The mutable state of an endpoint.

use {
  super::{
    endpoint_kind::EndpointKind,
    fault::{EndpointFault, Losses, Strays},
  },
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// The mutable state of an endpoint.
pub(crate) struct EndpointState {
  pub(crate) kind: EndpointKind,
  /// Batch slots of an engine.
  pub(crate) slots: usize,
  /// Number of slots in use.
  pub(crate) running: usize,
  /// Expiry time of each reserved slot, by reservation id.
  pub(crate) holds: HashMap<String, Instant>,
  /// Last number assigned to a reservation, an exported prompt or a run.
  pub(crate) last_number: u64,
  pub(crate) commands_taken: u64,
  /// Time until role orders take effect, which are not answered meanwhile.
  pub(crate) order_delay: Option<Duration>,
  /// Whether a role switch is in progress.
  pub(crate) switching: bool,
  pub(crate) fault: Option<EndpointFault>,
  /// Responses that are lost.
  pub(crate) losses: Option<Losses>,
  /// Stray bytes besides its responses.
  pub(crate) strays: Option<Strays>,
  /// Share of its answers that it garbles.
  pub(crate) garbled_percent: Option<u8>,
  /// Whether its responses signal that it is leaving.
  pub(crate) leaving: bool,
  /// Limit that its responses advertise.
  pub(crate) limit_per_s: Option<u32>,
}

impl EndpointState {
  pub(crate) fn new(kind: EndpointKind, slots: usize) -> Self {
    Self {
      fault: None,
      holds: HashMap::new(),
      last_number: 0,
      leaving: false,
      losses: None,
      strays: None,
      garbled_percent: None,
      limit_per_s: None,
      commands_taken: 0,
      order_delay: None,
      kind,
      running: 0,
      slots,
      switching: false,
    }
  }

  /// Returns the next number for a reservation, an exported prompt or a run.
  pub(crate) fn next_number(&mut self) -> u64 {
    self.last_number += 1;
    self.last_number
  }

  /// Removes expired reservations and returns whether a slot is free.
  pub(crate) fn has_free_slot(&mut self) -> bool {
    let now = Instant::now();
    self.holds.retain(|_, until| now < *until);
    self.running + self.holds.len() < self.slots
  }
}
