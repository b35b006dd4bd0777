//! Errors that prevent a run.

use std::{io, path::PathBuf};

/// An error that prevents a run; breaches are not errors.
#[derive(Debug, thiserror::Error)]
pub enum Error {
  /// A file could not be written.
  #[error("{path}: {source}")]
  File {
    /// Path of the file.
    path: PathBuf,
    /// Cause of the error.
    source: io::Error,
  },
  /// No port could be opened.
  #[error("failed to open a port: {0}")]
  Listen(io::Error),
  /// The program could not be started.
  #[error("failed to start {path}: {source}")]
  Program {
    /// Path of the program.
    path: PathBuf,
    /// Cause of the error.
    source: io::Error,
  },
  /// Waiting for a process failed.
  #[error("failed to wait for a box's process: {0}")]
  Wait(io::Error),
  /// Boxes did not become ready in time.
  #[error("{0} boxes are not ready")]
  NotReady(usize),
}

/// Result of an operation of a run.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
