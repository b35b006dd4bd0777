//! Load and faults of the load simulation.

/// Start of the pattern. By then boxes have received the engines' load.
const PATTERN_START_MS: u64 = 6_000;
/// Time after the pattern in which requests are counted, too.
const COUNTED_AFTER_MS: u64 = 1_000;

/// A combination of load and faults. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
  /// Normal load without faults.
  Calm,
  /// Six engines in ten lose 40% of their responses for 4 s.
  LostAnswers,
  /// `LostAnswers` in a burst of 2.3 times the normal load, which needs all engines.
  LostAnswersInBurst,
  /// Every engine loses 40% of its responses for 4 s, so that no choice among them helps.
  WholeServiceFails,
  /// A burst of 2.3 times the normal load for 4 s, in which a fifth of the engines is down for 2 s.
  BurstWithCrash,
  /// The network between one hall and the others is partitioned for 6 s.
  CutHall,
  /// All boxes restart, and the load is four times the normal load in the first second.
  AllReturn,
}

/// How an engine behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineState {
  Sound,
  /// It loses this fraction of its responses.
  Loses(f64),
  /// It is down.
  Gone,
}

impl Pattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 7] = [
    Self::Calm,
    Self::LostAnswers,
    Self::LostAnswersInBurst,
    Self::WholeServiceFails,
    Self::BurstWithCrash,
    Self::CutHall,
    Self::AllReturn,
  ];

  /// Start and end of the pattern.
  fn period_ms(self) -> (u64, u64) {
    let duration_ms = match self {
      Self::CutHall => 6_000,
      Self::Calm => 5_000,
      Self::AllReturn => 1_000,
      Self::LostAnswers
      | Self::LostAnswersInBurst
      | Self::WholeServiceFails
      | Self::BurstWithCrash => 4_000,
    };
    (PATTERN_START_MS, PATTERN_START_MS + duration_ms)
  }

  pub fn is_active(self, now_ms: u64) -> bool {
    let (from_ms, to_ms) = self.period_ms();
    (from_ms..to_ms).contains(&now_ms)
  }

  /// Whether a request that arrives now is counted in the results.
  pub fn is_counted(self, now_ms: u64) -> bool {
    let (from_ms, to_ms) = self.period_ms();
    (from_ms..to_ms + COUNTED_AFTER_MS).contains(&now_ms)
  }

  /// End of the simulation.
  pub fn simulation_end_ms(self) -> u64 {
    self.period_ms().1 + 2 * COUNTED_AFTER_MS
  }

  /// Time at which all boxes restart, if they do.
  pub fn boxes_restart_ms(self) -> Option<u64> {
    (self == Self::AllReturn).then_some(PATTERN_START_MS)
  }

  /// The load as a multiple of the normal load.
  pub fn load(self, now_ms: u64) -> f64 {
    match self {
      Self::BurstWithCrash | Self::LostAnswersInBurst if self.is_active(now_ms) => 2.3,
      Self::AllReturn if self.is_active(now_ms) => 4.0,
      _ => 1.0,
    }
  }

  pub fn engine(self, number: usize, now_ms: u64) -> EngineState {
    let (from_ms, _) = self.period_ms();
    let is_crash = (from_ms + 1_000..from_ms + 3_000).contains(&now_ms);
    match self {
      Self::LostAnswers | Self::LostAnswersInBurst if self.is_active(now_ms) && number % 10 < 6 => {
        EngineState::Loses(0.4)
      }
      Self::WholeServiceFails if self.is_active(now_ms) => EngineState::Loses(0.4),
      Self::BurstWithCrash if is_crash && number.is_multiple_of(5) => EngineState::Gone,
      _ => EngineState::Sound,
    }
  }

  /// Whether boxes of one hall reach engines of the other.
  pub fn are_connected(self, one: usize, other: usize, now_ms: u64) -> bool {
    let is_partitioned = self == Self::CutHall && self.is_active(now_ms);
    one == other || !is_partitioned || (one != 0 && other != 0)
  }
}
