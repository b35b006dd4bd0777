//! Strategies of boxes for a limit that an endpoint advertises for all of them together.

/// How boxes enforce the limit. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceWay {
  /// Not at all.
  Off,
  /// Each box enforces an even share.
  EvenParts,
  /// Each box admits by the total that it knows, and announces its own to all others every 150 ms.
  ToldSums,
  /// One box, the coordinator, grants permits; the others ask it.
  Asked,
  /// `Asked`, and the box that first receives the limit announces it to the others.
  AskedAndTold,
}

impl PlaceWay {
  /// All strategies, in the order of reports.
  pub const ALL: [Self; 5] = [
    Self::Off,
    Self::EvenParts,
    Self::ToldSums,
    Self::Asked,
    Self::AskedAndTold,
  ];
}
