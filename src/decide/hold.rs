//! An engine's hold on an attempt, as known to the box that asked for it.

/// Extensions that are sent during a hold if each is acknowledged.
const EXTENSIONS_PER_HOLD: u64 = 3;
/// Extensions that are sent during a hold if none is acknowledged.
const REPEATS_PER_HOLD: u64 = 12;
/// The last part of a hold is left for delays of this box, so that it aborts the stream before the engine frees the
/// attempt.
const MARGINS_PER_HOLD: u64 = 6;

/// The time for which an engine certainly keeps an attempt: from when the box sent the command, which the engine received
/// later.
///
/// ```
/// use rillford::decide::Hold;
/// let hold = Hold { start_ms: 1_000, duration_ms: 6_000 };
/// assert_eq!(hold.extension_due_ms(), 3_000);
/// assert_eq!(hold.abort_due_ms(), 6_000);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
  pub start_ms: u64,
  pub duration_ms: u64,
}

impl Hold {
  /// When to send its first extension.
  pub fn extension_due_ms(&self) -> u64 {
    self.start_ms + self.duration_ms / EXTENSIONS_PER_HOLD
  }

  /// Interval at which an extension is repeated until it is acknowledged.
  pub fn repeat_interval_ms(&self) -> u64 {
    self.duration_ms / REPEATS_PER_HOLD
  }

  /// When to abort the attempt's stream if the hold was not extended.
  pub fn abort_due_ms(&self) -> u64 {
    self.start_ms + self.duration_ms - self.duration_ms / MARGINS_PER_HOLD
  }
}
