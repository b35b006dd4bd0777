//! What boxes make of a limit that is meant for all of them together.

/// What boxes make of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceWay {
  /// Nothing.
  Off,
  /// Each keeps an even part of it.
  EvenParts,
  /// Each admits by the sum that it knows, and tells the others every 150 ms.
  ToldSums,
  /// One box gives out places, and the others ask it.
  Asked,
  /// The same, and who hears the limit first tells the others.
  AskedAndTold,
}

impl PlaceWay {
  /// All ways, in the order of reports.
  pub const ALL: [Self; 5] = [
    Self::Off,
    Self::EvenParts,
    Self::ToldSums,
    Self::Asked,
    Self::AskedAndTold,
  ];
}
