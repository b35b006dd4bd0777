//! The table of a replay of limits.

use {
  super::{LimitFigures, LimitFleet, LimitPattern, replay_limits},
  bpaf::Bpaf,
  rillford::gateway::LimitStrategy,
};

/// Which table is wanted.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct LimitReport {
  /// Seeds for each pattern and way
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(LimitFleet::USERS.boxes))]
  boxes: usize,
  /// Data halls
  #[bpaf(long, argument("N"), fallback(LimitFleet::USERS.halls))]
  halls: usize,
  /// Organisations with a limit
  #[bpaf(long, argument("N"), fallback(LimitFleet::USERS.organisations))]
  organisations: usize,
}

/// Plays all patterns in all ways and prints what came of them; the worst of the seeds stands for bounds.
pub fn print_limits(report: LimitReport) {
  let fleet = LimitFleet {
    boxes: report.boxes,
    halls: report.halls,
    organisations: report.organisations,
  };
  println!(
    "| pattern | way | most used of the bound | refused inside | served of the limit | messages/s | bytes/s |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: |");
  for pattern in LimitPattern::ALL {
    for way in [
      LimitStrategy::EvenSplit,
      LimitStrategy::ReportedTotals,
      LimitStrategy::AskNearLimit,
    ] {
      let plays: Vec<LimitFigures> = (1..=report.seeds)
        .map(|seed| replay_limits(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &plays);
    }
  }
}

fn print_row(pattern: LimitPattern, way: LimitStrategy, plays: &[LimitFigures]) {
  let most = |figure: fn(&LimitFigures) -> f64| plays.iter().map(figure).fold(0.0, f64::max);
  let mean =
    |figure: fn(&LimitFigures) -> f64| plays.iter().map(figure).sum::<f64>() / plays.len() as f64;
  println!(
    "| {pattern:?} | {way:?} | {:.2} | {:.5} | {:.2} | {:.1} | {:.0} |",
    most(|play| play.most_used),
    mean(LimitFigures::refused_share),
    mean(|play| play.served_of_limit),
    most(|play| play.busiest_messages_per_s),
    most(|play| play.busiest_bytes_per_s),
  );
}
