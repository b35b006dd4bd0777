//! Plots as SVG files.

use {
  super::{
    figures::{Figures, spread},
    runs::{runs, upper_bound},
    variant::Variant,
    workload::{Day, Site},
  },
  plotters::prelude::*,
  std::{fmt::Write, io, path::Path},
};

const SIZE: (u32, u32) = (720, 440);

/// Goodput and wasted prefill at one value of `slot_certainty`.
#[derive(Clone, Copy, Debug)]
pub(super) struct CurvePoint {
  certainty: f64,
  goodput_per_s: f64,
  wasted_percent: f64,
}

/// Goodput and wasted prefill over the range of `slot_certainty`, at 1.25 of the peak load.
pub(super) fn certainty_curve(site: Site, seeds: u64) -> Vec<CurvePoint> {
  (0..=5)
    .map(|step| {
      let certainty = f64::from(step) / 5.0;
      let variant = Variant::shipped("knob", site)
        .tuned(|tuning| tuning.slot_certainty = certainty)
        .at(1.25);
      let runs = runs(site, Day::Peak, &variant, seeds);
      CurvePoint {
        certainty,
        goodput_per_s: spread(&runs, Figures::goodput_per_s).mean,
        wasted_percent: spread(&runs, |run| run.wasted_share() * 100.0).mean,
      }
    })
    .collect()
}

pub(super) fn curve_table(curve: &[CurvePoint]) -> String {
  let mut text = String::from(
    "At 1.25 of the peak.\n\n| seat certainty | goodput /s | wasted prefill % |\n| ---: | ---: | ---: |\n",
  );
  for point in curve {
    let _ = writeln!(
      text,
      "| {:.1} | {:.2} | {:.2} |",
      point.certainty, point.goodput_per_s, point.wasted_percent
    );
  }
  text
}

fn drawing_error<E: std::error::Error + Send + Sync>(error: DrawingAreaErrorKind<E>) -> io::Error {
  io::Error::other(error.to_string())
}

/// Draws goodput over wasted prefill, with a point for each value of `slot_certainty`.
pub(super) fn draw_curve(path: &Path, site: Site, curve: &[CurvePoint]) -> io::Result<()> {
  let root = SVGBackend::new(path, SIZE).into_drawing_area();
  root.fill(&WHITE).map_err(drawing_error)?;
  let max = |of: fn(&CurvePoint) -> f64| curve.iter().map(of).fold(0.0, f64::max);
  let min_goodput = curve
    .iter()
    .map(|point| point.goodput_per_s)
    .fold(f64::INFINITY, f64::min);
  let max_goodput = max(|point| point.goodput_per_s);
  let margin = ((max_goodput - min_goodput) * 0.2).max(0.05);
  let max_waste = (max(|point| point.wasted_percent) * 1.2).max(0.5);
  let mut chart = ChartBuilder::on(&root)
    .caption(
      format!("{site:?}: the knob seat_certainty, at 1.25 of the peak"),
      ("sans-serif", 18),
    )
    .margin(12)
    .x_label_area_size(40)
    .y_label_area_size(56)
    .build_cartesian_2d(0.0..max_waste, min_goodput - margin..max_goodput + margin)
    .map_err(drawing_error)?;
  chart
    .configure_mesh()
    .x_desc("wasted prefill, % of tokens read")
    .y_desc("goodput, completions a second")
    .draw()
    .map_err(drawing_error)?;
  let points = curve
    .iter()
    .map(|point| (point.wasted_percent, point.goodput_per_s));
  chart
    .draw_series(LineSeries::new(points.clone(), &BLUE))
    .map_err(drawing_error)?;
  chart
    .draw_series(curve.iter().map(|point| {
      let position = (point.wasted_percent, point.goodput_per_s);
      EmptyElement::at(position)
        + Circle::new((0, 0), 4, BLUE.filled())
        + Text::new(
          format!("{:.1}", point.certainty),
          (7, -12),
          ("sans-serif", 13).into_font(),
        )
    }))
    .map_err(drawing_error)?;
  root.present().map_err(drawing_error)
}

/// Draws goodput over the load for the shipped settings, two choices and the upper bound.
pub(super) fn draw_load(path: &Path, site: Site, seeds: u64) -> io::Result<()> {
  let loads = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0];
  let shipped = Variant::shipped("shipped", site);
  let two_choices = Variant::two_choices(site);
  let line = |runs_at: &dyn Fn(f64) -> Vec<Figures>| {
    loads
      .map(|load| (load, spread(&runs_at(load), Figures::goodput_per_s).mean))
      .to_vec()
  };
  let real = |variant: &Variant, load| runs(site, Day::Peak, &variant.clone().at(load), seeds);
  let lines = [
    ("shipped", line(&|load| real(&shipped, load)), BLUE),
    ("two choices", line(&|load| real(&two_choices, load)), RED),
    (
      "upper bound",
      line(&|load| upper_bound(site, Day::Peak, load, seeds)),
      BLACK,
    ),
  ];
  let max = lines
    .iter()
    .flat_map(|(_, points, _)| points)
    .map(|(_, goodput)| *goodput)
    .fold(0.0, f64::max);
  let root = SVGBackend::new(path, SIZE).into_drawing_area();
  root.fill(&WHITE).map_err(drawing_error)?;
  let mut chart = ChartBuilder::on(&root)
    .caption(
      format!("{site:?}: goodput over the load"),
      ("sans-serif", 18),
    )
    .margin(12)
    .x_label_area_size(40)
    .y_label_area_size(56)
    .build_cartesian_2d(0.4..2.1, 0.0..max * 1.1)
    .map_err(drawing_error)?;
  chart
    .configure_mesh()
    .x_desc("load, share of the peak")
    .y_desc("goodput, completions a second")
    .draw()
    .map_err(drawing_error)?;
  for (name, points, colour) in lines {
    chart
      .draw_series(LineSeries::new(points, &colour))
      .map_err(drawing_error)?
      .label(name)
      .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
  }
  chart
    .configure_series_labels()
    .border_style(BLACK)
    .background_style(WHITE)
    .draw()
    .map_err(drawing_error)?;
  root.present().map_err(drawing_error)
}
