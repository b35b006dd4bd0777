//! Results of a run.

use std::{collections::BTreeMap, fmt::Write};

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
  /// Completions requested in the measured period.
  pub requested: u64,
  /// Completions answered in full.
  pub answered: u64,
  /// Completions answered within both latency targets.
  pub good: u64,
  /// Completions with the outcome "not run".
  pub not_run: u64,
  /// Completions with an unknown outcome.
  pub unknown: u64,
  /// Completions whose caller disconnected.
  pub abandoned: u64,
  /// Completions without an outcome at the end of the run.
  pub unresolved: u64,
  /// Prompt tokens that were prefilled.
  pub prefilled_tokens: u64,
  /// Prefilled prompt tokens whose result was never used.
  pub wasted_tokens: u64,
  /// Time to the first token of the answered completions.
  pub first_token_ms: Vec<f64>,
  /// Mean time between tokens of the answered completions.
  pub between_tokens_ms: Vec<f64>,
  /// Plain calls.
  pub calls: u64,
  /// Plain calls answered in time.
  pub good_calls: u64,
  /// Latency of plain calls in addition to the service's processing time.
  pub call_delay_ms: Vec<f64>,
  /// Requested completions and those within both targets, by organisation.
  pub organisations: BTreeMap<String, (u64, u64)>,
  /// Bytes sent between boxes.
  pub peer_bytes: u64,
  /// Calls to the platform's key-value service.
  pub platform_calls: u64,
  pub boxes: u64,
  /// Length of the measured period.
  pub seconds: f64,
  /// Engine slots still in use after the quiet period at the end.
  pub slots_held_at_end: u64,
}

/// The quantile of numbers, or 0 without any.
pub(super) fn quantile(numbers: &[f64], level: f64) -> f64 {
  if numbers.is_empty() {
    return 0.0;
  }
  let mut sorted = numbers.to_vec();
  sorted.sort_by(f64::total_cmp);
  let last = sorted.len() - 1;
  sorted[((last as f64) * level).round() as usize]
}

impl Figures {
  /// Completions per second within both latency targets.
  pub fn goodput_per_s(&self) -> f64 {
    self.good as f64 / self.seconds
  }

  /// Fraction of the prefilled tokens whose result was never used.
  pub fn wasted_share(&self) -> f64 {
    self.wasted_tokens as f64 / self.prefilled_tokens.max(1) as f64
  }

  /// Jain's fairness index of the organisations' shares of completions within both targets. 1 is even.
  pub fn fairness(&self) -> f64 {
    let shares = self
      .organisations
      .values()
      .filter(|(requested, _)| *requested > 0)
      .map(|(requested, good)| *good as f64 / *requested as f64)
      .collect::<Vec<_>>();
    let sum = shares.iter().sum::<f64>();
    let squares = shares.iter().map(|share| share * share).sum::<f64>();
    if squares == 0.0 {
      return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
  }

  /// Mean bytes per second that a box sends to its peers.
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

pub(super) const TABLE_HEAD: &str = "\
| variant | goodput /s | ± | wasted prefill % | ± | first token p50 / p95 ms | between p50 / p95 ms | \
answered | not run | unknown | fairness | calls in time % | call delay p99 ms | peer B/s a box | held at end |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
";

/// Formats the table row of a variant over all its seeds.
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
    mean(&|run| quantile(&run.first_token_ms, 0.5)),
    mean(&|run| quantile(&run.first_token_ms, 0.95)),
    mean(&|run| quantile(&run.between_tokens_ms, 0.5)),
    mean(&|run| quantile(&run.between_tokens_ms, 0.95)),
    mean(&|run| run.answered as f64 * 100.0 / run.requested.max(1) as f64),
    mean(&|run| run.not_run as f64 * 100.0 / run.requested.max(1) as f64),
    mean(&|run| run.unknown as f64 * 100.0 / run.requested.max(1) as f64),
    mean(&Figures::fairness),
    mean(&|run| run.good_calls as f64 * 100.0 / run.calls.max(1) as f64),
    mean(&|run| quantile(&run.call_delay_ms, 0.99)),
    mean(&Figures::peer_bytes_per_s),
    mean(&|run| run.slots_held_at_end as f64),
  );
  text
}
