//! A box's forecast of free batch slots, from those that it got. Free of I/O.

/// Weight of the newest slot or stream in the moving averages.
const NEWEST_WEIGHT: f64 = 0.15;
/// Assumed length of a stream before any was observed.
const DEFAULT_STREAM_MS: f64 = 3_500.0;
/// A request is rejected at once when its probability of a slot in time is below this.
const MIN_PROBABILITY: f64 = 0.1;
/// A rejected caller returns when the slots in use have become free: after this range of mean stream lengths.
const RETURN_SPREAD: (f64, f64) = (1.0, 1.8);

/// The moving averages of one box.
///
/// ```
/// use rillford::gateway::SlotForecast;
/// let mut forecast = SlotForecast::default();
/// assert!(forecast.has_chance(5, 400));
/// for at_ms in [0, 500, 1_000, 1_500] {
///   forecast.record_slot(at_ms, true);
/// }
/// // A slot becomes free each half second: the next one may come within 400 ms, the sixth does not.
/// assert!(forecast.has_chance(0, 400));
/// assert!(!forecast.has_chance(5, 400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotForecast {
  /// When a slot was last obtained, if requests have been waiting since.
  waiting_since_ms: Option<u64>,
  /// Mean time between two slots while requests wait.
  interval_ms: Option<f64>,
  /// Mean length of a stream.
  stream_ms: Option<f64>,
}

impl SlotForecast {
  /// Records that a request got a slot; `others_wait` tells whether further requests wait for one.
  pub fn record_slot(&mut self, now_ms: u64, others_wait: bool) {
    if let Some(since_ms) = self.waiting_since_ms {
      let took_ms = now_ms.saturating_sub(since_ms);
      self.interval_ms = Some(moving_average(self.interval_ms, took_ms));
    }
    self.waiting_since_ms = others_wait.then_some(now_ms);
  }

  /// Records that no request waits for a slot.
  pub fn record_idle(&mut self) {
    self.waiting_since_ms = None;
  }

  /// Records the length of a finished stream.
  pub fn record_stream(&mut self, took_ms: u64) {
    self.stream_ms = Some(moving_average(self.stream_ms, took_ms));
  }

  /// Mean time between two slots while requests wait; `None` before any was observed.
  pub fn interval_ms(&self) -> Option<u64> {
    self.interval_ms.map(|interval_ms| interval_ms as u64)
  }

  /// Whether a request with `ahead` others before it may get a slot within a time, if slots become free as a Poisson
  /// process.
  pub fn has_chance(&self, ahead: usize, within_ms: u64) -> bool {
    let Some(interval_ms) = self.interval_ms else {
      return true;
    };
    let slots = within_ms as f64 / interval_ms.max(1.0);
    probability_of_more_than(ahead, slots) >= MIN_PROBABILITY
  }

  /// The retry-after delay of a caller without a slot; `draw` from 0 to 1 spreads callers.
  pub fn retry_after_ms(&self, draw: f64) -> u64 {
    let (min, max) = RETURN_SPREAD;
    let stream_ms = self.stream_ms.unwrap_or(DEFAULT_STREAM_MS);
    (stream_ms * (min + draw * (max - min))) as u64
  }
}

fn moving_average(mean: Option<f64>, newest_ms: u64) -> f64 {
  let newest_ms = newest_ms as f64;
  let mean = mean.unwrap_or(newest_ms);
  mean + NEWEST_WEIGHT * (newest_ms - mean)
}

/// The probability that a Poisson variable with a mean exceeds a count.
fn probability_of_more_than(count: usize, mean: f64) -> f64 {
  let mut term = (-mean).exp();
  let mut up_to_count = term;
  for number in 1..=count {
    term *= mean / number as f64;
    up_to_count += term;
  }
  1.0 - up_to_count
}
