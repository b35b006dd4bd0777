//! Errors in configuration documents.

use crate::{ids::Name, policy::PolicyError};

/// An error in a configuration document.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigurationError {
  /// The key names no document.
  #[error("`{0}` is no document: known are `platform` and `organisations/NAME`")]
  Key(Name),
  /// The text is not valid JSON of the expected schema.
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
  /// The policy program is invalid.
  #[error("{key}: policy: {source}")]
  Policy {
    /// The document.
    key: Name,
    /// What is wrong.
    source: PolicyError,
  },
  /// A value is out of range.
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
