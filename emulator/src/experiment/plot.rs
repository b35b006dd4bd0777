//! The differences of an experiment, as SVG: a row a variant and site, with two standard errors to each side.

use {
  super::{ExperimentError, Summary},
  plotters::prelude::*,
  std::{io, path::Path},
};

const WIDTH: u32 = 760;
const ROW_HEIGHT: u32 = 26;
const MARGINS_HEIGHT: u32 = 80;
/// Half of the axis at least, in worth.
const LEAST_RANGE: f64 = 0.02;
const STANDARD_ERRORS: f64 = 2.0;

/// Draws the plot. Fails when the file can't be written.
pub(super) fn draw(path: &Path, summaries: &[Summary]) -> Result<(), ExperimentError> {
  plot(path, summaries).map_err(|error| ExperimentError::Io {
    source: io::Error::other(error.to_string()),
    step: "drawing the plot",
  })
}

fn plot(path: &Path, summaries: &[Summary]) -> Result<(), Box<dyn std::error::Error>> {
  let reach = |one: &Summary| one.difference.abs() + STANDARD_ERRORS * one.standard_error;
  let range = summaries.iter().map(reach).fold(LEAST_RANGE, f64::max);
  let rows = summaries.len();
  let height = MARGINS_HEIGHT + ROW_HEIGHT * rows as u32;
  let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
  area.fill(&WHITE)?;
  let mut chart = ChartBuilder::on(&area)
    .margin(12)
    .x_label_area_size(36)
    .y_label_area_size(240)
    .build_cartesian_2d(-range..range, (0..rows).into_segmented())?;
  let label = |segment: &SegmentValue<usize>| match segment {
    SegmentValue::CenterOf(row) => summaries
      .get(*row)
      .map_or_else(String::new, |one| format!("{}: {}", one.site, one.variant)),
    SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
  };
  chart
    .configure_mesh()
    .disable_y_mesh()
    .y_labels(rows + 1)
    .y_label_formatter(&label)
    .x_desc("difference of worth to the first variant")
    .draw()?;
  for (row, one) in summaries.iter().enumerate() {
    let reach = STANDARD_ERRORS * one.standard_error;
    let at = |worth: f64| (worth, SegmentValue::CenterOf(row));
    let bar = vec![at(one.difference - reach), at(one.difference + reach)];
    chart.draw_series(LineSeries::new(bar, &BLUE))?;
    chart.draw_series([Circle::new(at(one.difference), 4, BLUE.filled())])?;
  }
  area.present()?;
  Ok(())
}
