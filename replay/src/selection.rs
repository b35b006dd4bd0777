//! Which things an impairment strikes.

use {
  super::site::Impairment,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
};

/// Draws the things that an impairment strikes.
pub(crate) struct Selection {
  random: ChaCha8Rng,
}

impl Selection {
  /// The draws of a play's impairment.
  pub(crate) fn new(seed: u64, number: u64) -> Self {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number + 1);
    Self { random }
  }

  /// The things in a random order.
  pub(crate) fn shuffled<T>(&mut self, mut things: Vec<T>) -> Vec<T> {
    for at in (1..things.len()).rev() {
      things.swap(at, self.random.random_range(0..=at));
    }
    things
  }

  /// As many of the things as an impairment says, at least one and at most `most`.
  pub(crate) fn pick<T>(
    &mut self,
    things: Vec<T>,
    impairment: &Impairment,
    usual_share: f64,
    most: usize,
  ) -> Vec<T> {
    let share = impairment.share.unwrap_or(usual_share);
    let of_share = (share * things.len() as f64).round() as usize;
    let count = impairment.count.unwrap_or(of_share).clamp(1, most.max(1));
    let mut things = self.shuffled(things);
    things.truncate(count);
    things
  }

  /// A number of a range.
  pub(crate) fn between(&mut self, least: f64, most: f64) -> f64 {
    self.random.random_range(least..=most)
  }

  /// One of the things.
  pub(crate) fn one_of<T: Clone>(&mut self, things: &[T]) -> Option<T> {
    if things.is_empty() {
      return None;
    }
    things
      .get(self.random.random_range(0..things.len()))
      .cloned()
  }
}
