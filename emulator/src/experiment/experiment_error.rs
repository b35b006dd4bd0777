//! Errors of an experiment.

use std::{io, path::PathBuf, process::ExitStatus};

/// Why an experiment failed, or ended before all its trials were run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
  /// The file or folder of an option does not exist.
  #[error("{option}: {path} does not exist", path = path.display())]
  Missing {
    /// The option.
    option: &'static str,
    /// Its value.
    path: PathBuf,
  },
  /// The value of an option is invalid.
  #[error("{option}: {message}")]
  Option {
    /// The option.
    option: &'static str,
    /// What is wrong.
    message: String,
  },
  /// The bench exited with an error.
  #[error("the bench failed on {what}: {status}: {output}")]
  Bench {
    /// The trial, or the build.
    what: String,
    /// Exit status of the bench.
    status: ExitStatus,
    /// Last lines of its output.
    output: String,
  },
  /// A report can't be read or parsed.
  #[error("report of {what}: {message}")]
  Report {
    /// The trial.
    what: String,
    /// What is wrong.
    message: String,
  },
  /// A file operation failed.
  #[error("{step}: {source}")]
  Io {
    /// The operation.
    step: &'static str,
    /// The cause.
    source: io::Error,
  },
}

impl ExperimentError {
  /// Converts the error of the file operation `step`.
  pub(super) fn io(step: &'static str) -> impl Fn(io::Error) -> Self {
    move |source| Self::Io { step, source }
  }
}
