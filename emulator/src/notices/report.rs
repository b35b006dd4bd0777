//! The table of a replay of notices.

use {
  super::{NoticeFigures, NoticeFleet, NoticePattern, NoticeWay, replay_notices},
  bpaf::Bpaf,
};

/// Which table is wanted.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct NoticeReport {
  /// Seeds for each pattern and way
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(NoticeFleet::SMALL.boxes))]
  boxes: usize,
  /// Endpoints of one service
  #[bpaf(long, argument("N"), fallback(NoticeFleet::SMALL.endpoints))]
  endpoints: usize,
  /// Requests a second for each endpoint
  #[bpaf(long, argument("N"), fallback(NoticeFleet::SMALL.requests_per_s))]
  requests_per_s: f64,
}

/// Plays all patterns in all ways and prints what came of them; the worst of the seeds stands for bounds.
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
    for way in NoticeWay::ALL {
      let plays: Vec<NoticeFigures> = (1..=report.seeds)
        .map(|seed| replay_notices(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &plays);
    }
  }
}

fn print_row(pattern: NoticePattern, way: NoticeWay, plays: &[NoticeFigures]) {
  let mean =
    |figure: fn(&NoticeFigures) -> f64| plays.iter().map(figure).sum::<f64>() / plays.len() as f64;
  let most = |figure: fn(&NoticeFigures) -> u32| plays.iter().map(figure).max().unwrap_or(0);
  println!(
    "| {pattern:?} | {way:?} | {:.4} | {:.0} | {:.0} | {:.0} | {} | {} | {:.0} |",
    mean(NoticeFigures::served_share),
    mean(|play| f64::from(play.refused)),
    mean(|play| f64::from(play.repeats)),
    mean(|play| f64::from(play.turned_away)),
    most(|play| play.most_in_pause),
    most(|play| play.late_after_word),
    mean(|play| f64::from(play.messages)),
  );
}
