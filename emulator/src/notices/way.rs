//! Strategies of boxes for the notices of endpoints.

/// How boxes apply the notices of endpoints. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeWay {
  /// Notices are ignored: boxes back off briefly from an endpoint that rejects a request.
  Off,
  /// Each box applies the notices that it receives itself.
  OwnBox,
  /// `OwnBox`, with jitter added to backoffs so that boxes return at different times.
  OwnBoxSpread,
  /// `OwnBox`, and boxes forward notices to each other.
  Told,
}

impl NoticeWay {
  /// All strategies, in the order of reports.
  pub const ALL: [Self; 4] = [Self::Off, Self::OwnBox, Self::OwnBoxSpread, Self::Told];
}
