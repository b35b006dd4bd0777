//! How fast a box gets slots of one service while its engines are full. Free of I/O.
//!
//! Load pattern: a burst fills all engines, and each box gets few slots. Slots alone tell little then: a box that gets none learns
//! nothing from them. The rate is slots by time in which requests asked in vain, so that waits that ended without a slot count. The
//! verdict takes into account how little is known (a gamma distribution of the rate): a request is rejected at once only after
//! engines reported themselves full for long enough. What is known fades with [`MEMORY_MS`], so that a request tries again
//! soon after.

/// Time constant with which observations fade: about the length of a stream, after which other requests hold the slots.
const MEMORY_MS: f64 = 3_000.0;
/// Longest time from one engine that reported itself full to the next event of a request that goes on asking. A longer time tells
/// that it no longer asks.
const MAX_ASKING_MS: u64 = 100;
/// Time constant of the slots obtained with or without competition.
const OBTAINED_MEMORY_MS: f64 = 10_000.0;
/// Slots that are assumed in addition to those observed (Jeffreys' prior of a Poisson rate).
const PRIOR_SLOTS: f64 = 0.5;
/// A request is rejected at once when its probability of a slot in time is below this.
const MIN_PROBABILITY: f64 = 0.1;

/// Least fraction of the slots that callers who return get: they go before new callers of their priority.
const MIN_ROOM_SHARE: f64 = 0.25;
/// A request goes on waiting beyond the time in which a rejection is useful when its probability of a slot is at least this: a caller
/// who is rejected in that time and served later has half of the value.
const MIN_WAIT_PROBABILITY: f64 = 0.5;

/// A sum that fades with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct FadingSum {
  value: f64,
  at_ms: u64,
}

impl FadingSum {
  fn at(&self, now_ms: u64, memory_ms: f64) -> f64 {
    let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
    self.value * (-age_ms / memory_ms).exp()
  }

  fn add(&mut self, value: f64, now_ms: u64, memory_ms: f64) {
    self.value = self.at(now_ms, memory_ms) + value;
    self.at_ms = self.at_ms.max(now_ms);
  }
}

/// What one box knows about the slots of one service.
///
/// ```
/// use rillford::gateway::SlotSupply;
/// let mut supply = SlotSupply::default();
/// assert!(supply.has_chance(3, 180, 0));
/// // Engines reported themselves full for a second and a half.
/// for at_ms in (0..=1_500).step_by(20) {
///   supply.record_full(at_ms);
/// }
/// supply.record_idle(1_500);
/// assert!(!supply.has_chance(0, 180, 1_500));
/// // Some seconds later, a request tries again.
/// assert!(supply.has_chance(0, 180, 9_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotSupply {
  /// Since when requests have been asking in vain, as far as it is not in `contended_ms` yet.
  contended_since_ms: Option<u64>,
  /// Time in which requests asked and engines were full.
  contended_ms: FadingSum,
  /// Slots obtained in that time.
  contended_slots: FadingSum,
  /// All slots obtained.
  obtained_slots: FadingSum,
  /// New callers' requests.
  arrivals: FadingSum,
}

impl SlotSupply {
  /// Records that an engine reported itself full to a request that asked for a slot.
  pub fn record_full(&mut self, now_ms: u64) {
    self.count_contended(now_ms);
    self.contended_since_ms = Some(now_ms);
  }

  /// Records that a request got a slot.
  pub fn record_slot(&mut self, now_ms: u64) {
    self.obtained_slots.add(1.0, now_ms, OBTAINED_MEMORY_MS);
    let asking_since_ms = now_ms.saturating_sub(MAX_ASKING_MS);
    let is_contended = self
      .contended_since_ms
      .is_some_and(|since_ms| since_ms >= asking_since_ms);
    self.count_contended(now_ms);
    if is_contended {
      self.contended_slots.add(1.0, now_ms, MEMORY_MS);
    }
  }

  /// Records that no request asks for a slot any longer.
  pub fn record_idle(&mut self, now_ms: u64) {
    self.count_contended(now_ms);
    self.contended_since_ms = None;
  }

