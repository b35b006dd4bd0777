//! The report of the crash simulation as a Markdown table.

use {
  super::{CrashFigures, CrashFleet, CrashPattern, CrashWay, replay_crashes},
  bpaf::Bpaf,
};

/// Options of the crash report.
#[derive(Bpaf, Clone, Debug)]
pub struct CrashReport {
  /// Seeds for each pattern and strategy
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(CrashFleet::SMALL.boxes))]
  boxes: usize,
  /// Decode engines
  #[bpaf(long, argument("N"), fallback(CrashFleet::SMALL.engines))]
  engines: usize,
  /// Only the patterns whose names begin so
  #[bpaf(long, argument("NAME"), fallback(String::new()))]
  only: String,
}

/// Runs every pattern with every way and prints a table: the maximum over all seeds for late runs and the registry's
/// size, and the mean for all else.
pub fn print_crashes(report: CrashReport) {
  let fleet = CrashFleet {
    boxes: report.boxes,
    engines: report.engines,
  };
  println!(
    "| pattern | way | engines ended | most late runs | innocent served | innocent tries held | store calls | segment marks | largest book |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  let is_wanted = |pattern: &CrashPattern| format!("{pattern:?}").starts_with(&report.only);
  for pattern in CrashPattern::ALL.into_iter().filter(is_wanted) {
    for way in CrashWay::ALL {
      let runs: Vec<CrashFigures> = (1..=report.seeds)
        .map(|seed| replay_crashes(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &runs);
    }
  }
}

fn print_row(pattern: CrashPattern, way: CrashWay, runs: &[CrashFigures]) {
  let mean =
    |figure: fn(&CrashFigures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
  let max_late = runs.iter().map(|run| run.most_late).max();
  let largest = runs.iter().map(|run| run.largest_book).max();
  println!(
    "| {pattern:?} | {way:?} | {:.1} | {} | {:.4} | {:.1} | {:.0} | {:.0} | {} |",
    mean(|run| f64::from(run.ended)),
    max_late.unwrap_or(0),
    mean(CrashFigures::served_share),
    mean(|run| f64::from(run.innocent_held)),
    mean(|run| f64::from(run.store_calls)),
    mean(|run| f64::from(run.segment_marks)),
    largest.unwrap_or(0),
  );
}
