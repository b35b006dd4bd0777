//! Writes whose responses are lost.

use {
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::time::Duration,
};

/// Bounds of the time after which a late write is carried out, in milliseconds.
const LATE_MS: (u64, u64) = (1_000, 6_000);

/// A share of the writes that get no response.
#[derive(Clone, Copy, Debug)]
pub struct WriteLoss {
  /// The share, from 0 to 1.
  pub share: f64,
  /// Whether these writes are carried out seconds later, if their conditions still hold then.
  pub is_late: bool,
  /// Seed of the draws.
  pub seed: u64,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteFate {
  Answered,
  /// Carried out at once without a response.
  Unanswered,
  /// Carried out after a time without a response.
  Late(Duration),
}

/// A loss in effect.
#[derive(Debug)]
pub(crate) struct LossDraws {
  loss: WriteLoss,
  draws: ChaCha8Rng,
}

impl LossDraws {
  pub(crate) fn new(loss: WriteLoss) -> Self {
    Self {
      draws: ChaCha8Rng::seed_from_u64(loss.seed),
      loss,
    }
  }

  /// The fate of the next write.
  pub(crate) fn next_fate(&mut self) -> WriteFate {
    if !self.draws.random_bool(self.loss.share.clamp(0.0, 1.0)) {
      return WriteFate::Answered;
    }
    if !self.loss.is_late {
      return WriteFate::Unanswered;
    }
    let late_ms = self.draws.random_range(LATE_MS.0..=LATE_MS.1);
    WriteFate::Late(Duration::from_millis(late_ms))
  }
}
