//! The report of the load simulation: all patterns, with all decisions and without each of them.

use {
  super::{
    figures::Figures,
    pattern::Pattern,
    replay::replay,
    returns::{ReturnFigures, ReturnPattern, ReturnVariant, replay_returns},
    variant::Variant,
  },
  bpaf::Bpaf,
};

/// Options of the load report.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(load_report))]
pub struct LoadReport {
  /// Seeds for each pattern
  #[bpaf(long, argument("N"), fallback(5))]
  pub seeds: u64,
  /// Print the table of rejections and returns only
  #[bpaf(long)]
  pub returns_only: bool,
}

/// Prints two Markdown tables over all seeds: of the choice of engines, the mean of the served shares and the sums of all else; of
/// rejections and returns, the sums.
pub fn print_report(report: &LoadReport) {
  if !report.returns_only {
    print_choice(report);
    println!();
  }
  print_returns(report);
}

fn print_choice(report: &LoadReport) {
  println!(
    "| pattern | decisions | served | lost sends | to engines out of reach | refused sends |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: |");
  for pattern in Pattern::ALL {
    for (name, variant) in Variant::ablation() {
      let runs: Vec<Figures> = (1..=report.seeds)
        .map(|seed| replay(pattern, variant, seed))
        .collect();
      println!("| {pattern:?} | {name} | {} |", row(&runs));
    }
  }
}

fn row(runs: &[Figures]) -> String {
  let share = runs.iter().map(Figures::served_share).sum::<f64>() / runs.len().max(1) as f64;
  let lost: u32 = runs.iter().map(|run| run.lost_sends).sum();
  let unreached: u32 = runs.iter().map(|run| run.unreached_sends).sum();
  let refused: u32 = runs.iter().map(|run| run.refused_sends).sum();
  format!("{share:.3} | {lost} | {unreached} | {refused}")
}

fn print_returns(report: &LoadReport) {
  println!(
    "| pattern | decisions | asked | in time at once | in time after a rejection | late | lost | rejected soon | rejected late | value |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in ReturnPattern::ALL {
    for (name, variant) in ReturnVariant::ALL {
      let runs: Vec<ReturnFigures> = (1..=report.seeds)
        .map(|seed| replay_returns(pattern, variant, seed))
        .collect();
      println!("| {pattern:?} | {name} | {} |", return_row(&runs));
    }
  }
}

fn return_row(runs: &[ReturnFigures]) -> String {
  let sum = |count: fn(&ReturnFigures) -> u32| runs.iter().map(count).sum::<u32>();
  let value: f64 = runs.iter().map(|run| run.value).sum();
  format!(
    "{} | {} | {} | {} | {} | {} | {} | {value:.0}",
    sum(|run| run.asked),
    sum(|run| run.in_time),
    sum(|run| run.in_time_returned),
    sum(|run| run.late),
    sum(|run| run.lost),
    sum(|run| run.rejected_soon),
    sum(|run| run.rejected_late)
  )
}
