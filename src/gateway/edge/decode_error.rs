//! A value that was received could not be decoded.

/// A value that was received could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{what}: {message}")]
pub struct DecodeError {
  /// The value that was decoded.
  pub what: &'static str,
  /// What is wrong with it.
  pub message: String,
}
