//! What is wrong with something that was received.

/// Something that was received can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{what}: {message}")]
pub struct DecodeError {
  /// What was read.
  pub what: &'static str,
  /// What is wrong with it.
  pub message: String,
}
