//! What is drawn for a plan: times, durations and components.

use {
  super::{fault::Fault, trouble::Trouble},
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
};

/// Mean interval between faults.
const MEAN_INTERVAL_MS: f64 = 900.0;

/// The scale of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
  /// Number of boxes.
  pub boxes: usize,
  /// Number of endpoints.
  pub places: usize,
  /// Period in which faults start.
  pub faults_ms: u64,
  /// The kinds of trouble that the deployment reports besides the common ones.
  pub more_troubles: &'static [Trouble],
}

/// A fault and its start time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
  /// Time since the start of the traffic.
  pub at_ms: u64,
  /// The fault.
  pub fault: Fault,
}

/// Draws from a sequence of its own.
pub(crate) struct Draw {
  pub(crate) random: ChaCha8Rng,
  pub(crate) size: Size,
}

impl Draw {
  pub(crate) fn new(seed: u64, size: Size) -> Self {
    Self {
      random: ChaCha8Rng::seed_from_u64(seed),
      size,
    }
  }

  /// Draws faults one after another from a time on, at a multiple of the mean interval.
  pub(crate) fn at_intervals(
    &mut self,
    from_ms: u64,
    factor: u64,
    mut next: impl FnMut(&mut Self) -> Fault,
  ) -> Vec<ScheduledFault> {
    let mut steps = Vec::new();
    let mut at_ms = from_ms;
    while at_ms < self.size.faults_ms {
      let fault = next(self);
      steps.push(ScheduledFault { at_ms, fault });
      at_ms += factor * self.interval_ms();
    }
    steps
  }

  pub(crate) fn between(&mut self, (min, max): (u64, u64)) -> u64 {
    self.random.random_range(min..=max)
  }

  pub(crate) fn number_below(&mut self, count: usize) -> usize {
    self.random.random_range(0..count)
  }

  /// An exponentially distributed interval, so that faults cluster.
  pub(crate) fn interval_ms(&mut self) -> u64 {
    let draw: f64 = self.random.random();
    (-MEAN_INTERVAL_MS * (1.0 - draw).ln()) as u64 + 1
  }

  pub(crate) fn one_of<T: Copy>(&mut self, from: &[T]) -> T {
    from[self.random.random_range(0..from.len())]
  }
}
