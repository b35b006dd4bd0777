//! Load and faults of the permit simulation.

/// End of the simulation.
pub(super) const SIMULATION_END_MS: u64 = 60_000;
/// Time from which the endpoint advertises its limit.
pub(super) const ADVERTISED_FROM_MS: u64 = 5_000;
/// Period in which the coordinator is frozen or the endpoint's hall is partitioned.
const FAULT_MS: (u64, u64) = (15_000, 30_000);
/// Period in which the coordinator is terminated.
pub(super) const TERMINATED_MS: (u64, u64) = (15_000, 32_000);
/// Maximum delay until a box receives a change of the box list.
pub(super) const MAX_LIST_DELAY_MS: f64 = 2_000.0;

/// Load and faults. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacePattern {
  /// Requests arrive at all boxes.
  Even,
  /// All requests arrive at one box.
  OneBox,
  /// The coordinator is frozen for 15 s.
  CountingFreezes,
  /// The coordinator terminates and restarts; the other boxes receive both changes at different times.
  CountingEnds,
  /// The boxes of the endpoint's hall are partitioned from the others for 15 s; all boxes still reach the endpoint.
  HallCutOff,
  /// Messages between boxes are delayed by up to 150 ms, and one in five is lost.
  LateAndLost,
  /// Every second response advertises half of the limit.
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

  /// Whether the coordinator is frozen.
  pub(super) fn is_frozen(self, now_ms: u64) -> bool {
    self == Self::CountingFreezes && (FAULT_MS.0..FAULT_MS.1).contains(&now_ms)
  }

  /// Whether the coordinator is terminated.
  pub(super) fn is_terminated(self, now_ms: u64) -> bool {
    self == Self::CountingEnds && (TERMINATED_MS.0..TERMINATED_MS.1).contains(&now_ms)
  }

  /// Whether the endpoint's hall is partitioned from the others.
  pub(super) fn is_partitioned(self, now_ms: u64) -> bool {
    self == Self::HallCutOff && (FAULT_MS.0..FAULT_MS.1).contains(&now_ms)
  }

  /// Whether the pattern has no fault and the advertised limit stays the same.
  pub fn is_calm(self) -> bool {
    matches!(self, Self::Even | Self::OneBox)
  }
}
