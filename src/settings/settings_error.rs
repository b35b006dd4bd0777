//! An error in a settings file.

use std::path::PathBuf;

/// An error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}:{line}: {key}: {message}", file.display())]
pub struct SettingsError {
  /// The file.
  pub file: PathBuf,
  /// The line, from 1.
  pub line: usize,
  /// The key, with its section.
  pub key: String,
  /// What is wrong.
  pub message: String,
}
