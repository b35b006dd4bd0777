//! Trials: one run of the bench for a variant, site, simulated day and seed.

use {
  super::{ExperimentError, bench_report::BenchReport, checkout::Checkout},
  serde::Serialize,
  std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
  },
};

/// Number of lines of the bench's output that an error includes.
const ERROR_OUTPUT_LINES: usize = 6;

/// One run of the bench.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trial {
  /// Name of the variant.
  pub variant: String,
  /// Index of the variant's copy of the checkout.
  pub checkout: usize,
  /// Path of the site file.
  pub site: PathBuf,
  /// Name of the day, or path of its file.
  pub day: String,
  /// Seed of the day.
  pub seed: u64,
}

impl Trial {
  /// File name of the report. Only the stems of paths are used, so that a path separator never becomes part of the name.
  ///
  /// ```
  /// use emulator::experiment::Trial;
  /// let trial = Trial { checkout: 0, day: "days/shed.toml".into(), seed: 7, site: "sites/oslo.toml".into(), variant: "on".into() };
  /// assert_eq!(trial.report_file(), "oslo-shed-7.json");
  /// ```
  pub fn report_file(&self) -> String {
    format!(
      "{}-{}-{}.json",
      stem(&self.site),
      stem(Path::new(&self.day)),
      self.seed
    )
  }
}

fn stem(path: &Path) -> String {
  path
    .file_stem()
    .unwrap_or_default()
    .to_string_lossy()
    .into_owned()
}

/// The result of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
  /// Name of the variant.
  pub variant: String,
  /// Name of the site file, without its extension.
  pub site: String,
  /// Name of the day, or path of its file.
  pub day: String,
  /// Seed of the day.
  pub seed: u64,
  /// Worth of the day, after deduction of prices.
  pub worth: f64,
  /// Fraction of the attainable worth that was earned.
  pub earned_share: f64,
  /// Sum of the deductions for prices, in worth.
  pub prices: f64,
  /// Number of violated rules.
  pub rules_broken: usize,
}

/// The program of the users' bench.
pub(super) struct Bench {
  pub(super) program: PathBuf,
  /// Reason for the run, recorded in the journal of the bench.
  pub(super) reason: String,
}

impl Bench {
  /// Builds the programs of a copy.
  pub(super) fn build(&self, checkout: &Checkout) -> Result<(), ExperimentError> {
    let mut command = self.command(&checkout.path);
    run_bench(command.arg("build"), "the build").map(drop)
  }

  pub(super) fn run_trial(
    &self,
    checkouts: &[Checkout],
    trial: &Trial,
  ) -> Result<Measurement, ExperimentError> {
    let site = stem(&trial.site);
    let what = format!(
      "{site} {} with seed {} of {}",
      trial.day, trial.seed, trial.variant
    );
    let checkout = &checkouts[trial.checkout].path;
    let report = checkout.with_extension(trial.report_file());
    let reason = format!("{} [{}]", self.reason, trial.variant);
    let site_path = fs::canonicalize(&trial.site).map_err(ExperimentError::io("site file"))?;
    let mut command = self.command(checkout);
    // Passed on as a name unless such a file exists.
    let day = fs::canonicalize(&trial.day).unwrap_or_else(|_| PathBuf::from(&trial.day));
    command.arg("run").arg(site_path).arg(day);
    command.args([
      "--seed",
      &trial.seed.to_string(),
      "--jobs",
      "1",
      "--why",
      &reason,
    ]);
    run_bench(command.arg("--report").arg(&report), &what)?;
    read_report(&report, trial, &site).map_err(|message| ExperimentError::Report { message, what })
  }

  fn command(&self, checkout: &Path) -> Command {
    let mut command =
      Command::new(fs::canonicalize(&self.program).unwrap_or_else(|_| self.program.clone()));
    command.current_dir(checkout);
    command
  }
}

fn run_bench(command: &mut Command, what: &str) -> Result<Output, ExperimentError> {
  let output = command
    .output()
    .map_err(ExperimentError::io("starting the bench"))?;
  if output.status.success() {
    return Ok(output);
  }
  let text = [output.stdout, output.stderr].concat();
  let text = String::from_utf8_lossy(&text);
  let lines: Vec<&str> = text.lines().collect();
  Err(ExperimentError::Bench {
    output: lines[lines.len().saturating_sub(ERROR_OUTPUT_LINES)..].join("\n"),
    status: output.status,
    what: what.into(),
  })
}

fn read_report(report: &Path, trial: &Trial, site: &str) -> Result<Measurement, String> {
  let text = fs::read_to_string(report).map_err(|error| error.to_string())?;
  let report: BenchReport = serde_json::from_str(&text).map_err(|error| error.to_string())?;
  Ok(Measurement {
    day: trial.day.clone(),
    earned_share: report.earned_share,
    prices: report.prices.iter().map(|(_, _, worth)| worth).sum(),
    rules_broken: report.violations.len(),
    seed: trial.seed,
    site: site.into(),
    variant: trial.variant.clone(),
    worth: report.worth,
  })
}
