//! Behaviour of endpoints and callers in the notice simulation.

/// Time from which no new callers arrive.
pub(super) const ARRIVALS_END_MS: u64 = 40_000;
/// Periods in which endpoint 0 rejects all requests.
const SHEDS_MS: [(u64, u64); 2] = [(5_000, 14_000), (22_000, 31_000)];
/// Period in which all endpoints reject all requests.
const ALL_SHED_MS: (u64, u64) = (10_000, 13_000);
/// Period of increased load.
const OVERLOAD_MS: (u64, u64) = (5_000, 15_000);
/// When endpoint 0 begins to send leaving notices, terminates, and is removed from the list.
const LEAVES_MS: (u64, u64, u64) = (5_000, 18_000, 18_600);
/// Period in which all endpoints send leaving notices by mistake.
const MISTAKEN_MS: (u64, u64) = (10_000, 12_000);
const OVERLOAD_FACTOR: f64 = 4.0;

/// Behaviour of endpoints and callers. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticePattern {
  /// One endpoint rejects all requests for 9 s, twice, and asks for a backoff of 3 s.
  OneSheds,
  /// One endpoint always rejects all requests, and asks for a backoff of 10 h.
  OneAlwaysSheds,
  /// All endpoints reject all requests for 3 s, and ask for a backoff of 2 s.
  AllShed,
  /// The load is four times the normal load for 10 s; endpoints with a full queue ask for a backoff of 1 s.
  Pressed,
  /// One endpoint sends leaving notices while the store still lists it, and terminates.
  OneLeaves,
  /// All endpoints send leaving notices by mistake for 2 s.
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

  /// Whether an endpoint rejects all requests.
  pub(super) fn rejects_all(self, endpoint: usize, now_ms: u64) -> bool {
    let within = |(from_ms, until_ms): (u64, u64)| (from_ms..until_ms).contains(&now_ms);
    match self {
      Self::OneSheds => endpoint == 0 && SHEDS_MS.into_iter().any(within),
      Self::OneAlwaysSheds => endpoint == 0,
      Self::AllShed => within(ALL_SHED_MS),
      Self::Pressed | Self::OneLeaves | Self::AllMistaken => false,
    }
  }

  /// The backoff that a rejecting endpoint asks for.
  pub(super) fn backoff_ms(self) -> u64 {
    match self {
      Self::OneAlwaysSheds => 36_000_000,
      Self::AllShed => 2_000,
      Self::Pressed => 1_000,
      Self::OneSheds | Self::OneLeaves | Self::AllMistaken => 3_000,
    }
  }

  /// Whether an endpoint sends leaving notices.
  pub(super) fn is_leaving(self, endpoint: usize, now_ms: u64) -> bool {
    match self {
      Self::OneLeaves => endpoint == 0 && now_ms >= LEAVES_MS.0,
      Self::AllMistaken => (MISTAKEN_MS.0..MISTAKEN_MS.1).contains(&now_ms),
      _ => false,
    }
  }

  /// When endpoint 0 terminates, and when the store no longer lists it.
  pub(super) fn termination_ms(self) -> Option<(u64, u64)> {
    let (_, terminates_ms, unlisted_ms) = LEAVES_MS;
    (self == Self::OneLeaves).then_some((terminates_ms, unlisted_ms))
  }

  /// The load as a multiple of the normal load.
  pub(super) fn load(self, now_ms: u64) -> f64 {
    let is_overloaded = (OVERLOAD_MS.0..OVERLOAD_MS.1).contains(&now_ms);
    if self == Self::Pressed && is_overloaded {
      OVERLOAD_FACTOR
    } else {
      1.0
    }
  }
}
