//! Upper bound of the worth that an ideal router could earn on a simulated day of the users' bench. It is computed from the
//! day's report and a model of the losses that no router can avoid: streams in progress at a power failure, and requests that
//! arrive while no box runs.
//!
//! The model leaves out some losses (engine crashes, lost responses), so the bound may be too high, and a gap to it is not by
//! itself evidence of a fault.

mod day_report;
mod model;

pub use self::{
  day_report::{DayReport, Fault, Window},
  model::{BoundModel, BoundRow, bound_model},
};

use {
  bpaf::Bpaf,
  std::{fs, io, path::PathBuf},
};

/// Options of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(bound_options))]
pub struct BoundOptions {
  /// The report of a day that the bench wrote (`run --report FILE`)
  #[bpaf(long, argument("FILE"))]
  pub report: PathBuf,
  #[bpaf(external(bound_model))]
  pub model: BoundModel,
}

/// Prints the windows whose gap to the bound exceeds the threshold, and the totals of the day.
pub fn print_bound(options: &BoundOptions) -> io::Result<()> {
  let text = fs::read_to_string(&options.report)
    .map_err(|error| io::Error::other(format!("{}: {error}", options.report.display())))?;
  let report = DayReport::parse(&text)
    .map_err(|error| io::Error::other(format!("{}: {error}", options.report.display())))?;
  println!("| from s | asked | earned | bound | faults |");
  println!("| ---: | ---: | ---: | ---: | --- |");
  let rows = options.model.rows(&report);
  for row in rows
    .iter()
    .filter(|row| row.bound - row.earned > options.model.min_gap)
  {
    println!(
      "| {} | {} | {:.3} | {:.3} | {} |",
      row.from_s,
      row.requests,
      row.earned,
      row.bound,
      row.faults.join(", ")
    );
  }
  println!();
  println!(
    "whole day {:.3} of {:.3}, two worst stretches {:.3} of {:.3}, worth without prices at most {:.3}",
    BoundModel::whole_day(&rows, |row| row.earned),
    BoundModel::whole_day(&rows, |row| row.bound),
    BoundModel::worst_windows(&rows, |row| row.earned),
    BoundModel::worst_windows(&rows, |row| row.bound),
    BoundModel::worth(&rows, |row| row.bound)
  );
  Ok(())
}
