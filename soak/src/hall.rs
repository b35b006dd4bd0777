//! The data halls of a run.

/// A data hall; places of endpoints take turns among them, and all boxes stand in the first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hall {
  /// The boxes' own.
  North,
  /// Another one.
  South,
}

impl Hall {
  /// The hall of an endpoint's place.
  pub(crate) fn of_place(place: usize) -> Self {
    if place.is_multiple_of(2) {
      Self::North
    } else {
      Self::South
    }
  }

  /// Its name, as entries have it.
  pub(crate) fn name(self) -> &'static str {
    match self {
      Self::North => "north",
      Self::South => "south",
    }
  }
}
