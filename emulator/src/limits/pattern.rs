//! Load and faults of the limits simulation.

/// Start of the pattern. By then the buckets are full and all boxes have exchanged messages.
pub(super) const PATTERN_START_MS: u64 = 9_000;
const PATTERN_DURATION_MS: u64 = 6_000;
/// End of the simulation: one usage window after the pattern.
pub(super) const SIMULATION_END_MS: u64 = PATTERN_START_MS + PATTERN_DURATION_MS + 8_000;
/// Load of an overloading organisation as a multiple of its normal load.
const HOT_FACTOR: f64 = 7.5;
/// A lowered limit as a fraction of the original limit.
const LOWERED_LIMIT_SHARE: f64 = 0.25;

/// A combination of load and faults under which limits are hard to enforce. The reports print the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPattern {
  /// Every organisation sends its normal load.
  Calm,
  /// The load of the largest and the smallest organisation jumps to 7.5 times their normal load.
  Hot,
  /// `Hot`, while the network between one hall and the others is partitioned.
  HotAndCutHall,
  /// `Hot`, starting as all boxes restart.
  HotAndAllNew,
  /// `Hot`, while every fourth box is isolated from all others.
  HotAndLoneBoxes,
  /// `Hot`, while box 0 announces a thousand times its actual totals.
  HotAndLiar,
  /// `Hot`, while messages between boxes take 500 ms.
  HotAndLag,
  /// All limits are lowered to a quarter, far below the load.
  LimitsCut,
  /// All requests arrive at boxes of one hall.
  OneHall,
  /// `Hot`, with small requests and large prompts.
  MixedSizes,
}

impl LimitPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 10] = [
    Self::Calm,
    Self::Hot,
    Self::HotAndCutHall,
    Self::HotAndAllNew,
    Self::HotAndLoneBoxes,
    Self::HotAndLiar,
    Self::HotAndLag,
    Self::LimitsCut,
    Self::OneHall,
    Self::MixedSizes,
  ];

  pub(super) fn is_active(self, now_ms: u64) -> bool {
    (PATTERN_START_MS..PATTERN_START_MS + PATTERN_DURATION_MS).contains(&now_ms)
  }

  /// Whether some organisations send more than their normal load.
  pub(super) fn is_hot(self) -> bool {
    !matches!(self, Self::Calm | Self::LimitsCut | Self::OneHall)
  }

  /// The load of an organisation as a multiple of its normal load.
  pub(super) fn load(self, organisation: usize, organisations: usize, now_ms: u64) -> f64 {
    let is_overloading = organisation == 0 || organisation + 1 == organisations;
    if self.is_hot() && is_overloading && self.is_active(now_ms) {
      HOT_FACTOR
    } else {
      1.0
    }
  }

  /// The applied limits as a fraction of the original limits.
  pub(super) fn limit_share(self, now_ms: u64) -> f64 {
    if self == Self::LimitsCut && now_ms >= PATTERN_START_MS {
      LOWERED_LIMIT_SHARE
    } else {
      1.0
    }
  }

  /// The time at which all boxes restart, if they do.
  pub(super) fn boxes_restart_ms(self) -> Option<u64> {
    (self == Self::HotAndAllNew).then_some(PATTERN_START_MS)
  }

  /// Whether two boxes can exchange messages.
  pub(super) fn are_connected(self, one: BoxLocation, other: BoxLocation, now_ms: u64) -> bool {
    if !self.is_active(now_ms) || one.number == other.number {
      return true;
    }
    match self {
      Self::HotAndCutHall => one.hall == other.hall || (one.hall != 0 && other.hall != 0),
      Self::HotAndLoneBoxes => !one.is_isolated() && !other.is_isolated(),
      _ => true,
    }
  }

  /// The delay of a message.
  pub(super) fn message_delay_ms(self, one: BoxLocation, other: BoxLocation, now_ms: u64) -> u64 {
    if self == Self::HotAndLag && self.is_active(now_ms) {
      return 500;
    }
    if one.hall == other.hall { 2 } else { 5 }
  }

  /// The total that a box announces for the units it has counted.
  pub(super) fn announced_units(self, sender: BoxLocation, units: i64, now_ms: u64) -> i64 {
    let is_inflated = self == Self::HotAndLiar && sender.number == 0 && self.is_active(now_ms);
    if is_inflated { units * 1_000 } else { units }
  }
}

/// The number of a box and of its hall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BoxLocation {
  pub(super) number: usize,
  pub(super) hall: usize,
}

impl BoxLocation {
  fn is_isolated(self) -> bool {
    self.number % 4 == 3
  }
}