  /// Whether a request with `ahead` others before it may get a slot within a time.
  pub fn has_chance(&self, ahead: usize, within_ms: u64, now_ms: u64) -> bool {
    self.probability(ahead, within_ms, now_ms) >= MIN_PROBABILITY
  }

  /// Whether a request that is still in time for a useful rejection should go on waiting, with `ahead` others before it.
  pub fn is_likely(&self, ahead: usize, within_ms: u64, now_ms: u64) -> bool {
    self.probability(ahead, within_ms, now_ms) >= MIN_WAIT_PROBABILITY
  }

  /// The probability that more than `ahead` slots are obtained within a time, from 0 to 1; 1 when nothing was observed.
  ///
  /// ```
  /// use rillford::gateway::SlotSupply;
  /// let mut supply = SlotSupply::default();
  /// for at_ms in (0..=100).step_by(20) {
  ///   supply.record_full(at_ms);
  /// }
  /// // After 100 ms without a slot, the chance to get one within 300 ms is still one half.
  /// assert_eq!((supply.probability(0, 300, 100) * 10.0).round(), 5.0);
  /// ```
  pub fn probability(&self, ahead: usize, within_ms: u64, now_ms: u64) -> f64 {
    let contended_ms = self.contended_ms.at(now_ms, MEMORY_MS) + self.uncounted_ms(now_ms);
    if contended_ms < 1.0 {
      return 1.0;
    }
    let shape = PRIOR_SLOTS + self.contended_slots.at(now_ms, MEMORY_MS);
    let within_ms = within_ms as f64;
    let share = within_ms / (contended_ms + within_ms);
    let mut term = (1.0 - share).powf(shape);
    let mut up_to_ahead = term;
    for count in 1..=ahead {
      term *= share * (count as f64 - 1.0 + shape) / count as f64;
      up_to_ahead += term;
    }
    1.0 - up_to_ahead
  }

  /// The rate of slots for callers who return: what new callers leave, a share at least; `None` when engines were not full lately, since a box gets as
  /// many slots as it asks for then. New callers of all priorities count: engines grant slots in order of arrival.
  ///
  /// ```
  /// use rillford::gateway::SlotSupply;
  /// let mut supply = SlotSupply::default();
  /// assert_eq!(supply.room_per_s(0), None);
  /// for at_ms in (0..30_000).step_by(100) {
  ///   supply.record_full(at_ms);
  ///   supply.record_slot(at_ms);
  ///   if at_ms % 200 == 0 {
  ///     supply.record_arrival(at_ms);
  ///   }
  /// }
  /// // Ten slots a second, of which new callers need five.
  /// assert_eq!(supply.room_per_s(30_000).map(f64::round), Some(5.0));
  /// ```
  pub fn room_per_s(&self, now_ms: u64) -> Option<f64> {
    if !self.were_full_lately(now_ms) {
      return None;
    }
    let obtained = self.obtained_slots.at(now_ms, OBTAINED_MEMORY_MS);
    let needed = self.arrivals.at(now_ms, OBTAINED_MEMORY_MS);
    Some((obtained - needed).max(obtained * MIN_ROOM_SHARE) * 1_000.0 / OBTAINED_MEMORY_MS)
  }

  /// Records that a new caller's request asks for a slot.
  pub fn record_arrival(&mut self, now_ms: u64) {
    self.arrivals.add(1.0, now_ms, OBTAINED_MEMORY_MS);
  }

  /// Whether an engine reported itself full lately, also in this millisecond.
  fn were_full_lately(&self, now_ms: u64) -> bool {
    self.contended_since_ms.is_some() || self.contended_ms.at(now_ms, MEMORY_MS) >= 1.0
  }

  fn uncounted_ms(&self, now_ms: u64) -> f64 {
    let since_ms = self.contended_since_ms.unwrap_or(now_ms);
    now_ms.saturating_sub(since_ms).min(MAX_ASKING_MS) as f64
  }

  fn count_contended(&mut self, now_ms: u64) {
    let passed_ms = self.uncounted_ms(now_ms);
    self.contended_ms.add(passed_ms, now_ms, MEMORY_MS);
    self.contended_since_ms = self.contended_since_ms.map(|_| now_ms);
  }
}
