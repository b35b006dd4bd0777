//! What can go wrong with an experiment.

use std::{io, path::PathBuf, process::ExitStatus};

/// Why an experiment came to nothing, or to less than was asked for.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
  /// A file or folder that an option names is not there.
  #[error("{option}: {path} does not exist", path = path.display())]
  Missing {
    /// The option.
    option: &'static str,
    /// What it names.
    path: PathBuf,
  },
  /// An option's value can't be used.
  #[error("{option}: {message}")]
  Option {
    /// The option.
    option: &'static str,
    /// What is wrong.
    message: String,
  },
  /// The bench ended without a report.
  #[error("the bench failed on {what}: {status}: {output}")]
  Bench {
    /// What it was asked for.
    what: String,
    /// How it ended.
    status: ExitStatus,
    /// The last lines that it printed.
    output: String,
  },
  /// A report can't be read.
  #[error("report of {what}: {message}")]
  Report {
    /// Of which trial.
    what: String,
    /// What is wrong.
    message: String,
  },
  /// A file operation failed.
  #[error("{step}: {source}")]
  Io {
    /// What was being done.
    step: &'static str,
    /// Why it failed.
    source: io::Error,
  },
}

impl ExperimentError {
  /// Wraps a failed file operation.
  pub(super) fn io(step: &'static str) -> impl Fn(io::Error) -> Self {
    move |source| Self::Io { step, source }
  }
}
