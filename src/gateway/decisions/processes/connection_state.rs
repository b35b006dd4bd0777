//! What the reader of a connection knows of it. Free of I/O.

use std::cell::Cell;

/// Bytes that are left unread for longer may hide the end of their connection.
const MAX_UNREAD_MS: u64 = 100;

/// What the reader of a connection knows of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
  /// It waits for bytes, or for the end.
  #[default]
  Waiting,
  /// It has read bytes at a time, in ms, and may have left others unread.
  Reading(u64),
  /// The connection has ended.
  Ended,
}

/// Whether a connection shows that the process at its other end runs.
///
/// ```
/// use rillford::gateway::ConnectionState;
/// let state = ConnectionState::new(|| 0);
/// assert!(state.is_open());
/// state.record_end();
/// state.record_waiting();
/// assert!(!state.is_open());
/// ```
#[derive(Debug)]
pub struct ConnectionState {
  phase: Cell<Phase>,
  /// A steady clock, in ms.
  clock_ms: fn() -> u64,
}

impl ConnectionState {
  /// The state of a connection that has just been opened.
  pub fn new(clock_ms: fn() -> u64) -> Self {
    Self {
      clock_ms,
      phase: Cell::default(),
    }
  }

  /// Whether it is open, and its end would be noticed.
  pub fn is_open(&self) -> bool {
    match self.phase.get() {
      Phase::Waiting => true,
      Phase::Reading(since_ms) => (self.clock_ms)() < since_ms + MAX_UNREAD_MS,
      Phase::Ended => false,
    }
  }

  /// All that has arrived was read.
  pub fn record_waiting(&self) {
    self.set(Phase::Waiting);
  }

  /// Bytes have arrived, and more may have.
  pub fn record_bytes(&self) {
    self.set(Phase::Reading((self.clock_ms)()));
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
