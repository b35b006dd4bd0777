//! What boxes make of what endpoints say of themselves.

/// What boxes make of what endpoints say of themselves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeWay {
  /// Nothing: an endpoint that turns a request away is left alone for a moment.
  Off,
  /// Each box keeps to what it was told itself.
  OwnBox,
  /// The same, and the boxes come back one after the other.
  OwnBoxSpread,
  /// Boxes tell each other.
  Told,
}

impl NoticeWay {
  /// All ways, in the order of reports.
  pub const ALL: [Self; 4] = [Self::Off, Self::OwnBox, Self::OwnBoxSpread, Self::Told];
}
