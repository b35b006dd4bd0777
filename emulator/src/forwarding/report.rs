//! The report of the forwarding simulation as a Markdown table.

use {
  super::{CutPattern, ForwardingFigures, ForwardingFleet, ForwardingWay, replay_forwarding},
  bpaf::Bpaf,
};

/// Options of the forwarding report.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct ForwardingReport {
  /// Seeds for each pattern and way
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(8))]
  boxes: usize,
  /// Data halls
  #[bpaf(long, argument("N"), fallback(3))]
  halls: usize,
  /// Requests per second and box
  #[bpaf(long, argument("N"), fallback(5.6))]
  requests_per_s: f64,
}

/// Runs every pattern with every way and prints a table: the least share served over all seeds, the largest load of one box, and
/// the mean of the rest.
pub fn print_forwarding(report: ForwardingReport) {
  let fleet = ForwardingFleet {
    boxes: report.boxes,
    halls: report.halls,
    requests_per_s: report.requests_per_s,
  };
  println!(
    "| pattern | way | least share served | mean share served | asked per request | most asked of a box in 1 s | most accepted by a box in 1 s | announcements |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in CutPattern::ALL {
    for way in ForwardingWay::ALL {
      let runs: Vec<ForwardingFigures> = (1..=report.seeds)
        .map(|seed| replay_forwarding(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &runs);
    }
  }
}

fn print_row(pattern: CutPattern, way: ForwardingWay, runs: &[ForwardingFigures]) {
  let mean = |figure: fn(&ForwardingFigures) -> f64| {
    runs.iter().map(figure).sum::<f64>() / runs.len() as f64
  };
  let most = |figure: fn(&ForwardingFigures) -> u32| runs.iter().map(figure).max().unwrap_or(0);
  let least = runs
    .iter()
    .map(ForwardingFigures::served_share)
    .fold(1.0, f64::min);
  println!(
    "| {pattern:?} | {way:?} | {least:.3} | {:.3} | {:.2} | {} | {} | {:.0} |",
    mean(ForwardingFigures::served_share),
    mean(ForwardingFigures::asked_per_request),
    most(|run| run.most_asked_per_s),
    most(|run| run.most_accepted_per_s),
    mean(|run| run.announcements as f64),
  );
}
