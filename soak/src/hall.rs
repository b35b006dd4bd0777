//! The data halls of a run.

/// A data hall. Places alternate between the halls; all boxes are in the first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hall {
  /// The hall of the boxes.
  North,
  /// The other hall.
  South,
}

impl Hall {
  /// The hall of a place.
  pub(crate) fn of_place(place: usize) -> Self {
    if place.is_multiple_of(2) {
      Self::North
    } else {
      Self::South
    }
  }

  /// Name of the hall in store entries.
  pub(crate) fn name(self) -> &'static str {
    match self {
      Self::North => "north",
      Self::South => "south",
    }
  }
}
