//! The fixed overhead of a prompt at the prefill engines of a group, learnt from finished prompts. Free of I/O.

/// The overhead before enough prompts are finished, in tokens.
const FIRST_OVERHEAD_UNITS: f64 = 256.0;
/// Upper bound: an engine works in chunks of this many tokens, and a prompt of one token costs at most one.
const MAX_OVERHEAD_UNITS: f64 = 2_048.0;
/// Prompts whose fit is trusted: the two parameters need several prompts of different lengths at several engines.
const MIN_SAMPLES: f64 = 40.0;
/// Factor by which older prompts lose weight with each new one: some hundred prompts count.
const DECAY: f64 = 0.996;

/// A least-squares fit of a prompt's duration by its tokens, with decaying weights.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillOverhead {
  weight: f64,
  sum_tokens: f64,
  sum_units: f64,
  sum_tokens_squared: f64,
  sum_products: f64,
}

impl PrefillOverhead {
  /// Records a finished prompt: its tokens and its duration in units of its engine.
  pub(super) fn record(&mut self, tokens: u64, units: f64) {
    let tokens = tokens as f64;
    self.weight = self.weight * DECAY + 1.0;
    self.sum_tokens = self.sum_tokens * DECAY + tokens;
    self.sum_units = self.sum_units * DECAY + units;
    self.sum_tokens_squared = self.sum_tokens_squared * DECAY + tokens * tokens;
    self.sum_products = self.sum_products * DECAY + tokens * units;
  }

  /// The overhead in units. Durations of all engines in units have the same slope, whatever overhead the units assume; its
  /// ratio to the intercept is the overhead.
  pub(super) fn units(&self) -> f64 {
    let spread = self.weight * self.sum_tokens_squared - self.sum_tokens * self.sum_tokens;
    // Prompts of about one length tell nothing on the overhead.
    if self.weight < MIN_SAMPLES || spread < 0.01 * self.sum_tokens * self.sum_tokens {
      return FIRST_OVERHEAD_UNITS;
    }
    let slope = (self.weight * self.sum_products - self.sum_tokens * self.sum_units) / spread;
    let intercept = (self.sum_units - slope * self.sum_tokens) / self.weight;
    if slope <= 0.0 {
      return MAX_OVERHEAD_UNITS;
    }
    (intercept / slope).clamp(0.0, MAX_OVERHEAD_UNITS)
  }
}
