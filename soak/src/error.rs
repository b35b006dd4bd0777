//! Why a run can't be played.

use std::{io, path::PathBuf};

/// Why a run can't be played; broken promises are no errors.
#[derive(Debug, thiserror::Error)]
pub enum Error {
  /// A file can't be written.
  #[error("{path}: {source}")]
  File {
    /// The file.
    path: PathBuf,
    /// Why.
    source: io::Error,
  },
  /// No port can be had.
  #[error("no port for a stand-in: {0}")]
  Listen(io::Error),
  /// The program does not start.
  #[error("{path} does not start: {source}")]
  Program {
    /// The program.
    path: PathBuf,
    /// Why.
    source: io::Error,
  },
  /// A process can't be waited for.
  #[error("a box's process can't be waited for: {0}")]
  Wait(io::Error),
  /// The boxes did not come up.
  #[error("{0} boxes are not ready")]
  NotReady(usize),
}

/// The outcome of a step of a run.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
