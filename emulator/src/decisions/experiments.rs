//! Tables of the decision simulation.

use {
  super::{
    figures::{TABLE_HEAD, row},
    plots,
    runs::{runs, upper_bound},
    variant::{Fault, Variant},
    workload::{Day, Site},
  },
  std::{fmt::Write, io, path::Path, thread},
};

/// Options of the report.
#[derive(Clone, Debug)]
pub struct Report {
  /// Seeds, from 1.
  pub seeds: u64,
  /// Folder for plots, if they are drawn.
  pub plots: Option<std::path::PathBuf>,
  /// Text that the titles of the printed tables contain.
  pub only: Option<String>,
}

impl Report {
  fn includes(&self, site: Site, title: &str) -> bool {
    let full_title = format!("{site:?}: {title}");
    self
      .only
      .as_ref()
      .is_none_or(|only| full_title.contains(only))
  }
}

/// Formats a table. All variants run in parallel.
fn table(title: &str, site: Site, bounds: &[f64], variants: &[Variant], seeds: u64) -> String {
  let mut text = format!("\n### {site:?}: {title}\n\n{TABLE_HEAD}");
  let rows = thread::scope(|scope| {
    let bounds = bounds.iter().map(|load| {
      scope.spawn(move || {
        let runs = upper_bound(site, Day::Peak, *load, seeds);
        row(&format!("upper bound at {load}"), &runs)
      })
    });
    let bounds = bounds.collect::<Vec<_>>();
    let variants = variants.iter().map(|variant| {
      scope.spawn(move || row(variant.name, &runs(site, Day::Peak, variant, seeds)))
    });
    let handles = bounds.into_iter().chain(variants.collect::<Vec<_>>());
    handles
      .filter_map(|row| row.join().ok())
      .collect::<Vec<_>>()
  });
  text.extend(rows);
  text
}

fn renamed(name: &'static str, variant: Variant) -> Variant {
  Variant { name, ..variant }
}

/// Variants of the decisions.
fn strategies(site: Site) -> Vec<Variant> {
  let shipped = || Variant::shipped("shipped", site);
  vec![
    shipped(),
    Variant::round_robin(site),
    Variant::two_choices(site),
    Variant::lagging_load(site),
    Variant::fixed_shares(site),
    renamed(
      "no reservation",
      shipped().tuned(|tuning| tuning.reserve_before_prefill = false),
    ),
    renamed(
      "no early refusal",
      shipped().tuned(|tuning| tuning.early_refusal = false),
    ),
    Variant {
      cache_events: false,
      ..renamed("no cache events", shipped())
    },
  ]
}

fn loads(site: Site) -> Vec<Variant> {
  let shipped = |name, load| Variant::shipped(name, site).at(load);
  vec![
    shipped("0.5 of the peak", 0.5),
    shipped("0.8 of the peak", 0.8),
    shipped("1.0 of the peak", 1.0),
    shipped("1.25 of the peak", 1.25),
    shipped("1.5 of the peak", 1.5),
    shipped("2.0 of the peak", 2.0),
  ]
}

fn faults(site: Site) -> Vec<Variant> {
  let with = |name, fault| Variant::shipped(name, site).with(fault);
  vec![
    with("no fault", Fault::None),
    with("a tenth of the engines stall", Fault::EnginesStall),
    with("a decode engine dies", Fault::EngineDies),
    with("a box dies", Fault::BoxDies),
    with("reports 3 s late", Fault::LateReports),
    with("a hall is cut off", Fault::HallCut),
    with("key-value service away", Fault::PlatformAway),
    with("half of the callers leave", Fault::CallersLeave),
    with("retry storm", Fault::RetryStorm),
  ]
}

/// Prints the tables and draws the plots.
pub fn run_report(report: &Report) -> io::Result<()> {
  let mut text = String::new();
  for site in [Site::Oslo, Site::Sariwa] {
    let tables = [
      ("ways of deciding, at the peak", vec![1.0], strategies(site)),
      ("over the load", vec![1.5], loads(site)),
      ("under faults, at the peak", vec![], faults(site)),
    ];
    for (title, bounds, variants) in tables {
      if !report.includes(site, title) {
        continue;
      }
      text.push_str(&table(title, site, &bounds, &variants, report.seeds));
    }
    if !report.includes(site, "the knob") {
      continue;
    }
    let curve = plots::certainty_curve(site, report.seeds);
    let _ = write!(
      text,
      "\n### {site:?}: the knob\n\n{}",
      plots::curve_table(&curve)
    );
    if let Some(folder) = &report.plots {
      draw(folder, site, &curve, report.seeds)?;
    }
  }
  println!("{text}");
  Ok(())
}

fn draw(folder: &Path, site: Site, curve: &[plots::CurvePoint], seeds: u64) -> io::Result<()> {
  let site_name = format!("{site:?}").to_lowercase();
  plots::draw_curve(&folder.join(format!("knob-{site_name}.svg")), site, curve)?;
  plots::draw_load(&folder.join(format!("load-{site_name}.svg")), site, seeds)
}
