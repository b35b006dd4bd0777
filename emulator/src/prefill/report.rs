//! The report of the prefill simulation as a Markdown table.

use {
  super::{PrefillFigures, PrefillPattern, PrefillStrategy, replay_prefills},
  bpaf::Bpaf,
  std::time::Duration,
};

/// Most boxes for `Registry`: each box keeps the state of each engine.
const MAX_REGISTRY_BOXES: usize = 985;

/// Options of the prefill report.
#[derive(Bpaf, Clone, Debug)]
pub struct PrefillReport {
  /// Seeds for each pattern and strategy
  #[bpaf(long, argument("N"), fallback(2))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(87))]
  boxes: usize,
  /// Only strategies whose name contains this, such as `Coord`
  #[bpaf(long, argument("TEXT"))]
  only: Option<String>,
}

/// Runs every pattern with every strategy and prints a table: the mean over the seeds.
pub fn print_prefills(report: &PrefillReport) {
  println!("{} boxes, {} seeds", report.boxes, report.seeds);
  println!(
    "| pattern | strategy | over 700 ms | of them behind another, an engine idle | late | mean; p99 ms | without a place | messages | bytes: mean; busiest | us a decision |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in PrefillPattern::ALL {
    for strategy in PrefillStrategy::ALL {
      let is_too_large = strategy == PrefillStrategy::Registry && report.boxes > MAX_REGISTRY_BOXES;
      let is_selected = |only: &String| format!("{strategy:?}").contains(only);
      if is_too_large || !report.only.as_ref().is_none_or(is_selected) {
        continue;
      }
      let runs: Vec<_> = (1..=report.seeds)
        .map(|seed| replay_prefills(pattern, report.boxes, strategy, seed))
        .collect();
      print_row(pattern, strategy, &runs);
    }
  }
}

fn print_row(
  pattern: PrefillPattern,
  strategy: PrefillStrategy,
  runs: &[(PrefillFigures, Duration)],
) {
  let mean = |figure: fn(&PrefillFigures) -> f64| {
    runs.iter().map(|(run, _)| figure(run)).sum::<f64>() / runs.len() as f64
  };
  let slow: u32 = runs.iter().map(|(run, _)| run.slow).sum();
  let behind: u32 = runs.iter().map(|(run, _)| run.slow_behind).sum();
  let decision = runs.iter().map(|(_, decision)| *decision).sum::<Duration>() / runs.len() as u32;
  println!(
    "| {pattern:?} | {strategy:?} | {:.2}% | {behind} of {slow} | {:.2}% | {:.0}; {:.0} | {:.1}% | {:.2} | {:.0}; {:.0} | {:.1} |",
    mean(|run| 100.0 * f64::from(run.slow) / f64::from(run.prefills.max(1))),
    mean(|run| 100.0 * run.late_share()),
    mean(PrefillFigures::mean_ms),
    mean(|run| run.p99_ms as f64),
    mean(|run| 100.0 * f64::from(run.fallbacks) / f64::from(run.prefills.max(1))),
    mean(|run| run.mean_messages),
    mean(|run| run.mean_bytes),
    mean(|run| run.busiest_bytes),
    decision.as_nanos() as f64 / 1_000.0,
  );
}
