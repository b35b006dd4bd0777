//! The report of the permit simulation as a Markdown table.

use {
  super::{PlaceFigures, PlaceFleet, PlacePattern, PlaceWay, replay_places},
  bpaf::Bpaf,
};

/// Maximum number of boxes for `ToldSums`, in which every box sends messages to every other.
const MAX_TOLD_SUMS_BOXES: usize = 30;

/// Options of the permit report.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct PlaceReport {
  /// Seeds for each pattern and strategy
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(8))]
  boxes: usize,
  /// Requests per second that the endpoint advertises as its limit
  #[bpaf(long, argument("N"), fallback(2.4))]
  limit_per_s: f64,
}

/// Runs every pattern with every strategy and prints a table: the maximum over all seeds for the requests in a window, and
/// the mean for all else.
pub fn print_places(report: PlaceReport) {
  let fleet = PlaceFleet::pressed(report.boxes, report.limit_per_s);
  println!(
    "{} boxes, a limit of {} a second, {} requests a second; {} allowed in a window",
    fleet.boxes,
    fleet.limit_per_s,
    fleet.requests_per_s,
    fleet.allowed()
  );
  println!(
    "| pattern | way | most in a window | used | untold | elsewhere | messages | bytes a second, busiest; mean |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in PlacePattern::ALL {
    for strategy in PlaceWay::ALL {
      if strategy == PlaceWay::ToldSums && report.boxes > MAX_TOLD_SUMS_BOXES {
        continue;
      }
      let runs: Vec<PlaceFigures> = (1..=report.seeds)
        .map(|seed| replay_places(pattern, fleet, strategy, seed))
        .collect();
      print_row(pattern, strategy, &runs);
    }
  }
}

fn print_row(pattern: PlacePattern, strategy: PlaceWay, runs: &[PlaceFigures]) {
  let mean =
    |figure: fn(&PlaceFigures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
  let max = runs.iter().map(|run| run.most_in_window).max();
  println!(
    "| {pattern:?} | {strategy:?} | {} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0}; {:.0} |",
    max.unwrap_or(0),
    mean(|run| run.used_share),
    mean(|run| f64::from(run.untold)),
    mean(|run| f64::from(run.elsewhere)),
    mean(|run| f64::from(run.messages)),
    mean(|run| run.busiest_bytes_per_s),
    mean(|run| run.mean_bytes_per_s),
  );
}
