//! How a box that is cut off finds one that is not.

/// How a box finds one that serves its requests. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardingWay {
  /// Three random boxes are asked; those that declined are passed over for a second, and three requests in a row that no box
  /// accepted end forwarding for a second.
  Random,
  /// What boxes answered is remembered, and up to eight are asked.
  Remembered,
  /// Each box announces to all others that it is cut off.
  Announced,
}

impl ForwardingWay {
  /// All ways, in the order of reports.
  pub const ALL: [Self; 3] = [Self::Random, Self::Remembered, Self::Announced];
}
