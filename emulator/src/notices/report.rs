//! The report of the notice simulation as a Markdown table.

use {
  super::{NoticeFigures, NoticeFleet, NoticePattern, NoticeWay, replay_notices},
  bpaf::Bpaf,
};

/// Options of the notice report.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct NoticeReport {
  /// Seeds for each pattern and strategy
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(NoticeFleet::SMALL.boxes))]
  boxes: usize,
  /// Endpoints of one service
  #[bpaf(long, argument("N"), fallback(NoticeFleet::SMALL.endpoints))]
  endpoints: usize,
  /// Requests per second and endpoint
  #[bpaf(long, argument("N"), fallback(NoticeFleet::SMALL.requests_per_s))]
  requests_per_s: f64,
}

/// Runs every pattern with every strategy and prints a table: the maximum over all seeds for figures with a bound, and the
/// mean for all else.
pub fn print_notices(report: NoticeReport) {
  let fleet = NoticeFleet {
    boxes: report.boxes,
    endpoints: report.endpoints,
    requests_per_s: report.requests_per_s,
  };
  println!(
    "| pattern | way | served | refusals | repeats | turned away | most in a pause | late after its word | messages |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in NoticePattern::ALL {
    for strategy in NoticeWay::ALL {
      let runs: Vec<NoticeFigures> = (1..=report.seeds)
        .map(|seed| replay_notices(pattern, fleet, strategy, seed))
        .collect();
      print_row(pattern, strategy, &runs);
    }
  }
}

fn print_row(pattern: NoticePattern, strategy: NoticeWay, runs: &[NoticeFigures]) {
  let mean =
    |figure: fn(&NoticeFigures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
  let max = |figure: fn(&NoticeFigures) -> u32| runs.iter().map(figure).max().unwrap_or(0);
  println!(
    "| {pattern:?} | {strategy:?} | {:.4} | {:.0} | {:.0} | {:.0} | {} | {} | {:.0} |",
    mean(NoticeFigures::served_share),
    mean(|run| f64::from(run.refused)),
    mean(|run| f64::from(run.repeats)),
    mean(|run| f64::from(run.turned_away)),
    max(|run| run.most_in_pause),
    max(|run| run.late_after_word),
    mean(|run| f64::from(run.messages)),
  );
}
