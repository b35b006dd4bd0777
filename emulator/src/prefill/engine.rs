//! A prefill engine of the simulation: prompts one after the other, on a machine that slows down now and then.

use {rand::RngExt, rand_chacha::ChaCha8Rng, std::collections::VecDeque};

/// Relative speeds of the engines.
pub(super) const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const TOKENS_PER_MS: f64 = 55.0;
/// Duration of work on a slowed machine relative to the usual.
const SLOWDOWN: f64 = 2.5;
const SLOW_MS: f64 = 600.0;
/// Mean time between slowdowns, so that a machine is slowed 15% of the time.
const MEAN_USUAL_MS: f64 = 3_400.0;

pub(super) struct Engine {
  speed: f64,
  /// Ends of alternating periods, the first without slowdown.
  period_ends_ms: VecDeque<f64>,
  is_slowed: bool,
  /// Requests and their tokens, the first one in work.
  pub(super) prompts: VecDeque<(usize, u64)>,
}

impl Engine {
  pub(super) fn new(number: usize, end_ms: u64, random: &mut ChaCha8Rng) -> Self {
    let mut ends = VecDeque::new();
    let mut at_ms = 0.0;
    // Work goes on for a while after the last arrival.
    while at_ms < 2.0 * end_ms as f64 {
      at_ms += -(1.0 - random.random::<f64>()).ln() * MEAN_USUAL_MS;
      ends.push_back(at_ms);
      at_ms += SLOW_MS;
      ends.push_back(at_ms);
    }
    Self {
      is_slowed: false,
      period_ends_ms: ends,
      prompts: VecDeque::new(),
      speed: SPEEDS[number % SPEEDS.len()],
    }
  }

  /// The time at which a prompt that starts now ends.
  pub(super) fn end_ms(&mut self, tokens: u64, now_ms: u64) -> u64 {
    let mut at_ms = now_ms as f64;
    let mut left_ms = tokens as f64 / (TOKENS_PER_MS * self.speed);
    loop {
      let factor = if self.is_slowed { SLOWDOWN } else { 1.0 };
      let period_end_ms = self.period_ends_ms.front().copied().unwrap_or(f64::MAX);
      let until_end_ms = (period_end_ms - at_ms).max(0.0);
      if left_ms * factor <= until_end_ms {
        return (at_ms + left_ms * factor).round() as u64;
      }
      left_ms -= until_end_ms / factor;
      at_ms = at_ms.max(period_end_ms);
      self.period_ends_ms.pop_front();
      self.is_slowed = !self.is_slowed;
    }
  }

  /// The current duration of work in percent of the usual, as of the end of the last prompt.
  pub(super) fn slowdown_percent(&self) -> u32 {
    if self.is_slowed {
      (SLOWDOWN * 100.0) as u32
    } else {
      100
    }
  }

  /// The mean time for a prompt of a size.
  pub(super) fn mean_ms(&self, tokens: u64) -> f64 {
    tokens as f64 / (TOKENS_PER_MS * self.speed)
  }
}
