//! Bounds what is read of a body after its request's deadline. Free of I/O.
//!
//! Load pattern: an engine in trouble sends without end, as fast as it is read. A bound on bytes alone takes many seconds to reach
//! where they come in small pieces, or where a box reads many such streams.
//!
//! Limits: a caller that takes what it is given has got by the deadline what was ready, and reading ends [`MAX_LATE_MS`] after it. The
//! time begins with the first read after the deadline: a box that stood still until then delivers what is ready. A caller
//! that has left the body unread for [`MIN_UNREAD_MS`] may still get what its endpoint wrote in time, up to [`MAX_LATE_BYTES`] and with
//! [`MAX_LATE_MS`] in which nothing is ready.

/// What a caller that reads slowly may still get after the deadline: the longest response that is buffered.
const MAX_LATE_BYTES: usize = 4 * 1024 * 1024;
/// What a piece counts in addition to its bytes, since handling many small ones takes long.
const PIECE_OVERHEAD_BYTES: usize = 64;
/// For how long a body is read after the deadline for a caller that does not read slowly.
const MAX_LATE_MS: u64 = 250;
/// A caller that reads slowly leaves a body unread for this long in all.
const MIN_UNREAD_MS: u64 = 500;
/// Shorter pauses are no slow reading.
const MIN_PAUSE_MS: u64 = 10;

/// What is read after the deadline.
///
/// ```
/// use rillford::gateway::LateReading;
/// let mut late = LateReading::default();
/// // The box stood still at the deadline.
/// assert!(late.record(100, 1_000).is_ok());
/// assert!(late.record(100, 1_250).is_ok());
/// assert!(late.record(100, 1_251).is_err());
/// // The caller has left the body unread.
/// late.record_pause(2_000);
/// assert!(late.record(100, 2_000).is_ok());
/// assert!(late.record(4 * 1024 * 1024, 2_000).is_err());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LateReading {
  /// Read after the deadline.
  read_bytes: usize,
  /// How long after the deadline the first piece was read.
  first_late_ms: Option<u64>,
  /// Time for which nothing was ready after the deadline.
  waited_ms: u64,
  /// Time for which the caller has left the body unread.
  unread_ms: u64,
}

impl LateReading {
  /// The caller has taken nothing for some time.
  pub fn record_pause(&mut self, paused_ms: u64) {
    if paused_ms >= MIN_PAUSE_MS {
      self.unread_ms += paused_ms;
    }
  }

  /// Nothing was ready for some time after the deadline, and then a piece was.
  pub fn record_wait(&mut self, waited_ms: u64) {
    self.waited_ms += waited_ms;
  }

  /// Counts a piece that was read `late_ms` after the deadline.
  ///
  /// # Errors
  /// When too much was read after the deadline, or for too long.
  pub fn record(&mut self, bytes: usize, late_ms: u64) -> Result<(), String> {
    if late_ms > 0 {
      self.read_bytes += bytes + PIECE_OVERHEAD_BYTES;
      self.first_late_ms.get_or_insert(late_ms);
    }
    self.check(late_ms)
  }

  /// Checks what was read, `late_ms` after the deadline.
  ///
  /// # Errors
  /// As for [`LateReading::record`].
  pub fn check(&self, late_ms: u64) -> Result<(), String> {
    let is_slow = self.unread_ms >= MIN_UNREAD_MS;
    let reading_ms = late_ms - self.first_late_ms.unwrap_or(late_ms).min(late_ms);
    let bounded_ms = if is_slow { self.waited_ms } else { reading_ms };
    if self.read_bytes <= MAX_LATE_BYTES && bounded_ms <= MAX_LATE_MS {
      return Ok(());
    }
    Err(format!(
      "too long after the deadline: {} bytes in {reading_ms} ms until {late_ms} ms after it, left unread for {} ms",
      self.read_bytes, self.unread_ms
    ))
  }
}
