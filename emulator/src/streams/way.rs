//! How a box learns where a stream began that its caller resumes.

/// How a box learns where a stream began. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamWay {
  /// From its own records alone.
  OwnBox,
  /// It asks all other boxes, which keep their own records only.
  AskAll,
  /// Each stream is recorded at one other box, which is asked.
  OneCopy,
  /// Each stream is recorded at up to four other boxes, within the budget for records; some boxes of each hall are asked.
  Copies,
}

impl StreamWay {
  /// All ways, in the order of reports.
  pub const ALL: [Self; 4] = [Self::OwnBox, Self::AskAll, Self::OneCopy, Self::Copies];
}
