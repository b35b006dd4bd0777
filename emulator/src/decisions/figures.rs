//! What a run came to.

use std::{collections::BTreeMap, fmt::Write};

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
  /// Completions asked for in the counted time.
  pub asked: u64,
  /// Answered whole.
  pub answered: u64,
  /// Answered within both targets.
  pub good: u64,
  /// Told "not run".
  pub not_run: u64,
  /// Told "unknown".
  pub unknown: u64,
  /// Left before the end.
  pub left: u64,
  /// Never told anything by the end of the run.
  pub untold: u64,
  /// Prompt tokens read.
  pub read_tokens: u64,
  /// Prompt tokens read for results that were never used.
  pub wasted_tokens: u64,
  /// First-token times of answered completions.
  pub first_token_ms: Vec<f64>,
  /// Mean times between tokens of answered completions.
  pub between_ms: Vec<f64>,
  /// Plain calls, and those answered in time.
  pub calls: u64,
  /// Plain calls answered in time.
  pub good_calls: u64,
  /// Time that plain calls took beyond the service's own.
  pub call_delay_ms: Vec<f64>,
  /// Asked and good, by organisation.
  pub organisations: BTreeMap<String, (u64, u64)>,
  /// Bytes sent between boxes.
  pub peer_bytes: u64,
  /// Calls to the platform's key-value service.
  pub platform_calls: u64,
  /// Boxes.
  pub boxes: u64,
  /// Time counted.
  pub seconds: f64,
  /// Engine memory still held when all was quiet.
  pub held_at_end: u64,
}

/// A rank of sorted numbers.
pub(super) fn rank(numbers: &[f64], share: f64) -> f64 {
  if numbers.is_empty() {
    return 0.0;
  }
  let mut sorted = numbers.to_vec();
  sorted.sort_by(f64::total_cmp);
  let last = sorted.len() - 1;
  sorted[((last as f64) * share).round() as usize]
}

impl Figures {
  /// Completions a second within both targets.
  pub fn goodput_per_s(&self) -> f64 {
    self.good as f64 / self.seconds
  }

  /// Share of prompt work that was never used.
  pub fn wasted_share(&self) -> f64 {
    self.wasted_tokens as f64 / self.read_tokens.max(1) as f64
  }

  /// Jain's index over the organisations' shares of good answers; 1 is even.
  pub fn fairness(&self) -> f64 {
    let shares = self
      .organisations
      .values()
      .filter(|(asked, _)| *asked > 0)
      .map(|(asked, good)| *good as f64 / *asked as f64)
      .collect::<Vec<_>>();
    let sum = shares.iter().sum::<f64>();
    let squares = shares.iter().map(|share| share * share).sum::<f64>();
    if squares == 0.0 {
      return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
  }

  /// Bytes a second that each box sends to its peers.
  pub fn peer_bytes_per_s(&self) -> f64 {
    self.peer_bytes as f64 / self.seconds / self.boxes.max(1) as f64
  }
}

/// Mean and standard deviation over seeds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread {
  pub(super) mean: f64,
  pub(super) deviation: f64,
}

pub(super) fn spread(runs: &[Figures], of: impl Fn(&Figures) -> f64) -> Spread {
  let numbers = runs.iter().map(of).collect::<Vec<_>>();
  let count = numbers.len().max(1) as f64;
  let mean = numbers.iter().sum::<f64>() / count;
  let squares = numbers
    .iter()
    .map(|number| (number - mean).powi(2))
    .sum::<f64>();
  Spread {
    deviation: (squares / (count - 1.0).max(1.0)).sqrt(),
    mean,
  }
}

/// The head of a table of runs.
pub(super) const TABLE_HEAD: &str = "\
| variant | goodput /s | ± | wasted prefill % | ± | first token p50 / p95 ms | between p50 / p95 ms | \
answered | not run | unknown | fairness | calls in time % | call delay p99 ms | peer B/s a box | held at end |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
";

/// One row over all seeds of a variant.
pub(super) fn row(name: &str, runs: &[Figures]) -> String {
  let goodput = spread(runs, Figures::goodput_per_s);
  let wasted = spread(runs, |run| run.wasted_share() * 100.0);
  let mean = |of: &dyn Fn(&Figures) -> f64| spread(runs, of).mean;
  let mut text = String::new();
  let _ = writeln!(
    text,
    "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.0} / {:.0} | {:.1} / {:.1} | {:.1}% | {:.1}% | {:.2}% | {:.3} | {:.2} | {:.1} | {:.0} | {:.0} |",
    goodput.mean,
    goodput.deviation,
    wasted.mean,
    wasted.deviation,
    mean(&|run| rank(&run.first_token_ms, 0.5)),
    mean(&|run| rank(&run.first_token_ms, 0.95)),
    mean(&|run| rank(&run.between_ms, 0.5)),
    mean(&|run| rank(&run.between_ms, 0.95)),
    mean(&|run| run.answered as f64 * 100.0 / run.asked.max(1) as f64),
    mean(&|run| run.not_run as f64 * 100.0 / run.asked.max(1) as f64),
    mean(&|run| run.unknown as f64 * 100.0 / run.asked.max(1) as f64),
    mean(&Figures::fairness),
    mean(&|run| run.good_calls as f64 * 100.0 / run.calls.max(1) as f64),
    mean(&|run| rank(&run.call_delay_ms, 0.99)),
    mean(&Figures::peer_bytes_per_s),
    mean(&|run| run.held_at_end as f64),
  );
  text
}
