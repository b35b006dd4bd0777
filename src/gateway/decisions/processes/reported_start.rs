//! What an engine's reports say of its start. Free of I/O.

/// Time until a report is requested again that could not be read.
const RETRY_MS: u64 = 1_000;

/// What an engine's reports say of its start.
///
/// ```
/// use rillford::gateway::ReportedStart;
/// let unread = ReportedStart::default();
/// assert!(unread.is_wanted(0));
/// assert!(!unread.after_failure(0).is_wanted(500));
/// assert_eq!(unread.after_report(None), ReportedStart::Unnamed);
/// let named = unread.after_report(Some(1));
/// assert_eq!(named.after_report(None), ReportedStart::Named);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedStart {
  /// None was read yet.
  Unread {
    /// When the last one was requested in vain.
    failed_ms: Option<u64>,
  },
  /// None names it: each start of the engine has an id of its own.
  Unnamed,
  /// One has named it: the engine may start again under its id.
  Named,
  /// None names it, but an entry of another process has taken the place of that of the engine.
  Reused,
}

impl Default for ReportedStart {
  fn default() -> Self {
    Self::Unread { failed_ms: None }
  }
}

impl ReportedStart {
  /// Whether a report is to be requested.
  pub fn is_wanted(self, now_ms: u64) -> bool {
    match self {
      Self::Unread { failed_ms } => {
        failed_ms.is_none_or(|failed_ms| now_ms >= failed_ms + RETRY_MS)
      }
      Self::Unnamed | Self::Named | Self::Reused => false,
    }
  }

  /// A report was read, with the start that it names.
  #[must_use]
  pub fn after_report(self, started_ms: Option<u64>) -> Self {
    match (self, started_ms) {
      (Self::Named, _) | (_, Some(_)) => Self::Named,
      (Self::Reused, None) => Self::Reused,
      (Self::Unread { .. } | Self::Unnamed, None) => Self::Unnamed,
    }
  }

  /// A report could not be read.
  #[must_use]
  pub fn after_failure(self, now_ms: u64) -> Self {
    match self {
      Self::Unread { .. } => Self::Unread {
        failed_ms: Some(now_ms),
      },
      Self::Unnamed | Self::Named | Self::Reused => self,
    }
  }

  /// An entry of another process has taken the place of the former one.
  #[must_use]
  pub fn after_other_process(self) -> Self {
    match self {
      Self::Named => Self::Named,
      Self::Unread { .. } | Self::Unnamed | Self::Reused => Self::Reused,
    }
  }
}
