//! Which boxes fail in the stream simulation.

/// Which boxes fail. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPattern {
  /// None: two streams in a hundred are cut between caller and box.
  Cuts,
  /// One box after the other is killed, an eighth of them within the run.
  KilledInTurn,
  /// Half of all boxes are killed at once.
  HalfKilled,
  /// All boxes of one hall are killed at once.
  HallLost,
}

impl StreamPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 4] = [
    Self::Cuts,
    Self::KilledInTurn,
    Self::HalfKilled,
    Self::HallLost,
  ];
}
