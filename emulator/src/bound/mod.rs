//! What a router that knew everything could have earned on a day that the users' bench played, from the day's report and a
//! model of what no router can save: streams under way when power goes, and what comes while no box runs.
//!
//! The bound is too high where a fault takes more than the model says (engines that crash, answers that are lost), so a gap
//! to it is no proof of a mistake; it is what is left to look for.

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

/// What to work out.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(bound_options))]
pub struct BoundOptions {
  /// The report that the bench wrote of a day (`run --report FILE`)
  #[bpaf(long, argument("FILE"))]
  pub report: PathBuf,
  #[bpaf(external(bound_model))]
  pub model: BoundModel,
}

/// Prints a row for each stretch of the day that is far below its bound, and the bound of the whole day.
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
    .filter(|row| row.bound - row.earned > options.model.shown_gap)
  {
    println!(
      "| {} | {} | {:.3} | {:.3} | {} |",
      row.from_s,
      row.asked,
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
    BoundModel::worst_stretches(&rows, |row| row.earned),
    BoundModel::worst_stretches(&rows, |row| row.bound),
    BoundModel::worth(&rows, |row| row.bound)
  );
  Ok(())
}
