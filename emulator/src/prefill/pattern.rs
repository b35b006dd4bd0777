//! Load and faults of the prefill simulation.

use super::fleet::HALLS;

/// End of the simulation.
pub(super) const SIMULATION_END_MS: u64 = 60_000;
/// Requests that arrive earlier are not counted: all speeds are unknown.
pub(super) const COUNTED_FROM_MS: u64 = 5_000;
/// Period in which a coordinator is frozen or cut off from some boxes; it is terminated at its start.
pub(super) const FAULT_MS: (u64, u64) = (20_000, 25_000);
/// Duration of a burst in one hall, after which it moves to the next.
const BURST_MS: u64 = 3_000;
/// Duration of a wave of the load.
const WAVE_MS: f64 = 20_000.0;
/// Variation of the load by waves.
const WAVE_SHARE: f64 = 0.4;

/// Load of a busy pattern relative to the usual.
const BUSY_FACTOR: f64 = 1.4;

/// Load and faults; speeds are uneven and machines slow down in each. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefillPattern {
  /// The load rises and falls.
  Waves,
  /// One hall gets twice its load for 3 s, then the next.
  Burst,
  /// `Burst` with 1.4 times the load: the engines are saturated at the peaks of the waves.
  BusyBurst,
  /// The coordinator of some engines of the first hall terminates; the boxes' lists name it for up to 2 s.
  CoordinatorKilled,
  /// It is frozen for 5 s, and then reads what was sent to it.
  CoordinatorFrozen,
  /// It is cut off from a third of the boxes for 5 s.
  CoordinatorCutOff,
}

impl PrefillPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 6] = [
    Self::Waves,
    Self::Burst,
    Self::BusyBurst,
    Self::CoordinatorKilled,
    Self::CoordinatorFrozen,
    Self::CoordinatorCutOff,
  ];

  /// Whether a coordinator fails at some time.
  pub(super) fn is_faulty(self) -> bool {
    !matches!(self, Self::Waves | Self::Burst | Self::BusyBurst)
  }

  /// Whether a fault is present.
  pub(super) fn has_fault(self, now_ms: u64) -> bool {
    match self {
      Self::Waves | Self::Burst | Self::BusyBurst => false,
      Self::CoordinatorKilled => now_ms >= FAULT_MS.0,
      Self::CoordinatorFrozen | Self::CoordinatorCutOff => {
        (FAULT_MS.0..FAULT_MS.1).contains(&now_ms)
      }
    }
  }

  /// The load of each hall relative to the mean.
  pub(super) fn hall_loads(self, now_ms: u64) -> [f64; HALLS] {
    let phase = now_ms as f64 / WAVE_MS * std::f64::consts::TAU;
    let wave = 1.0 + WAVE_SHARE * phase.sin();
    let mut loads = [wave; HALLS];
    if matches!(self, Self::Burst | Self::BusyBurst) {
      loads[(now_ms / BURST_MS) as usize % HALLS] *= 2.0;
    }
    if self == Self::BusyBurst {
      loads = loads.map(|load| load * BUSY_FACTOR);
    }
    loads
  }
}
