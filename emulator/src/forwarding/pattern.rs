//! Which boxes are cut off in the forwarding simulation.

/// Which boxes are cut off. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutPattern {
  /// One box.
  One,
  /// Half of all boxes.
  Half,
  /// Four of five boxes, in all halls.
  FourOfFive,
  /// All boxes of one hall.
  OneHall,
  /// All boxes but those of one hall.
  AllButOneHall,
  /// All boxes but one in twenty, at least one.
  NearlyAll,
  /// All boxes.
  All,
}

impl CutPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 7] = [
    Self::One,
    Self::Half,
    Self::FourOfFive,
    Self::OneHall,
    Self::AllButOneHall,
    Self::NearlyAll,
    Self::All,
  ];
}
