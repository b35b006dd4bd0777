//! What is drawn for each response of an endpoint, apart from the faults of the plan.

use {
  super::{early_ends::EarlyEnds, framing::Framings},
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  std::hash::{DefaultHasher, Hash, Hasher},
};

/// Bits by which the seed is rotated.
const SEED_ROTATION: u32 = 47;

/// Draws of a run, which depend on its seed and on the request alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseDraws {
  pub(crate) early_ends: EarlyEnds,
  pub(crate) framings: Framings,
  pub(crate) seed: u64,
}

/// What is drawn.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) enum Subject {
  /// The framing.
  Framing,
  /// Whether and where the response is lost.
  Loss,
  /// Whether a stray response comes with it.
  Stray,
  /// Whether and how it is garbled.
  Garble,
}

impl ResponseDraws {
  /// The draws for the response to a request at a start of an endpoint.
  pub(crate) fn random(self, subject: Subject, request_id: &str, start_number: u64) -> ChaCha8Rng {
    let mut hasher = DefaultHasher::new();
    (subject, request_id, start_number).hash(&mut hasher);
    let mut random = ChaCha8Rng::seed_from_u64(self.seed.rotate_left(SEED_ROTATION));
    random.set_stream(hasher.finish());
    random
  }
}
