//! When callers leave a response for another box, and how soon they come back for their streams.

use {
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::time::Duration,
};

/// Share of resumable streams whose caller leaves for another box while the first one still writes.
const DEPARTURE_CHANCE: f64 = 0.15;
/// Events that the caller reads before it leaves.
const EVENTS_READ: (usize, usize) = (1, 12);
/// Share of departures that leave the connection open and unread for a while, and for how long.
const KEPT_OPEN_CHANCE: f64 = 0.5;
const KEPT_OPEN_MS: (u64, u64) = (50, 600);
/// Share of resumptions that are sent at once.
const QUICK_RETURN_CHANCE: f64 = 0.4;
/// Delay of the others, and after a rejection or a lost connection.
pub(crate) const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// A caller that leaves a response for another box.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departure {
  /// Events that it reads before.
  pub(crate) after_events: usize,
  /// How long the connection stays open and unread; zero if it is closed at once.
  pub(crate) kept_open: Duration,
}

/// The departures and returns of one caller, from a sequence of their own.
pub(crate) struct Departures(ChaCha8Rng);

impl Departures {
  pub(crate) fn new(caller_number: u64, seed: u64) -> Self {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // Callers' other choices have the streams from 1 on.
    random.set_stream(u64::MAX - caller_number);
    Self(random)
  }

  /// Whether the caller of the next stream leaves for another box.
  pub(crate) fn draw(&mut self) -> Option<Departure> {
    let leaves = self.0.random_bool(DEPARTURE_CHANCE);
    let after_events = self.0.random_range(EVENTS_READ.0..=EVENTS_READ.1);
    let is_kept = self.0.random_bool(KEPT_OPEN_CHANCE);
    let kept_ms = self.0.random_range(KEPT_OPEN_MS.0..=KEPT_OPEN_MS.1);
    leaves.then_some(Departure {
      after_events,
      kept_open: Duration::from_millis(if is_kept { kept_ms } else { 0 }),
    })
  }

  /// A draw of the box that the caller goes to.
  pub(crate) fn draw_box(&mut self) -> f64 {
    self.0.random()
  }

  /// Delay before the next request for a stream.
  pub(crate) fn return_delay(&mut self) -> Duration {
    let waits = !self.0.random_bool(QUICK_RETURN_CHANCE);
    RECONNECT_DELAY * u32::from(waits)
  }
}
