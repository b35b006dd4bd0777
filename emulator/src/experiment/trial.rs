//! One day, played once for one variant.

use {
  super::{ExperimentError, bench_report::BenchReport, checkout::Checkout},
  serde::Serialize,
  std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
  },
};

/// Lines of the bench's output that an error shows.
const SHOWN_LINES: usize = 6;

/// What is to be played.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trial {
  /// The variant's name.
  pub variant: String,
  /// Which copy of the checkout is the variant's.
  pub checkout: usize,
  /// The site file.
  pub site: PathBuf,
  /// The day's name, or its file.
  pub day: String,
  /// The day's seed.
  pub seed: u64,
}

impl Trial {
  /// The file of its report, in the folder of the copies. A day's file may lie anywhere.
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

/// What came of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
  /// The variant's name.
  pub variant: String,
  /// The site file's name.
  pub site: String,
  /// The day's name.
  pub day: String,
  /// The day's seed.
  pub seed: u64,
  /// The day's worth, prices taken off.
  pub worth: f64,
  /// The part of what was owed that was earned.
  pub earned_share: f64,
  /// All prices together, in worth.
  pub prices: f64,
  /// Rules that were broken.
  pub rules_broken: usize,
}

/// The users' bench.
pub(super) struct Bench {
  pub(super) program: PathBuf,
  /// Why, for its journal.
  pub(super) reason: String,
}

impl Bench {
  /// Builds a copy.
  pub(super) fn build(&self, checkout: &Checkout) -> Result<(), ExperimentError> {
    let mut command = self.command(&checkout.path);
    run(command.arg("build"), "the build").map(drop)
  }

  /// Plays a trial.
  pub(super) fn play(
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
    // A name where there is no such file.
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
    run(command.arg("--report").arg(&report), &what)?;
    measure(&report, trial, &site).map_err(|message| ExperimentError::Report { message, what })
  }

  fn command(&self, checkout: &Path) -> Command {
    let mut command =
      Command::new(fs::canonicalize(&self.program).unwrap_or_else(|_| self.program.clone()));
    command.current_dir(checkout);
    command
  }
}

fn run(command: &mut Command, what: &str) -> Result<Output, ExperimentError> {
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
    output: lines[lines.len().saturating_sub(SHOWN_LINES)..].join("\n"),
    status: output.status,
    what: what.into(),
  })
}

fn measure(report: &Path, trial: &Trial, site: &str) -> Result<Measurement, String> {
  let text = fs::read_to_string(report).map_err(|error| error.to_string())?;
  let report: BenchReport = serde_json::from_str(&text).map_err(|error| error.to_string())?;
  Ok(Measurement {
    day: trial.day.clone(),
    earned_share: report.earned_share,
    prices: report.prices.iter().map(|(_, _, worth)| worth).sum(),
    rules_broken: report.breaks.len(),
    seed: trial.seed,
    site: site.into(),
    variant: trial.variant.clone(),
    worth: report.worth,
  })
}
