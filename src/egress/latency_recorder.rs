//! Records the token latencies of one response and compares them with the targets.

use {
  crate::{observe::Observation, settings::Targets},
  std::time::Duration,
  tokio::time::Instant,
};

/// Quantile of the gaps between tokens that is compared with the target.
const BETWEEN_TOKEN_QUANTILE: f64 = 0.95;

/// The token latencies of one response.
#[derive(Debug)]
pub(super) struct LatencyRecorder {
  arrived: Instant,
  last_chunk: Option<Instant>,
  first_token: Option<Duration>,
  token_gaps: Vec<Duration>,
}

impl LatencyRecorder {
  pub(super) fn new(arrived: Instant) -> Self {
    Self {
      arrived,
      first_token: None,
      last_chunk: None,
      token_gaps: Vec::new(),
    }
  }

  /// Records that a chunk with this many tokens was delivered now.
  pub(super) fn record_chunk(&mut self, tokens: u64) {
    let now = Instant::now();
    match self.last_chunk {
      None => self.first_token = Some(now - self.arrived),
      Some(last) => {
        let tokens = u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
        self.token_gaps.push((now - last) / tokens);
      }
    }
    self.last_chunk = Some(now);
  }

  /// Summarises a complete response.
  pub(super) fn finish(mut self, targets: &Targets) -> Observation {
    self.token_gaps.sort_unstable();
    let rank = (self.token_gaps.len() as f64 * BETWEEN_TOKEN_QUANTILE) as usize;
    let between_tokens = self
      .token_gaps
      .get(rank.min(self.token_gaps.len().saturating_sub(1)))
      .copied()
      .unwrap_or_default();
    let first_token = self.first_token.unwrap_or_default();
    let good = first_token <= Duration::from_millis(targets.first_token_ms)
      && between_tokens <= Duration::from_millis(targets.between_token_ms);
    Observation::Completed {
      between_tokens,
      first_token,
      good,
    }
  }
}
