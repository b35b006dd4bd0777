//! Tells a response that its endpoint aborted because this box left it unread from one that the endpoint failed to deliver.
//!
//! Load pattern: callers that read slowly. The box then leaves an endpoint's response unread, and the endpoint aborts it after
//! some seconds, which says nothing about the endpoint's health.

/// Time for which a response has been left unread before its abort is attributed to that: endpoints wait for seconds.
const MIN_UNREAD_MS: u64 = 500;
/// Shorter pauses leave nothing unread: the connection's buffers take what arrives in them.
const MIN_PAUSE_MS: u64 = 10;
/// A read that waited this long found nothing unread: whatever arrived before had been read.
const CAUGHT_UP_WAIT_MS: u64 = 50;
/// Time of reading without a pause after which nothing is unread even if no read had to wait.
const CAUGHT_UP_READ_MS: u64 = 1_000;

/// For how long a response has been left unread since the box last caught up with its endpoint.
///
/// ```
/// use rillford::gateway::UnreadTime;
/// let mut unread = UnreadTime::default();
/// unread.record_pause(2_000, 5_000);
/// unread.record_read(3, 5_003);
/// assert_eq!(unread.unread_ms(), Some(2_000));
/// unread.record_read(200, 5_203);
/// assert_eq!(unread.unread_ms(), None);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnreadTime {
  paused_ms: u64,
  resumed_ms: u64,
}

impl UnreadTime {
  /// Reading was paused for some time, until now.
  pub fn record_pause(&mut self, paused_ms: u64, now_ms: u64) {
    if paused_ms >= MIN_PAUSE_MS {
      self.paused_ms += paused_ms;
      self.resumed_ms = now_ms;
    }
  }

  /// A read that waited for some time has returned data now.
  pub fn record_read(&mut self, waited_ms: u64, now_ms: u64) {
    let reading_ms = now_ms.saturating_sub(self.resumed_ms);
    if waited_ms >= CAUGHT_UP_WAIT_MS || reading_ms >= CAUGHT_UP_READ_MS {
      self.paused_ms = 0;
    }
  }

  /// For how long the response was left unread, if that explains an abort.
  pub fn unread_ms(&self) -> Option<u64> {
    (self.paused_ms >= MIN_UNREAD_MS).then_some(self.paused_ms)
  }
}
