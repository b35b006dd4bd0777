//! Whether the end of an engine's answer is the end of its stream. Free of I/O.

use super::checked_ends::EarlyEnds;

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
  /// With its last chunk, or after its length.
  Framed,
  /// With its connection, while its engine runs on.
  Connection,
  /// Before the head of a further answer on the connection.
  NextAnswer,
}

/// What is known when an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndEvidence {
  /// How the answer ended.
  pub end: AnswerEnd,
  /// Whether as many events were forwarded as the request allows tokens: each event holds one or more.
  pub has_all_tokens: bool,
  /// Whether the answer continues after an event that the caller names, and brought none: a run before it ended there too.
  pub is_empty_rest: bool,
  /// Whether a run before this one, which it checks, ended after the same event.
  pub was_repeated: bool,
  /// Whether an answer of the same stream was interrupted, or ended early, or its caller has resumed it. Its caller may resume it, too.
  pub was_interrupted: bool,
  /// Whether a further run may continue after the last event.
  pub may_check: bool,
  /// Whether the caller may resume the stream.
  pub may_be_resumed: bool,
  /// How many ends of the same software version were early lately.
  pub early_ends: EarlyEnds,
  /// Whether many ends of the same version were checked lately, and all whole.
  pub others_are_whole: bool,
  /// Whether the caller's next request may check the end although no run of this box can.
  pub caller_may_check: bool,
}

/// What an end means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
  /// The stream is complete.
  Complete,
  /// A further run that continues after the last event shows it.
  Check,
  /// The stream is incomplete, or nothing shows that it is complete where others were not.
  Incomplete,
}

impl EndEvidence {
  /// Whether only a further run could show what the end means.
  pub(crate) fn is_to_be_checked(self) -> bool {
    self.end != AnswerEnd::Framed && !self.has_all_tokens && !self.was_repeated
  }

  /// Whether the caller's next request shows what a run of this box could not be paid to show.
  fn is_left_to_caller(self) -> bool {
    self.may_be_resumed
      && self.caller_may_check
      && !self.others_are_whole
      && self.end == AnswerEnd::Connection
  }

  /// What the end means. Without a sign to the contrary an end with the connection counts, since some services have no other.
  ///
  /// ```
  /// use rillford::gateway::{AnswerEnd, EarlyEnds, EndEvidence, EndVerdict};
  /// let evidence = EndEvidence {
  ///   caller_may_check: false,
  ///   early_ends: EarlyEnds::None,
  ///   end: AnswerEnd::Connection,
  ///   has_all_tokens: false,
  ///   is_empty_rest: false,
  ///   may_be_resumed: true,
  ///   may_check: true,
  ///   others_are_whole: false,
  ///   was_interrupted: false,
  ///   was_repeated: false,
  /// };
  /// assert_eq!(evidence.verdict(), EndVerdict::Check);
  /// let unchecked = EndEvidence { may_check: false, ..evidence };
  /// assert_eq!(unchecked.verdict(), EndVerdict::Complete);
  /// let over_budget = EndEvidence { caller_may_check: true, ..unchecked };
  /// assert_eq!(over_budget.verdict(), EndVerdict::Incomplete);
  /// ```
  #[must_use]
  pub fn verdict(self) -> EndVerdict {
    if !self.is_to_be_checked() {
      return EndVerdict::Complete;
    }
    if self.may_check {
      return EndVerdict::Check;
    }
    if self.is_empty_rest {
      return EndVerdict::Complete;
    }
    if self.was_interrupted || self.is_left_to_caller() {
      return EndVerdict::Incomplete;
    }
    // An abort costs a caller who may resume the stream a request, and others the stream.
    let too_many = match self.may_be_resumed {
      true => EarlyEnds::Some,
      false => EarlyEnds::Most,
    };
    if self.early_ends >= too_many && self.end == AnswerEnd::Connection {
      return EndVerdict::Incomplete;
    }
    EndVerdict::Complete
  }
}
