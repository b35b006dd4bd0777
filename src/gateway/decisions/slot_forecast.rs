//! What a box expects of the engines' seats, from those that it got. Free of I/O.

/// Weight of the newest seat or stream in the moving means.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time between seats, and length of a stream, before any was seen: streams of the users' sites last about this long.
const UNSEEN_STREAM_MS: f64 = 3_500.0;
/// A request whose chance of a seat in time is below this is refused at once.
const LEAST_CHANCE: f64 = 0.1;
/// A caller comes back when the seats that are taken now have come free: so many mean lengths of a stream later. Sooner
/// (0.7 to 1.3) fewer were served.
const RETURN_SPREAD: (f64, f64) = (1.0, 1.8);

/// The moving means of one box.
///
/// ```
/// use rillford::gateway::SlotForecast;
/// let mut forecast = SlotForecast::default();
/// assert!(forecast.has_chance(5, 400));
/// for at_ms in [0, 500, 1_000, 1_500] {
///   forecast.record_slot(at_ms, true);
/// }
/// // A seat comes each half second: the next one may come in 400 ms, the sixth does not.
/// assert!(forecast.has_chance(0, 400));
/// assert!(!forecast.has_chance(5, 400));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotForecast {
  /// When a seat was last got, if requests have waited ever since.
  waited_since_ms: Option<u64>,
  /// Time between two seats while requests wait.
  interval_ms: Option<f64>,
  /// Length of a stream.
  stream_ms: Option<f64>,
}

impl SlotForecast {
  /// A request got a seat; `others_wait` tells whether further ones look for one.
  pub fn record_slot(&mut self, now_ms: u64, others_wait: bool) {
    if let Some(since_ms) = self.waited_since_ms {
      let took_ms = now_ms.saturating_sub(since_ms);
      self.interval_ms = Some(moved(self.interval_ms, took_ms));
    }
    self.waited_since_ms = others_wait.then_some(now_ms);
  }

  /// No request looks for a seat any more.
  pub fn record_idle(&mut self) {
    self.waited_since_ms = None;
  }

  /// A stream came to its end.
  pub fn record_stream(&mut self, took_ms: u64) {
    self.stream_ms = Some(moved(self.stream_ms, took_ms));
  }

  /// Time between two seats while requests wait; nothing before any was seen.
  pub fn interval_ms(&self) -> Option<u64> {
    self.interval_ms.map(|interval_ms| interval_ms as u64)
  }

  /// Whether a request with so many ahead of it may get a seat within a time. Seats are taken to come at random.
  pub fn has_chance(&self, ahead: usize, within_ms: u64) -> bool {
    let Some(interval_ms) = self.interval_ms else {
      return true;
    };
    let seats = within_ms as f64 / interval_ms.max(1.0);
    chance_of_more_than(ahead, seats) >= LEAST_CHANCE
  }

  /// When a caller without a seat is to come back; `draw` from 0 to 1 spreads those who do.
  pub fn retry_after_ms(&self, draw: f64) -> u64 {
    let (least, most) = RETURN_SPREAD;
    let stream_ms = self.stream_ms.unwrap_or(UNSEEN_STREAM_MS);
    (stream_ms * (least + draw * (most - least))) as u64
  }
}

fn moved(mean: Option<f64>, newest_ms: u64) -> f64 {
  let newest_ms = newest_ms as f64;
  let mean = mean.unwrap_or(newest_ms);
  mean + NEWEST_WEIGHT * (newest_ms - mean)
}

/// The chance that a Poisson variable of a mean is above a count.
fn chance_of_more_than(count: usize, mean: f64) -> f64 {
  let mut term = (-mean).exp();
  let mut up_to_count = term;
  for number in 1..=count {
    term *= mean / number as f64;
    up_to_count += term;
  }
  1.0 - up_to_count
}
