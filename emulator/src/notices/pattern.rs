//! What endpoints do in a replay of notices, and when.

/// When a replay ends.
pub(super) const ENDS_MS: u64 = 40_000;
/// When endpoints turn requests away.
const SHEDS_MS: [(u64, u64); 2] = [(5_000, 14_000), (22_000, 31_000)];
/// When all of them do.
const ALL_SHED_MS: (u64, u64) = (10_000, 13_000);
/// When callers press.
const PRESSED_MS: (u64, u64) = (5_000, 15_000);
/// When an endpoint says that it leaves, ends, and is listed as gone.
const LEAVES_MS: (u64, u64, u64) = (5_000, 18_000, 18_600);
/// When endpoints say by mistake that they leave.
const MISTAKEN_MS: (u64, u64) = (10_000, 12_000);

/// What endpoints do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticePattern {
  /// One turns all away for 9 s, twice, and wants 3 s without any.
  OneSheds,
  /// One always turns all away, and wants ten hours.
  OneAlwaysSheds,
  /// All turn all away for 3 s, and want 2 s.
  AllShed,
  /// Callers press; endpoints whose queue is full want 1 s.
  Pressed,
  /// One leaves while the store is away, and ends.
  OneLeaves,
  /// All say for 2 s by mistake that they leave.
  AllMistaken,
}

impl NoticePattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 6] = [
    Self::OneSheds,
    Self::OneAlwaysSheds,
    Self::AllShed,
    Self::Pressed,
    Self::OneLeaves,
    Self::AllMistaken,
  ];

  /// Whether an endpoint turns all away at a time.
  pub(super) fn sheds(self, endpoint: usize, now_ms: u64) -> bool {
    let within = |(from_ms, until_ms): (u64, u64)| (from_ms..until_ms).contains(&now_ms);
    match self {
      Self::OneSheds => endpoint == 0 && SHEDS_MS.into_iter().any(within),
      Self::OneAlwaysSheds => endpoint == 0,
      Self::AllShed => within(ALL_SHED_MS),
      Self::Pressed | Self::OneLeaves | Self::AllMistaken => false,
    }
  }

  /// The pause that an endpoint wants.
  pub(super) fn pause_ms(self) -> u64 {
    match self {
      Self::OneAlwaysSheds => 36_000_000,
      Self::AllShed => 2_000,
      Self::Pressed => 1_000,
      Self::OneSheds | Self::OneLeaves | Self::AllMistaken => 3_000,
    }
  }

  /// Whether an endpoint says that it leaves.
  pub(super) fn leaves(self, endpoint: usize, now_ms: u64) -> bool {
    match self {
      Self::OneLeaves => endpoint == 0 && now_ms >= LEAVES_MS.0,
      Self::AllMistaken => (MISTAKEN_MS.0..MISTAKEN_MS.1).contains(&now_ms),
      _ => false,
    }
  }

  /// When the first endpoint ends, and when the store says so.
  pub(super) fn end_ms(self) -> Option<(u64, u64)> {
    let (_, ends_ms, listed_ms) = LEAVES_MS;
    (self == Self::OneLeaves).then_some((ends_ms, listed_ms))
  }

  /// How many times the usual requests come.
  pub(super) fn pressure(self, now_ms: u64) -> f64 {
    let is_pressed = (PRESSED_MS.0..PRESSED_MS.1).contains(&now_ms);
    if self == Self::Pressed && is_pressed {
      PRESSURE
    } else {
      1.0
    }
  }
}

/// Callers who press come so many times as often.
const PRESSURE: f64 = 4.0;
