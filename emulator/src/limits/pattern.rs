//! What goes wrong in a replay of limits, and when.

/// When patterns begin: the buckets are full and all boxes have heard each other by then.
pub(super) const BEGINS_MS: u64 = 9_000;
/// How long they last.
const LASTS_MS: u64 = 6_000;
/// When a replay ends: a window after the pattern.
pub(super) const ENDS_MS: u64 = BEGINS_MS + LASTS_MS + 8_000;
/// An organisation that is hot sends so many times its usual.
const HOT_FACTOR: f64 = 7.5;
/// A limit that is cut is this part of the former one.
const CUT_LIMIT_SHARE: f64 = 0.25;

/// A way in which limits are hard to keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPattern {
  /// Every organisation sends its usual.
  Calm,
  /// The largest and the smallest organisation send 7.5 times their usual, from one moment to the next.
  Hot,
  /// The same, while one hall is cut off from the others.
  HotAndCutHall,
  /// The same, when all boxes have just started.
  HotAndAllNew,
  /// The same, while every fourth box is cut off from all others.
  HotAndLoneBoxes,
  /// The same, while one box that counts claims a thousand times its counts.
  HotAndLiar,
  /// The same, while what boxes tell each other takes half a second.
  HotAndLag,
  /// All limits are cut to a quarter, far below what is sent.
  LimitsCut,
  /// All callers of an organisation come by one hall.
  OneHall,
}

impl LimitPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 9] = [
    Self::Calm,
    Self::Hot,
    Self::HotAndCutHall,
    Self::HotAndAllNew,
    Self::HotAndLoneBoxes,
    Self::HotAndLiar,
    Self::HotAndLag,
    Self::LimitsCut,
    Self::OneHall,
  ];

  /// Whether it is in force.
  pub(super) fn is_in_force(self, now_ms: u64) -> bool {
    (BEGINS_MS..BEGINS_MS + LASTS_MS).contains(&now_ms)
  }

  /// Whether some organisations send more than their usual.
  pub(super) fn is_hot(self) -> bool {
    !matches!(self, Self::Calm | Self::LimitsCut | Self::OneHall)
  }

  /// How many times its usual an organisation sends; the largest comes first.
  pub(super) fn load(self, organisation: usize, organisations: usize, now_ms: u64) -> f64 {
    let is_hot_one = organisation == 0 || organisation + 1 == organisations;
    if self.is_hot() && is_hot_one && self.is_in_force(now_ms) {
      HOT_FACTOR
    } else {
      1.0
    }
  }

  /// The part of the limits that is in force.
  pub(super) fn limit_share(self, now_ms: u64) -> f64 {
    if self == Self::LimitsCut && now_ms >= BEGINS_MS {
      CUT_LIMIT_SHARE
    } else {
      1.0
    }
  }

  /// When all boxes start, if not at the beginning.
  pub(super) fn boxes_start_ms(self) -> Option<u64> {
    (self == Self::HotAndAllNew).then_some(BEGINS_MS)
  }

  /// Whether two boxes hear each other.
  pub(super) fn are_connected(self, one: BoxPlace, other: BoxPlace, now_ms: u64) -> bool {
    if !self.is_in_force(now_ms) || one.number == other.number {
      return true;
    }
    match self {
      Self::HotAndCutHall => one.hall == other.hall || (one.hall != 0 && other.hall != 0),
      Self::HotAndLoneBoxes => !one.is_lone() && !other.is_lone(),
      _ => true,
    }
  }

  /// How long a message takes.
  pub(super) fn message_ms(self, one: BoxPlace, other: BoxPlace, now_ms: u64) -> u64 {
    if self == Self::HotAndLag && self.is_in_force(now_ms) {
      return 500;
    }
    if one.hall == other.hall { 2 } else { 5 }
  }

  /// What a box claims to have counted.
  pub(super) fn claims(self, teller: BoxPlace, units: i64, now_ms: u64) -> i64 {
    let lies = self == Self::HotAndLiar && teller.number == 0 && self.is_in_force(now_ms);
    if lies { units * 1_000 } else { units }
  }
}

/// Where a box stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BoxPlace {
  pub(super) number: usize,
  pub(super) hall: usize,
}

impl BoxPlace {
  fn is_lone(self) -> bool {
    self.number % 4 == 3
  }
}
