//! What goes wrong in a replay of crashes, and when.

/// When a replay ends.
pub(super) const ENDS_MS: u64 = 60_000;
/// When all boxes start anew, and when the store is away.
const TURN_MS: u64 = 20_000;
const AWAY_MS: (u64, u64) = (4_000, 16_000);
/// When a rack goes.
const RACK_MS: [u64; 3] = [10_000, 25_000, 40_000];

/// A way in which requests end engines, or seem to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPattern {
  /// One body ends engines; it comes again after some 0.4 s, at any box.
  OneBody,
  /// The same, and what boxes tell each other takes two seconds.
  OneBodySlowWord,
  /// The same, while the store is away for 12 s.
  OneBodyStoreAway,
  /// The same, and all boxes start anew after 20 s.
  OneBodyAllNew,
  /// Twelve bodies, each as often.
  TwelveBodies,
  /// A new body every second, each asked for six times.
  NewBodies,
  /// A third of the engines goes three times in a minute; no body ends any.
  Rack,
  /// The same, and all innocent requests have one of four bodies.
  RackPopular,
  /// The same rack, beside one body.
  OneBodyAndRack,
}

impl CrashPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 9] = [
    Self::OneBody,
    Self::OneBodySlowWord,
    Self::OneBodyStoreAway,
    Self::OneBodyAllNew,
    Self::TwelveBodies,
    Self::NewBodies,
    Self::Rack,
    Self::RackPopular,
    Self::OneBodyAndRack,
  ];

  /// Crashing bodies that come from the start.
  pub(super) fn bodies(self) -> u64 {
    match self {
      Self::TwelveBodies => 12,
      Self::Rack | Self::RackPopular | Self::NewBodies => 0,
      _ => 1,
    }
  }

  /// How often each crashing body comes.
  pub(super) fn repeats(self) -> u32 {
    if self == Self::NewBodies { 6 } else { u32::MAX }
  }

  /// Pause between new crashing bodies.
  pub(super) fn new_body_ms(self) -> Option<u64> {
    (self == Self::NewBodies).then_some(1_000)
  }

  /// When racks go.
  pub(super) fn racks(self) -> &'static [u64] {
    match self {
      Self::Rack | Self::RackPopular | Self::OneBodyAndRack => &RACK_MS,
      _ => &[],
    }
  }

  /// How many bodies innocent requests have; nothing when each has its own.
  pub(super) fn popular_bodies(self) -> Option<u64> {
    (self == Self::RackPopular).then_some(4)
  }

  /// When all boxes lose what they know, but for what the store has.
  pub(super) fn all_new_ms(self) -> Option<u64> {
    (self == Self::OneBodyAllNew).then_some(TURN_MS)
  }

  /// How long a word by the store takes.
  pub(super) fn word_ms(self) -> u64 {
    if self == Self::OneBodySlowWord {
      2_000
    } else {
      30
    }
  }

  /// When the store is back, if it is away.
  pub(super) fn store_back_ms(self, now_ms: u64) -> Option<u64> {
    let (from_ms, until_ms) = AWAY_MS;
    let is_away = self == Self::OneBodyStoreAway && (from_ms..until_ms).contains(&now_ms);
    is_away.then_some(until_ms)
  }
}
