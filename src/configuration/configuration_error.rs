//! What can be wrong with a configuration document.

use crate::{ids::Name, policy::PolicyError};

/// What can be wrong with a configuration document.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigurationError {
  /// The key names no document.
  #[error("`{0}` is no document: known are `platform` and `organisations/NAME`")]
  Key(Name),
  /// The text is not JSON of the right form.
  #[error("{key}: line {line}, column {column}: {message}")]
  Form {
    /// The document.
    key: Name,
    /// Line, from 1.
    line: usize,
    /// Column, from 1.
    column: usize,
    /// What is wrong.
    message: String,
  },
  /// The policy program is wrong.
  #[error("{key}: policy: {source}")]
  Policy {
    /// The document.
    key: Name,
    /// What is wrong.
    source: PolicyError,
  },
  /// A value makes no sense.
  #[error("{key}: {field}: {message}")]
  Value {
    /// The document.
    key: Name,
    /// The field.
    field: &'static str,
    /// What is wrong.
    message: String,
  },
}
