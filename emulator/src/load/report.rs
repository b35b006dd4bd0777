//! The report of the load simulation: all patterns, with all decisions and without each of them.

use {
  super::{figures::Figures, pattern::Pattern, replay::replay, variant::Variant},
  bpaf::Bpaf,
};

/// Options of the load report.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(load_report))]
pub struct LoadReport {
  /// Seeds for each pattern
  #[bpaf(long, argument("N"), fallback(5))]
  pub seeds: u64,
}

/// Prints a Markdown table: over all seeds, the mean of the served shares and the sums of all else.
pub fn print_report(report: &LoadReport) {
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
