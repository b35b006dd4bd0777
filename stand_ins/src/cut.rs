//! How connections between two parts of a deployment are cut.

/// What happens to open connections and to connection attempts while connections are cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
  /// Open connections hang, and connection attempts get no answer.
  Hang,
  /// Open connections are reset, and connection attempts get no answer.
  Reset,
  /// Open connections live on, and connection attempts are refused.
  RefuseNew,
  /// Open connections are reset, and connection attempts are refused.
  ResetAndRefuse,
  /// Open connections are reset, and new ones as soon as they are accepted.
  ResetAll,
}

impl Cut {
  /// Cuts by which open connections are reset.
  pub const RESETS: [Self; 3] = [Self::Reset, Self::ResetAndRefuse, Self::ResetAll];

  /// Whether open connections are reset.
  pub fn resets_open(self) -> bool {
    Self::RESETS.contains(&self)
  }
}
