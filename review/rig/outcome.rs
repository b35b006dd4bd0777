//! The outcome of a run, and its exit code.

/// Whether the rule was broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
  Held,
  Broken,
}

impl Outcome {
  /// The outcome for a rule that is broken or not.
  pub fn of(is_broken: bool) -> Self {
    if is_broken { Self::Broken } else { Self::Held }
  }

  /// The exit code.
  pub fn code(self) -> u8 {
    match self {
      Self::Held => 0,
      Self::Broken => 1,
    }
  }
}
