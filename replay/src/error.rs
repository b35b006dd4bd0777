//! Errors of a replay.

use std::{io, path::PathBuf};

/// Why a replay can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
  /// A file can't be read or written.
  #[error("{}: {source}", path.display())]
  File {
    /// The file.
    path: PathBuf,
    /// The cause.
    source: io::Error,
  },
  /// A site file is not valid.
  #[error("{}: {reason}", path.display())]
  Site {
    /// The file.
    path: PathBuf,
    /// What is wrong with it.
    reason: String,
  },
  /// A deploy file is not valid.
  #[error("{}: {reason}", path.display())]
  Deploy {
    /// The file.
    path: PathBuf,
    /// What is wrong with it.
    reason: String,
  },
  /// A settings template is not valid.
  #[error("settings template: {0}")]
  Template(String),
  /// The threads of the replay can't be started.
  #[error("cannot start threads: {0}")]
  Threads(io::Error),
  /// An impairment can't be added to a day.
  #[error("{0}")]
  Impairment(String),
  /// A listener can't be opened.
  #[error("cannot listen: {0}")]
  Listen(io::Error),
  /// The program can't be started.
  #[error("cannot start {}: {source}", path.display())]
  Program {
    /// The program.
    path: PathBuf,
    /// The cause.
    source: io::Error,
  },
  /// The end of a process can't be waited for.
  #[error("cannot wait for a process: {0}")]
  Wait(io::Error),
  /// A box was not ready in time.
  #[error("{0} boxes were not ready in time")]
  NotReady(usize),
}

/// Result of an operation of a replay.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
