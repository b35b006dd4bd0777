//! The report of the limits simulation as a Markdown table.

use {
  super::{LimitFigures, LimitFleet, LimitPattern, RequestKind, replay_fair_shares, replay_limits},
  bpaf::Bpaf,
  rillford::gateway::LimitStrategy,
};

/// Options of the limits report.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct LimitReport {
  /// Seeds for each pattern and strategy
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

/// Runs every pattern with every strategy and prints a table: the maximum over all seeds for usage, messages and bytes, and
/// the mean for the shares.
pub fn print_limits(report: LimitReport) {
  let fleet = LimitFleet {
    boxes: report.boxes,
    halls: report.halls,
    organisations: report.organisations,
  };
  println!(
    "| pattern | way | most used of the bound | refused inside | served of the limit | messages/s | bytes/s | admitted by kind | value |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | --- | ---: |");
  for pattern in LimitPattern::ALL {
    for strategy in [
      LimitStrategy::EvenSplit,
      LimitStrategy::ReportedTotals,
      LimitStrategy::AskNearLimit,
    ] {
      let runs: Vec<LimitFigures> = (1..=report.seeds)
        .map(|seed| replay_limits(pattern, fleet, strategy, seed))
        .collect();
      print_row(pattern, printed_name(strategy), &runs);
    }
    let runs: Vec<LimitFigures> = (1..=report.seeds)
      .map(|seed| replay_fair_shares(pattern, fleet, seed))
      .collect();
    print_row(pattern, "FairShares", &runs);
  }
}

fn print_row(pattern: LimitPattern, strategy: &str, runs: &[LimitFigures]) {
  let max = |figure: fn(&LimitFigures) -> f64| runs.iter().map(figure).fold(0.0, f64::max);
  let mean =
    |figure: fn(&LimitFigures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
  println!(
    "| {pattern:?} | {} | {:.2} | {:.5} | {:.2} | {:.1} | {:.0} | {} | {:.0} |",
    strategy,
    max(|run| run.most_used),
    mean(LimitFigures::refused_share),
    mean(|run| run.served_of_limit),
    max(|run| run.busiest_messages_per_s),
    max(|run| run.busiest_bytes_per_s),
    admitted_by_kind(pattern, runs),
    mean(|run| run.value),
  );
}

/// The admitted share of each kind of requests, where sizes are mixed.
fn admitted_by_kind(pattern: LimitPattern, runs: &[LimitFigures]) -> String {
  if pattern != LimitPattern::MixedSizes {
    return "-".to_string();
  }
  let of_kind = |(index, kind): (usize, &RequestKind)| {
    let counts = || runs.iter().map(|run| run.kinds[index]);
    let admitted: u32 = counts().map(|counts| counts.admitted).sum();
    let asked: u32 = counts().map(|counts| counts.asked).sum();
    let share = f64::from(admitted) / f64::from(asked.max(1));
    format!("{} {share:.2} of {asked}", kind.name)
  };
  let kinds: Vec<String> = RequestKind::MIXED.iter().enumerate().map(of_kind).collect();
  kinds.join(", ")
}

/// The name of `strategy` in the printed table, which does not follow the names of the variants.
const fn printed_name(strategy: LimitStrategy) -> &'static str {
  match strategy {
    LimitStrategy::EvenSplit => "EvenParts",
    LimitStrategy::ReportedTotals => "ToldSums",
    LimitStrategy::AskNearLimit => "AskedWhenShort",
  }
}
