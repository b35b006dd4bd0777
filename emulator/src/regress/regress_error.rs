//! Errors of a regression run.

use std::{io, path::PathBuf, process::ExitStatus};

/// Why a regression run failed.
#[derive(Debug, thiserror::Error)]
pub enum RegressError {
  /// A required file does not exist.
  #[error("{} does not exist", .0.display())]
  Missing(PathBuf),
  /// The list of sites can't be read or parsed.
  #[error("site list {}: {message}", path.display())]
  List {
    /// Path of the list.
    path: PathBuf,
    /// What is wrong with the list.
    message: String,
  },
  /// The output of the bench can't be saved.
  #[error("writing {}: {source}", path.display())]
  Output {
    /// Path of the file or folder.
    path: PathBuf,
    /// The cause.
    source: io::Error,
  },
  /// The bench can't be started.
  #[error("starting {}: {source}", path.display())]
  Start {
    /// Path of the bench.
    path: PathBuf,
    /// The cause.
    source: io::Error,
  },
  /// The bench exited with an error or was killed.
  #[error("the bench exited with {status} on {site}; its output is in {}", output_path.display())]
  Bench {
    /// The site.
    site: String,
    /// Its exit status.
    status: ExitStatus,
    /// Path of its output.
    output_path: PathBuf,
  },
  /// The bench printed no score.
  #[error("no score of {site} in {}", output_path.display())]
  NoScore {
    /// The site.
    site: String,
    /// Path of its output.
    output_path: PathBuf,
  },
  /// Sites whose mean dropped too far below the baseline, or whose gate failed.
  #[error("worse than the last landing, or with a gate that failed: {0}")]
  Regressed(String),
}
