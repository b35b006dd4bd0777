//! Why a regression run came to no end, or to a bad one.

use std::{io, path::PathBuf, process::ExitStatus};

/// What went wrong.
#[derive(Debug, thiserror::Error)]
pub enum RegressError {
  /// A file that was named is not there.
  #[error("{} does not exist", .0.display())]
  Missing(PathBuf),
  /// The list of sites can't be read.
  #[error("the list of sites {}: {message}", path.display())]
  List {
    /// The list.
    path: PathBuf,
    /// What is wrong with it.
    message: String,
  },
  /// What was printed can't be kept.
  #[error("writing {}: {source}", path.display())]
  Output {
    /// The file or folder.
    path: PathBuf,
    /// Why not.
    source: io::Error,
  },
  /// The bench can't be started.
  #[error("starting {}: {source}", path.display())]
  Start {
    /// The bench.
    path: PathBuf,
    /// Why not.
    source: io::Error,
  },
  /// The bench failed, or was killed.
  #[error("the bench ended with {status} on {site}; what it printed is in {}", printed.display())]
  Bench {
    /// The site.
    site: String,
    /// How it ended.
    status: ExitStatus,
    /// What it printed.
    printed: PathBuf,
  },
  /// The bench printed no score.
  #[error("no score of {site} in {}", printed.display())]
  NoScore {
    /// The site.
    site: String,
    /// What it printed.
    printed: PathBuf,
  },
  /// Sites that stand worse than at the last landing.
  #[error("worse than the last landing, or with a gate that failed: {0}")]
  Fallen(String),
}
