//! A hybrid logical clock: wall time where clocks agree, and cause before effect where they don't.

use {
  serde::{Deserialize, Serialize},
  std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
  },
};

const COUNTER_BITS: u32 = 16;

/// A stamp: milliseconds of the Unix epoch above, a counter below.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp(pub u64);

impl Stamp {
  /// The wall time of the stamp.
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

/// A clock that never goes back and is later than all that it has heard of.
#[derive(Debug, Default)]
pub struct HybridClock(AtomicU64);

impl HybridClock {
  /// A stamp for an event now.
  pub fn tick(&self) -> Stamp {
    self.tick_at(unix_ms())
  }

  /// A stamp for an event at a wall time.
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

  /// A stamp of another process was heard: later events get later stamps.
  pub fn heard(&self, stamp: Stamp) {
    self.0.fetch_max(stamp.0, Ordering::SeqCst);
  }
}

/// Milliseconds of the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
  SystemTime::now()
    .duration_since(UNIX_EPOCH)
    .map_or(0, |since| {
      u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
