//! Draws of sizes, times and shares.

use {
  super::super::site::{Distribution, RequestClass},
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::f64::consts::TAU,
};

/// Events of a stream of an unknown kind.
const DEFAULT_EVENTS: u64 = 8;

/// Draws from a log-normal distribution with the given mean and some larger values, cut off at its largest value.
pub fn sample(distribution: &Distribution, random: &mut ChaCha8Rng) -> f64 {
  let Distribution {
    max,
    mean,
    spread,
    tail,
    tail_x,
  } = *distribution;
  let radius = (-2.0 * random.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
  let normal = radius * (TAU * random.random_range(0.0..1.0)).cos();
  let factor = match random.random_range(0.0..1.0) < tail {
    true => tail_x,
    false => 1.0,
  };
  let value = mean * (spread * normal - spread * spread / 2.0).exp() * factor;
  max.map_or(value, |max| value.min(max))
}

/// Number of events of a stream, drawn by the id of its first request.
pub fn stream_events(class: Option<&RequestClass>, first_id: &str) -> u64 {
  let Some(shape) = class.and_then(|class| class.stream.as_ref()) else {
    return DEFAULT_EVENTS;
  };
  let mut random = ChaCha8Rng::seed_from_u64(hash(first_id));
  whole(sample(&shape.pieces, &mut random)).max(1)
}

/// The nearest whole number; 0 for anything that is below it.
#[expect(
  clippy::cast_possible_truncation,
  clippy::cast_sign_loss,
  reason = "sizes are far below the limits, and the cast saturates"
)]
pub(super) fn whole(value: f64) -> u64 {
  value.round() as u64
}

/// A number as a factor of times.
#[expect(
  clippy::cast_precision_loss,
  reason = "sizes are far below 2 to the 52nd"
)]
pub(super) fn real(value: u64) -> f64 {
  value as f64
}

/// FNV-1a, which is the same in all builds.
fn hash(text: &str) -> u64 {
  text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
  })
}
