//! What of an endpoint changes.

use {
  super::{endpoint_kind::EndpointKind, fault::EndpointFault},
  std::{collections::HashMap, time::Instant},
};

/// Requests that an engine holds at once.
pub(crate) const SLOTS: usize = 8;

/// What of an endpoint changes.
pub(crate) struct EndpointState {
  pub(crate) kind: EndpointKind,
  /// Seats that are taken.
  pub(crate) running: usize,
  /// Seats that are reserved, until when.
  pub(crate) holds: HashMap<String, Instant>,
  /// Numbers the reservations and prompts.
  pub(crate) last_number: u64,
  pub(crate) commands_taken: u64,
  /// Whether it is changing its role.
  pub(crate) switching: bool,
  pub(crate) fault: Option<EndpointFault>,
  /// Whether all of its answers say that it leaves.
  pub(crate) leaving: bool,
  /// The limit that all of its answers name.
  pub(crate) limit_per_s: Option<u32>,
}

impl EndpointState {
  pub(crate) fn new(kind: EndpointKind) -> Self {
    Self {
      fault: None,
      holds: HashMap::new(),
      last_number: 0,
      leaving: false,
      limit_per_s: None,
      commands_taken: 0,
      kind,
      running: 0,
      switching: false,
    }
  }

  /// A number that no earlier reservation or prompt has.
  pub(crate) fn next_number(&mut self) -> u64 {
    self.last_number += 1;
    self.last_number
  }

  /// Whether a seat is free; forgets the reservations that are over.
  pub(crate) fn has_free_slot(&mut self) -> bool {
    let now = Instant::now();
    self.holds.retain(|_, until| now < *until);
    self.running + self.holds.len() < SLOTS
  }
}
