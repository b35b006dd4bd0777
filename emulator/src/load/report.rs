//! A table of all patterns, with all decisions and without each of them.

use {
  super::{figures::Figures, pattern::Pattern, replay::replay, variant::Variant},
  bpaf::Bpaf,
};

/// What is to be replayed.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(load_report))]
pub struct LoadReport {
  /// Seeds of each pattern
  #[bpaf(long, argument("N"), fallback(5))]
  pub seeds: u64,
}

/// Prints a table in Markdown: means of the shares, and sums of the rest, over the seeds.
pub fn print_report(report: &LoadReport) {
  println!(
    "| pattern | decisions | served | lost sends | to engines out of reach | refused sends |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: |");
  for pattern in Pattern::ALL {
    for (name, variant) in Variant::ablation() {
      let plays: Vec<Figures> = (1..=report.seeds)
        .map(|seed| replay(pattern, variant, seed))
        .collect();
      println!("| {pattern:?} | {name} | {} |", row(&plays));
    }
  }
}

fn row(plays: &[Figures]) -> String {
  let share = plays.iter().map(Figures::served_share).sum::<f64>() / plays.len().max(1) as f64;
  let lost: u32 = plays.iter().map(|play| play.lost_sends).sum();
  let unreached: u32 = plays.iter().map(|play| play.unreached_sends).sum();
  let refused: u32 = plays.iter().map(|play| play.refused_sends).sum();
  format!("{share:.3} | {lost} | {unreached} | {refused}")
}
