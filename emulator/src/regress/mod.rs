//! Plays the sites that have landed once more, and sets each mean beside the one of the last landing.

mod regress_error;
mod score_report;
mod site_list;

pub use self::{
  regress_error::RegressError,
  score_report::{ScoreReport, score_report},
  site_list::{LandedSite, SiteList},
};

use {
  bpaf::Bpaf,
  std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
  },
};

/// How far a mean may fall below the last landing's.
const MOST_FALL: f64 = 0.03;

/// What is to be played.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(regress_options))]
pub struct RegressOptions {
  /// The users' bench
  #[bpaf(long, argument("FILE"))]
  pub bench: PathBuf,
  /// The folder below which the site files lie
  #[bpaf(long, argument("FOLDER"))]
  pub sites: PathBuf,
  /// The list of sites, with the last landing's means
  #[bpaf(
    long,
    argument("FILE"),
    fallback(PathBuf::from("docs/regression.toml"))
  )]
  pub list: PathBuf,
  /// Folder for what the bench prints of each site
  #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("target/regress")))]
  pub output: PathBuf,
  /// Why, for the bench's journal
  #[bpaf(long, argument("TEXT"))]
  pub why: String,
}

/// Plays all sites, one after the other. What a site printed is kept when a later one fails; a site that breaks a rule, fails its
/// gate or falls too far makes an error once all were played.
pub fn regress(options: &RegressOptions) -> Result<(), RegressError> {
  let list = SiteList::read(&options.list)?;
  let files = list.files(&options.sites)?;
  if !options.bench.exists() {
    return Err(RegressError::Missing(options.bench.clone()));
  }
  fs::create_dir_all(&options.output).map_err(|source| not_written(&options.output, source))?;
  println!("| site | mean | last landing | difference | gate |");
  println!("| --- | ---: | ---: | ---: | --- |");
  let mut fallen = Vec::new();
  for (site, file) in list.sites.iter().zip(&files) {
    let report = play(options, site, file)?;
    println!("{}", row(site, &report));
    if !report.gate_passed || report.mean() < site.mean - MOST_FALL {
      fallen.push(site.name.clone());
    }
  }
  if fallen.is_empty() {
    return Ok(());
  }
  Err(RegressError::Fallen(fallen.join(", ")))
}

/// Scores one site and keeps what the bench printed.
fn play(
  options: &RegressOptions,
  site: &LandedSite,
  file: &Path,
) -> Result<ScoreReport, RegressError> {
  let output = Command::new(&options.bench)
    .args(["score".as_ref(), file.as_os_str()])
    .args(["--why", &options.why])
    .output()
    .map_err(|source| RegressError::Start {
      path: options.bench.clone(),
      source,
    })?;
  let printed = options.output.join(format!("{}.txt", site.name));
  fs::write(&printed, [&output.stdout[..], &output.stderr].concat())
    .map_err(|source| not_written(&printed, source))?;
  if !output.status.success() {
    return Err(RegressError::Bench {
      printed,
      site: site.name.clone(),
      status: output.status,
    });
  }
  score_report(&String::from_utf8_lossy(&output.stdout)).ok_or(RegressError::NoScore {
    printed,
    site: site.name.clone(),
  })
}

fn not_written(path: &Path, source: io::Error) -> RegressError {
  RegressError::Output {
    path: path.into(),
    source,
  }
}

fn row(site: &LandedSite, report: &ScoreReport) -> String {
  let gate = if report.gate_passed {
    "passed"
  } else {
    "failed"
  };
  // Rounded first, and no -0: what is shown as equal is equal.
  let difference = ((report.mean() - site.mean) * 1_000.0).round() / 1_000.0 + 0.0;
  format!(
    "| {} | {:.3} | {:.3} | {difference:+.3} | {gate} |",
    site.name,
    report.mean(),
    site.mean
  )
}
