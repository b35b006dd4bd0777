//! Errors of a policy program.

/// Errors of a policy program.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
  /// The program does not compile.
  #[error("line {line}, column {column}: {message}")]
  Parse {
    /// From 1.
    line: usize,
    /// From 1.
    column: usize,
    message: String,
  },
  /// A required function is missing.
  #[error("line 1, column 1: function `{0}` is missing")]
  Missing(&'static str),
  /// The program failed or exceeded a limit.
  #[error("line {line}, column {column}: `{function}` failed: {message}")]
  Run {
    function: &'static str,
    /// From 1; 0 if unknown.
    line: usize,
    /// From 1; 0 if unknown.
    column: usize,
    message: String,
  },
  /// The function returned a value of the wrong form.
  #[error("`{function}` must answer with {expected}")]
  ReturnValue {
    function: &'static str,
    expected: &'static str,
  },
}
