//! The data halls of a run.

/// A data hall. Places alternate between the halls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hall {
  /// The first hall, which has all boxes where there are two.
  North,
  /// The second hall.
  South,
  /// The third hall.
  East,
}

impl Hall {
  /// Most halls of a deployment.
  pub const COUNT: usize = 3;
  /// All halls.
  pub(crate) const ALL: [Self; Self::COUNT] = [Self::North, Self::South, Self::East];

  /// Halls among which places alternate, unless the deployment has another number.
  pub(crate) const USUAL_COUNT: usize = 2;

  /// The hall of a place, where places alternate among a number of halls.
  pub(crate) fn of_place(place: usize, halls: usize) -> Self {
    Self::ALL[place % halls]
  }

  /// The next one of a number of halls.
  pub(crate) fn next(self, halls: usize) -> Self {
    Self::of_place(self as usize + 1, halls)
  }

  /// Name of the hall in store entries.
  pub(crate) fn name(self) -> &'static str {
    match self {
      Self::North => "north",
      Self::South => "south",
      Self::East => "east",
    }
  }
}
