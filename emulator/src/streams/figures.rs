//! Figures of the stream simulation.

/// What a simulation counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamFigures {
  /// Streams that callers resumed.
  pub resumed: u32,
  /// Of these, streams whose origin the box learned.
  pub known: u32,
  /// Of these, streams whose learned origin was wrong.
  pub wrong: u32,
  /// Records sent.
  pub records: u32,
  /// Boxes that were asked.
  pub lookups: u32,
  /// Bytes that a box sent and received a second, on average.
  pub bytes_per_s: f64,
  /// The most records that one box kept.
  pub most_kept: usize,
}

impl StreamFigures {
  /// The share of resumed streams that may go on.
  pub fn known_share(&self) -> f64 {
    f64::from(self.known) / f64::from(self.resumed.max(1))
  }
}
