//! Bounds how fast a stream's bytes that are no event are read. Free of I/O.
//!
//! Load pattern: an engine in trouble sends blank lines, comments or other bytes without data, as fast as they are read and without
//! end. Each block of lines takes the box time, however short it is, and its other requests wait meanwhile.
//!
//! Limits: a block counts with its bytes and [`BLOCK_OVERHEAD_BYTES`]. [`ALLOWANCE_BYTES`] may come at once: heartbeats, padding and
//! the rest of a garbled answer. Beyond that the stream is read at [`BYTES_PER_S`]. An event with data pays back
//! [`EVENT_CREDIT_BYTES`], so a ready answer with comments between its events is read without a pause.

/// What a block of lines counts in addition to its bytes.
const BLOCK_OVERHEAD_BYTES: f64 = 64.0;
/// What may be read without a pause.
const ALLOWANCE_BYTES: f64 = 128.0 * 1024.0;
/// A flood has ended when less is left than this.
const FLOOD_END_BYTES: f64 = ALLOWANCE_BYTES / 2.0;
/// The rate at which a flood is read.
const BYTES_PER_S: f64 = 128.0 * 1024.0;
/// What an event with data pays back.
const EVENT_CREDIT_BYTES: f64 = 1024.0;

/// The bytes of an answer that are no event and have been read lately.
///
/// ```
/// use rillford::gateway::NoiseBudget;
/// let mut budget = NoiseBudget::default();
/// budget.record_noise(64 * 1024, 0);
/// assert_eq!(budget.pause_ms(0), 0);
/// budget.record_noise(192 * 1024, 0);
/// assert_eq!(budget.pause_ms(0), 1_001);
/// assert_eq!(budget.pause_ms(400), 601);
/// assert!(budget.is_flood(1_100));
/// assert!(!budget.is_flood(2_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoiseBudget {
  read_bytes: f64,
  at_ms: u64,
  has_exceeded: bool,
}

impl NoiseBudget {
  /// A block of lines without data was read.
  pub fn record_noise(&mut self, bytes: usize, now_ms: u64) {
    self.read_bytes = self.bytes_at(now_ms) + bytes as f64 + BLOCK_OVERHEAD_BYTES;
    self.at_ms = now_ms;
    self.has_exceeded = self.is_flood(now_ms) || self.read_bytes > ALLOWANCE_BYTES;
  }

  /// An event with data was read.
  pub fn record_event(&mut self) {
    self.read_bytes = (self.read_bytes - EVENT_CREDIT_BYTES).max(0.0);
  }

  /// For how long nothing more should be read, in milliseconds.
  pub fn pause_ms(&self, now_ms: u64) -> u64 {
    let excess_bytes = self.bytes_at(now_ms) - ALLOWANCE_BYTES;
    (excess_bytes.max(0.0) / BYTES_PER_S * 1_000.0).ceil() as u64
  }

  /// Whether more came than may come without a pause, and goes on.
  pub fn is_flood(&self, now_ms: u64) -> bool {
    self.has_exceeded && self.bytes_at(now_ms) >= FLOOD_END_BYTES
  }

  fn bytes_at(&self, now_ms: u64) -> f64 {
    let passed_ms = now_ms.saturating_sub(self.at_ms);
    (self.read_bytes - passed_ms as f64 / 1_000.0 * BYTES_PER_S).max(0.0)
  }
}
