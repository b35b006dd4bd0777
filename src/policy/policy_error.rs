//! What can be wrong with a policy program.

/// What can be wrong with a policy program.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
  /// The text is not a program.
  #[error("line {line}, column {column}: {message}")]
  Parse {
    /// Line, from 1.
    line: usize,
    /// Column, from 1.
    column: usize,
    /// What is wrong there.
    message: String,
  },
  /// A function that every policy has is missing.
  #[error("line 1, column 1: function `{0}` is missing")]
  Missing(&'static str),
  /// The program failed or overran its bounds.
  #[error("line {line}, column {column}: `{function}` failed: {message}")]
  Run {
    /// The function called.
    function: &'static str,
    /// Line, from 1; 0 where unknown.
    line: usize,
    /// Column, from 1; 0 where unknown.
    column: usize,
    /// What went wrong.
    message: String,
  },
  /// The answer has the wrong form.
  #[error("`{function}` must answer with {wanted}")]
  Answer {
    /// The function called.
    function: &'static str,
    /// What was wanted.
    wanted: &'static str,
  },
}
