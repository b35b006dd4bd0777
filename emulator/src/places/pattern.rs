//! What happens in a replay of places, and when.

/// When a replay ends.
pub(super) const ENDS_MS: u64 = 60_000;
/// From here on the endpoint names its limit.
pub(super) const NAMED_FROM_MS: u64 = 5_000;
/// When the box that counts freezes, or is cut off.
const AWAY_MS: (u64, u64) = (15_000, 30_000);
/// When it ends, and is back.
pub(super) const ENDED_MS: (u64, u64) = (15_000, 32_000);
/// Boxes hear of a change of their list up to so much later.
pub(super) const LIST_LAG_MS: f64 = 2_000.0;

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacePattern {
  /// Callers come by all boxes.
  Even,
  /// All callers come by one box.
  OneBox,
  /// The box that counts does nothing for fifteen seconds.
  CountingFreezes,
  /// The box that counts ends, and starts again; the others hear of it at different moments.
  CountingEnds,
  /// The boxes of the endpoint's hall can't be reached from the others for fifteen seconds; the endpoint can.
  HallCutOff,
  /// Messages between boxes take up to 150 ms, and one in five is lost.
  LateAndLost,
  /// Each second answer names half of the limit.
  FiguresDiffer,
}

impl PlacePattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 7] = [
    Self::Even,
    Self::OneBox,
    Self::CountingFreezes,
    Self::CountingEnds,
    Self::HallCutOff,
    Self::LateAndLost,
    Self::FiguresDiffer,
  ];

  /// Whether the box that counts does nothing.
  pub(super) fn is_frozen(self, now_ms: u64) -> bool {
    self == Self::CountingFreezes && (AWAY_MS.0..AWAY_MS.1).contains(&now_ms)
  }

  /// Whether the box that counts is not there.
  pub(super) fn has_ended(self, now_ms: u64) -> bool {
    self == Self::CountingEnds && (ENDED_MS.0..ENDED_MS.1).contains(&now_ms)
  }

  /// Whether the endpoint's hall is cut off from other boxes.
  pub(super) fn is_cut(self, now_ms: u64) -> bool {
    self == Self::HallCutOff && (AWAY_MS.0..AWAY_MS.1).contains(&now_ms)
  }

  /// Whether something keeps boxes from the one that counts, or changes the figure.
  pub fn is_calm(self) -> bool {
    matches!(self, Self::Even | Self::OneBox)
  }
}
