//! When the requests of a zone are sent, and of which kind they are.

use {
  super::habits::Habits,
  crate::site::Traffic,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::{f64::consts::TAU, sync::Arc},
};

/// Lowest rate, so that a zone without traffic looks again from time to time.
const MIN_PER_S: f64 = 0.5;

/// The arrivals of a zone.
pub(super) struct Arrivals<'a> {
  pub(super) traffic: &'a Traffic,
  pub(super) habits: &'a Habits,
}

impl Arrivals<'_> {
  /// The time until the next arrival, at a moment of the day.
  pub(super) fn gap_s(&self, at_s: f64, random: &mut ChaCha8Rng) -> f64 {
    let draw: f64 = random.random();
    -(1.0 - draw).ln() / self.per_s(at_s).max(MIN_PER_S)
  }

  /// The kind of the request that arrives. `None` if there is no traffic.
  pub(super) fn class(&self, random: &mut ChaCha8Rng) -> Option<Arc<str>> {
    let total: f64 = self.weights().map(|(_, weight)| weight).sum();
    let mut draw = random.random::<f64>() * total;
    let mut last = None;
    for (class, weight) in self.weights().filter(|(_, weight)| *weight > 0.0) {
      last = Some(class);
      if draw < weight {
        break;
      }
      draw -= weight;
    }
    last.cloned()
  }

  fn per_s(&self, at_s: f64) -> f64 {
    let usual: f64 = self.traffic.mix.values().sum();
    let total: f64 = self.weights().map(|(_, weight)| weight).sum();
    if usual <= 0.0 {
      return 0.0;
    }
    self.traffic.per_s * self.wave(at_s) * total / usual
  }

  fn weights(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
    let mix = self.traffic.mix.iter();
    mix.map(|(class, weight)| {
      let factor = self.habits.rate_factor(&self.traffic.zone, class);
      (class, weight * factor)
    })
  }

  fn wave(&self, at_s: f64) -> f64 {
    match &self.traffic.shape {
      Some(shape) if &*shape.kind == "wave" && shape.period_s > 0.0 => {
        1.0 + shape.swing * (TAU * (at_s / shape.period_s + shape.phase)).sin()
      }
      _ => 1.0,
    }
  }
}
