//! On which evidence an entry's version is that of the process behind a connection. Free of I/O.

use std::fmt;

/// On which evidence an entry's version is that of the process behind a connection.
///
/// ```
/// use rillford::gateway::VersionEvidence;
/// assert_eq!(VersionEvidence::None { observed_ms: 40 }.to_string(), "none, observed for 40 ms");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionEvidence {
  /// The process reports the start that the entry names.
  Start,
  /// Neither the engine's reports nor the entry name a start: the id is that of one process.
  Id,
  /// The process was observed for longer than its entry lags.
  Observed,
  /// None: a former process may have written the entry.
  None {
    /// For how long the process was observed.
    observed_ms: u64,
  },
}

impl VersionEvidence {
  /// Whether there is any.
  pub fn is_known(self) -> bool {
    !matches!(self, Self::None { .. })
  }
}

impl fmt::Display for VersionEvidence {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::Start => formatter.write_str("start"),
      Self::Id => formatter.write_str("id"),
      Self::Observed => formatter.write_str("observed"),
      Self::None { observed_ms } => write!(formatter, "none, observed for {observed_ms} ms"),
    }
  }
}
