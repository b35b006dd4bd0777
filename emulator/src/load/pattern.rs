//! What goes wrong in a replay, and when.

/// When patterns begin: boxes know the engines' load by then.
const BEGINS_MS: u64 = 6_000;
/// Part of a pattern's time after its end that is counted, too.
const AFTER_MS: u64 = 1_000;

/// A way in which load is at its worst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
  /// Nothing goes wrong.
  Calm,
  /// Six engines in ten lose four answers in ten for 4 s.
  LostAnswers,
  /// The same in a burst of 2.3 times the load, which needs all engines.
  LostAnswersInBurst,
  /// Every engine loses four answers in ten for 4 s: no choice among them helps.
  WholeServiceFails,
  /// A burst of 2.3 times the load for 4 s, in which a fifth of the engines is gone for 2 s.
  BurstWithCrash,
  /// A hall is cut from the others for 6 s.
  CutHall,
  /// All boxes start anew, and four times the usual callers come in the first second.
  AllReturn,
}

/// How an engine behaves at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineState {
  /// It serves.
  Sound,
  /// It loses this part of its answers.
  Loses(f64),
  /// It is gone.
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

  /// From when to when it is in force.
  fn span_ms(self) -> (u64, u64) {
    let lasts_ms = match self {
      Self::CutHall => 6_000,
      Self::Calm => 5_000,
      Self::AllReturn => 1_000,
      Self::LostAnswers
      | Self::LostAnswersInBurst
      | Self::WholeServiceFails
      | Self::BurstWithCrash => 4_000,
    };
    (BEGINS_MS, BEGINS_MS + lasts_ms)
  }

  /// Whether it is in force.
  pub fn is_in_force(self, now_ms: u64) -> bool {
    let (from_ms, to_ms) = self.span_ms();
    (from_ms..to_ms).contains(&now_ms)
  }

  /// Whether a request that comes now counts.
  pub fn counts(self, now_ms: u64) -> bool {
    let (from_ms, to_ms) = self.span_ms();
    (from_ms..to_ms + AFTER_MS).contains(&now_ms)
  }

  /// When the replay ends.
  pub fn ends_ms(self) -> u64 {
    self.span_ms().1 + 2 * AFTER_MS
  }

  /// When all boxes start anew, if they do.
  pub fn boxes_start_ms(self) -> Option<u64> {
    (self == Self::AllReturn).then_some(BEGINS_MS)
  }

  /// How many times the usual load comes.
  pub fn load(self, now_ms: u64) -> f64 {
    match self {
      Self::BurstWithCrash | Self::LostAnswersInBurst if self.is_in_force(now_ms) => 2.3,
      Self::AllReturn if self.is_in_force(now_ms) => 4.0,
      _ => 1.0,
    }
  }

  /// How an engine behaves.
  pub fn engine(self, number: usize, now_ms: u64) -> EngineState {
    let (from_ms, _) = self.span_ms();
    let crashed = (from_ms + 1_000..from_ms + 3_000).contains(&now_ms);
    match self {
      Self::LostAnswers | Self::LostAnswersInBurst
        if self.is_in_force(now_ms) && number % 10 < 6 =>
      {
        EngineState::Loses(0.4)
      }
      Self::WholeServiceFails if self.is_in_force(now_ms) => EngineState::Loses(0.4),
      Self::BurstWithCrash if crashed && number.is_multiple_of(5) => EngineState::Gone,
      _ => EngineState::Sound,
    }
  }

  /// Whether two halls hear each other.
  pub fn are_connected(self, one: usize, other: usize, now_ms: u64) -> bool {
    let is_cut = self == Self::CutHall && self.is_in_force(now_ms);
    one == other || !is_cut || (one != 0 && other != 0)
  }
}
