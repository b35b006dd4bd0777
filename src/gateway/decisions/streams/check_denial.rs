//! Why no further run checks the end of an answer.

/// Why no further run checks the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CheckDenial {
  /// As many events arrived as the request allows tokens, so the stream is complete.
  #[error("all tokens arrived")]
  AllTokens,
  /// The answer itself checks the end of another one.
  #[error("the run checks an earlier end")]
  IsCheck,
  /// The request may run only once.
  #[error("the stream may not be resumed")]
  NotResumable,
  /// The last event has no id after which another run could continue.
  #[error("the last event has no id")]
  NoOrder,
  /// The request may be what crashes its engines.
  #[error("the request is quarantined")]
  Quarantined,
  /// The route allows no further attempt.
  #[error("no attempt left")]
  NoAttempt,
  /// The retry budget is spent, or the rest of it is kept for requests that have failed.
  #[error("no retry left")]
  NoRetry,
  /// No engine of the stream's version has a free slot.
  #[error("no free slot")]
  NoSlot,
  /// The version that began the stream is not known.
  #[error("the stream's version is not known")]
  NoVersion,
  /// The run that was to check it has failed.
  #[error("the run that was to check it failed")]
  Failed,
}

impl CheckDenial {
  /// Whether the caller's next request may check what this box's run can't: it is no retry, and may come when the version is known.
  ///
  /// ```
  /// use rillford::gateway::CheckDenial;
  /// assert!(CheckDenial::NoVersion.is_left_to_caller());
  /// assert!(!CheckDenial::NoSlot.is_left_to_caller());
  /// ```
  #[must_use]
  pub fn is_left_to_caller(self) -> bool {
    match self {
      Self::Failed | Self::NoAttempt | Self::NoRetry | Self::NoVersion => true,
      Self::AllTokens
      | Self::IsCheck
      | Self::NoOrder
      | Self::NoSlot
      | Self::NotResumable
      | Self::Quarantined => false,
    }
  }
}
