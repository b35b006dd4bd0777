//! A hybrid logical clock: close to wall time, and never earlier for an effect than for its cause.

use {
  serde::{Deserialize, Serialize},
  std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
  },
};

const COUNTER_BITS: u32 = 16;

/// A timestamp: milliseconds since the Unix epoch in the high bits, a counter in the low 16 bits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp(pub u64);

impl Stamp {
  /// The wall-clock part.
  ///
  /// ```
  /// use rillford::observe::HybridClock;
  /// let clock = HybridClock::default();
  /// assert_eq!(clock.tick_at(5).unix_ms(), 5);
  /// ```
  pub fn unix_ms(self) -> u64 {
    self.0 >> COUNTER_BITS
  }
}

/// A monotonic clock that is later than every timestamp it has received.
#[derive(Debug, Default)]
pub struct HybridClock(AtomicU64);

impl HybridClock {
  /// Issues a timestamp for a local event.
  pub fn tick(&self) -> Stamp {
    self.tick_at(unix_ms())
  }

  /// Issues a timestamp for a local event at a given wall time.
  ///
  /// ```
  /// use rillford::observe::HybridClock;
  /// let clock = HybridClock::default();
  /// let first = clock.tick_at(9);
  /// assert!(clock.tick_at(3) > first);
  /// ```
  pub fn tick_at(&self, unix_ms: u64) -> Stamp {
    let wall = unix_ms << COUNTER_BITS;
    let next = |last: u64| wall.max(last + 1);
    let last = self
      .0
      .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |last| Some(next(last)))
      .unwrap_or_default();
    Stamp(next(last))
  }

  /// Advances the clock past a timestamp received from another process.
  pub fn update(&self, received: Stamp) {
    self.0.fetch_max(received.0, Ordering::SeqCst);
  }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
  SystemTime::now()
    .duration_since(UNIX_EPOCH)
    .map_or(0, |since| {
      u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
