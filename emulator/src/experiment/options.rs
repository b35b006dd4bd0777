//! Options of an experiment.

use {
  super::{ExperimentError, Measurement, Trial, Variant},
  bpaf::Bpaf,
  std::{fs, path::PathBuf},
};

/// The options of `emulator experiment`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(experiment_options))]
pub struct ExperimentOptions {
  /// The program of the users' bench
  #[bpaf(long, argument("FILE"))]
  pub bench: PathBuf,
  /// The checkout to measure
  #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from(".")))]
  pub checkout: PathBuf,
  /// A site file; may be given several times
  #[bpaf(
    long("site"),
    argument("FILE"),
    some("at least one --site is required")
  )]
  pub sites: Vec<PathBuf>,
  /// A simulated day: its name or file; may be given several times
  #[bpaf(long("day"), argument("NAME"), some("at least one --day is required"))]
  pub days: Vec<String>,
  /// Number of seeds per day
  #[bpaf(long, argument("N"), fallback(6))]
  pub seeds: u64,
  /// The first seed
  #[bpaf(long("first-seed"), argument("N"), fallback(1_000))]
  pub first_seed: u64,
  /// Number of trials to run in parallel
  #[bpaf(long, argument("N"), fallback(4))]
  pub jobs: usize,
  /// Reason for the run, recorded in the bench's journal
  #[bpaf(long, argument("TEXT"))]
  pub why: String,
  /// A variant: NAME, or NAME:section.key=value,section.key=value; the first is the baseline
  #[bpaf(long("variant"), argument("TEXT"), many)]
  pub variant_texts: Vec<String>,
  /// File for all measurements, as JSON
  #[bpaf(long, argument("FILE"))]
  pub json: Option<PathBuf>,
  /// File for a plot of the differences, as SVG
  #[bpaf(long, argument("FILE"))]
  pub plot: Option<PathBuf>,
}

impl ExperimentOptions {
  /// Validates paths and counts. Fails with the first invalid option.
  pub(super) fn check(&self) -> Result<(), ExperimentError> {
    let mut paths = vec![("--bench", &self.bench), ("--checkout", &self.checkout)];
    paths.extend(self.sites.iter().map(|site| ("--site", site)));
    for (option, path) in paths {
      if !path.exists() {
        let path = path.clone();
        return Err(ExperimentError::Missing { option, path });
      }
    }
    for (option, number) in [("--seeds", self.seeds), ("--jobs", self.jobs as u64)] {
      if number == 0 {
        let message = "must be 1 or more".into();
        return Err(ExperimentError::Option { option, message });
      }
    }
    Ok(())
  }

  /// Parses the variants; without any, the unchanged settings are the only one.
  pub(super) fn variants(&self) -> Result<Vec<Variant>, ExperimentError> {
    if self.variant_texts.is_empty() {
      return Ok(vec![Variant::unchanged("as it is")]);
    }
    let variants = self
      .variant_texts
      .iter()
      .map(|text| Variant::parse(text))
      .collect::<Result<Vec<_>, _>>()?;
    for (index, variant) in variants.iter().enumerate() {
      if variants[..index]
        .iter()
        .any(|other| other.name == variant.name)
      {
        let message = format!("{} is given twice", variant.name);
        return Err(ExperimentError::Option {
          option: "--variant",
          message,
        });
      }
    }
    Ok(variants)
  }

  /// All trials, grouped by seed so that an experiment that stops early still has pairs to compare.
  pub(super) fn trials(&self, variants: &[Variant]) -> Vec<Trial> {
    let mut trials = Vec::new();
    for seed in self.first_seed..self.first_seed + self.seeds {
      for site in &self.sites {
        for day in &self.days {
          trials.extend(
            variants
              .iter()
              .enumerate()
              .map(|(checkout, variant)| Trial {
                checkout,
                day: day.clone(),
                seed,
                site: site.clone(),
                variant: variant.name.clone(),
              }),
          );
        }
      }
    }
    trials
  }

  /// Writes the measurements so far to the file of `--json`, if given.
  pub(super) fn write_json(&self, measured: &[Measurement]) -> Result<(), ExperimentError> {
    let Some(path) = &self.json else {
      return Ok(());
    };
    let text = serde_json::to_string_pretty(measured).map_err(|error| ExperimentError::Option {
      message: error.to_string(),
      option: "--json",
    })?;
    fs::write(path, text).map_err(ExperimentError::io("writing measurements"))
  }
}
