//! The table of a replay of places.

use {
  super::{PlaceFigures, PlaceFleet, PlacePattern, PlaceWay, replay_places},
  bpaf::Bpaf,
};

/// The most boxes that tell each other their sums.
const MOST_TOLD_SUMS: usize = 30;

/// Which table is wanted.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct PlaceReport {
  /// Seeds for each pattern and way
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(8))]
  boxes: usize,
  /// Requests a second that the endpoint names
  #[bpaf(long, argument("N"), fallback(2.4))]
  limit_per_s: f64,
}

/// Plays all patterns in all ways and prints what came of them; the worst of the seeds stands for the window.
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
    for way in PlaceWay::ALL {
      // Each box tells each other one: that is hundreds of thousands of messages a second.
      if way == PlaceWay::ToldSums && report.boxes > MOST_TOLD_SUMS {
        continue;
      }
      let plays: Vec<PlaceFigures> = (1..=report.seeds)
        .map(|seed| replay_places(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &plays);
    }
  }
}

fn print_row(pattern: PlacePattern, way: PlaceWay, plays: &[PlaceFigures]) {
  let mean =
    |figure: fn(&PlaceFigures) -> f64| plays.iter().map(figure).sum::<f64>() / plays.len() as f64;
  let most = plays.iter().map(|play| play.most_in_window).max();
  println!(
    "| {pattern:?} | {way:?} | {} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0}; {:.0} |",
    most.unwrap_or(0),
    mean(|play| play.used_share),
    mean(|play| f64::from(play.untold)),
    mean(|play| f64::from(play.elsewhere)),
    mean(|play| f64::from(play.messages)),
    mean(|play| play.busiest_bytes_per_s),
    mean(|play| play.mean_bytes_per_s),
  );
}
