//! The table of a replay of crashes.

use {
  super::{CrashFigures, CrashFleet, CrashPattern, replay_crashes},
  bpaf::Bpaf,
  rillford::gateway::QuarantineStrategy,
};

/// Which table is wanted.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct CrashReport {
  /// Seeds for each pattern and way
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(CrashFleet::SMALL.boxes))]
  boxes: usize,
  /// Engines that write answers
  #[bpaf(long, argument("N"), fallback(CrashFleet::SMALL.engines))]
  engines: usize,
}

/// Plays all patterns in all ways and prints what came of them; the worst of the seeds stands for bounds.
pub fn print_crashes(report: CrashReport) {
  let fleet = CrashFleet {
    boxes: report.boxes,
    engines: report.engines,
  };
  println!(
    "| pattern | way | engines ended | most late runs | innocent served | innocent tries held | store calls | largest book |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in CrashPattern::ALL {
    for way in [
      QuarantineStrategy::Off,
      QuarantineStrategy::OwnBox,
      QuarantineStrategy::Shared,
    ] {
      let plays: Vec<CrashFigures> = (1..=report.seeds)
        .map(|seed| replay_crashes(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &plays);
    }
  }
}

fn print_row(pattern: CrashPattern, way: QuarantineStrategy, plays: &[CrashFigures]) {
  let mean =
    |figure: fn(&CrashFigures) -> f64| plays.iter().map(figure).sum::<f64>() / plays.len() as f64;
  let most_late = plays.iter().map(|play| play.most_late).max();
  let largest = plays.iter().map(|play| play.largest_book).max();
  println!(
    "| {pattern:?} | {way:?} | {:.1} | {} | {:.4} | {:.1} | {:.0} | {} |",
    mean(|play| f64::from(play.ended)),
    most_late.unwrap_or(0),
    mean(CrashFigures::served_share),
    mean(|play| f64::from(play.innocent_held)),
    mean(|play| f64::from(play.store_calls)),
    largest.unwrap_or(0),
  );
}
