//! The latencies of one answer, held against the targets.

use {
  crate::{observe::Observation, settings::Targets},
  std::time::Duration,
  tokio::time::Instant,
};

/// Share of the gaps between tokens that the target is for.
const TARGET_SHARE: f64 = 0.95;

/// The latencies of one answer.
#[derive(Debug)]
pub(super) struct Pace {
  arrived: Instant,
  last: Option<Instant>,
  first: Option<Duration>,
  gaps: Vec<Duration>,
}

impl Pace {
  pub(super) fn new(arrived: Instant) -> Self {
    Self {
      arrived,
      first: None,
      gaps: Vec::new(),
      last: None,
    }
  }

  /// A piece went out with so many tokens.
  pub(super) fn piece(&mut self, tokens: u64) {
    let now = Instant::now();
    match self.last {
      None => self.first = Some(now - self.arrived),
      Some(last) => {
        let tokens = u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
        self.gaps.push((now - last) / tokens);
      }
    }
    self.last = Some(now);
  }

  /// Sums the answer up.
  pub(super) fn completed(mut self, targets: &Targets) -> Observation {
    self.gaps.sort_unstable();
    let rank = (self.gaps.len() as f64 * TARGET_SHARE) as usize;
    let between_tokens = self
      .gaps
      .get(rank.min(self.gaps.len().saturating_sub(1)))
      .copied()
      .unwrap_or_default();
    let first_token = self.first.unwrap_or_default();
    let good = first_token <= Duration::from_millis(targets.first_token_ms)
      && between_tokens <= Duration::from_millis(targets.between_token_ms);
    Observation::Completed {
      between_tokens,
      first_token,
      good,
    }
  }
}
