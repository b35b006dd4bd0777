//! Regression run: scores each site of a list with the users' bench and compares the mean with the recorded baseline, the
//! mean at the last landing (merge into main).

mod regress_error;
mod score_report;
mod site_list;

pub use self::{
  regress_error::RegressError,
  score_report::{ScoreReport, score_report},
  site_list::{BaselineSite, SiteList},
};

use {
  bpaf::Bpaf,
  std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
  },
};

/// Largest drop of a mean below its baseline that passes.
const MAX_DROP: f64 = 0.03;

/// Options of the regression run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(regress_options))]
pub struct RegressOptions {
  /// The program of the users' bench
  #[bpaf(long, argument("FILE"))]
  pub bench: PathBuf,
  /// The folder that the paths of site files are relative to
  #[bpaf(long, argument("FOLDER"))]
  pub sites: PathBuf,
  /// The list of sites with their baselines
  #[bpaf(
    long,
    argument("FILE"),
    fallback(PathBuf::from("docs/regression.toml"))
  )]
  pub list: PathBuf,
  /// Folder for the output of the bench, one file per site
  #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("target/regress")))]
  pub output: PathBuf,
  /// Reason for the run, recorded in the bench's journal
  #[bpaf(long, argument("TEXT"))]
  pub why: String,
}

/// Scores all sites in order and prints a table row for each. Stops at the first site that the bench can't score, and keeps the
/// output of earlier ones; a failed gate or a drop of more than `MAX_DROP` is reported as an error after the last site.
pub fn regress(options: &RegressOptions) -> Result<(), RegressError> {
  let list = SiteList::read(&options.list)?;
  let files = list.files(&options.sites)?;
  if !options.bench.exists() {
    return Err(RegressError::Missing(options.bench.clone()));
  }
  fs::create_dir_all(&options.output).map_err(|source| output_error(&options.output, source))?;
  println!("| site | mean | last landing | difference | gate |");
  println!("| --- | ---: | ---: | ---: | --- |");
  let mut regressed = Vec::new();
  for (site, file) in list.sites.iter().zip(&files) {
    let report = score_site(options, site, file)?;
    println!("{}", table_row(site, &report));
    if !report.gate_passed || report.mean() < site.mean - MAX_DROP {
      regressed.push(site.name.clone());
    }
  }
  if regressed.is_empty() {
    return Ok(());
  }
  Err(RegressError::Regressed(regressed.join(", ")))
}

/// Scores one site and saves the output of the bench.
fn score_site(
  options: &RegressOptions,
  site: &BaselineSite,
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
  let output_path = options.output.join(format!("{}.txt", site.name));
  fs::write(&output_path, [&output.stdout[..], &output.stderr].concat())
    .map_err(|source| output_error(&output_path, source))?;
  if !output.status.success() {
    return Err(RegressError::Bench {
      output_path,
      site: site.name.clone(),
      status: output.status,
    });
  }
  score_report(&String::from_utf8_lossy(&output.stdout)).ok_or(RegressError::NoScore {
    output_path,
    site: site.name.clone(),
  })
}

fn output_error(path: &Path, source: io::Error) -> RegressError {
  RegressError::Output {
    path: path.into(),
    source,
  }
}

fn table_row(site: &BaselineSite, report: &ScoreReport) -> String {
  let gate = if report.gate_passed {
    "passed"
  } else {
    "failed"
  };
  // Rounded before printing, and -0 normalised to +0, so that equal means show +0.000.
  let difference = ((report.mean() - site.mean) * 1_000.0).round() / 1_000.0 + 0.0;
  format!(
    "| {} | {:.3} | {:.3} | {difference:+.3} | {gate} |",
    site.name,
    report.mean(),
    site.mean
  )
}
