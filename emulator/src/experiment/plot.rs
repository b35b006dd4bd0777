//! Plot of an experiment in SVG: the difference of each variant and site to the baseline, with bars of two standard errors to
//! each side.

use {
  super::{ExperimentError, Summary},
  plotters::prelude::*,
  std::{io, path::Path},
};

const WIDTH: u32 = 760;
const ROW_HEIGHT: u32 = 26;
const MARGINS_HEIGHT: u32 = 80;
/// Minimum of the axis from its centre to each end, in worth.
const MIN_RANGE: f64 = 0.02;
const ERROR_BAR_STANDARD_ERRORS: f64 = 2.0;

/// Fails if the file can't be written.
pub(super) fn write_plot(path: &Path, summaries: &[Summary]) -> Result<(), ExperimentError> {
  draw(path, summaries).map_err(|error| ExperimentError::Io {
    source: io::Error::other(error.to_string()),
    step: "drawing the plot",
  })
}

fn draw(path: &Path, summaries: &[Summary]) -> Result<(), Box<dyn std::error::Error>> {
  let extent = |summary: &Summary| {
    summary.difference.abs() + ERROR_BAR_STANDARD_ERRORS * summary.standard_error
  };
  let range = summaries.iter().map(extent).fold(MIN_RANGE, f64::max);
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
    SegmentValue::CenterOf(row) => summaries.get(*row).map_or_else(String::new, |summary| {
      format!("{}: {}", summary.site, summary.variant)
    }),
    SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
  };
  chart
    .configure_mesh()
    .disable_y_mesh()
    .y_labels(rows + 1)
    .y_label_formatter(&label)
    .x_desc("difference of worth to the first variant")
    .draw()?;
  for (row, summary) in summaries.iter().enumerate() {
    let half_width = ERROR_BAR_STANDARD_ERRORS * summary.standard_error;
    let point = |worth: f64| (worth, SegmentValue::CenterOf(row));
    let bar = vec![
      point(summary.difference - half_width),
      point(summary.difference + half_width),
    ];
    chart.draw_series(LineSeries::new(bar, &BLUE))?;
    chart.draw_series([Circle::new(point(summary.difference), 4, BLUE.filled())])?;
  }
  area.present()?;
  Ok(())
}
