//! How many boxes and engines a replay of crashes has.

/// Boxes and engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashFleet {
  /// Boxes.
  pub boxes: usize,
  /// Engines that write answers.
  pub engines: usize,
}

impl CrashFleet {
  /// The users' smallest deployment.
  pub const SMALL: Self = Self {
    boxes: 8,
    engines: 7,
  };
  /// The users' deployment of 78 boxes.
  pub const LARGE: Self = Self {
    boxes: 78,
    engines: 105,
  };

  /// Innocent streams a second: some eight at each engine at the mean.
  pub(super) fn streams_per_s(self) -> f64 {
    self.engines as f64 * 1.6
  }
}
