//! Boxes and engines of the crash simulation.

/// Number of boxes and engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashFleet {
  pub boxes: usize,
  /// Decode engines.
  pub engines: usize,
}

impl CrashFleet {
  /// A small deployment.
  pub const SMALL: Self = Self {
    boxes: 8,
    engines: 7,
  };
  /// A large deployment.
  pub const LARGE: Self = Self {
    boxes: 78,
    engines: 105,
  };

  /// Arrival rate of innocent requests: with streams of 5 s on average, 8 run on each engine.
  pub(super) fn streams_per_s(self) -> f64 {
    self.engines as f64 * 1.6
  }
}
