//! What the reader of a connection knows of it. Free of I/O.

use std::{
  cell::Cell,
  time::{Duration, Instant},
};

/// Bytes that are left unread for longer may hide the end of their connection.
const MAX_UNREAD: Duration = Duration::from_millis(100);

/// What the reader of a connection knows of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
  /// It waits for bytes, or for the end.
  #[default]
  Waiting,
  /// It has read bytes at a time, and may have left others unread.
  Reading(Instant),
  /// The connection has ended.
  Ended,
}

/// Whether a connection shows that the process at its other end runs.
///
/// ```
/// use rillford::gateway::ConnectionState;
/// let state = ConnectionState::default();
/// assert!(state.is_open());
/// state.record_end();
/// state.record_waiting();
/// assert!(!state.is_open());
/// ```
#[derive(Debug, Default)]
pub struct ConnectionState {
  phase: Cell<Phase>,
}

impl ConnectionState {
  /// Whether it is open, and its end would be noticed.
  pub fn is_open(&self) -> bool {
    match self.phase.get() {
      Phase::Waiting => true,
      Phase::Reading(since) => since.elapsed() < MAX_UNREAD,
      Phase::Ended => false,
    }
  }

  /// All that has arrived was read.
  pub fn record_waiting(&self) {
    self.set(Phase::Waiting);
  }

  /// Bytes have arrived, and more may have.
  pub fn record_bytes(&self) {
    self.set(Phase::Reading(Instant::now()));
  }

  /// It has ended or failed.
  pub fn record_end(&self) {
    self.set(Phase::Ended);
  }

  fn set(&self, phase: Phase) {
    if self.phase.get() != Phase::Ended {
      self.phase.set(phase);
    }
  }
}
