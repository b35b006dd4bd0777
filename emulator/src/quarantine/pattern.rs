//! Load and faults of the crash simulation.

/// End of the simulation.
pub(super) const SIMULATION_END_MS: u64 = 60_000;
/// Time at which all boxes restart.
const BOXES_RESTART_MS: u64 = 20_000;
/// Period in which the store is unavailable.
const STORE_OUTAGE_MS: (u64, u64) = (4_000, 16_000);
/// Times at which a rack fails.
const RACK_FAILURES_MS: [u64; 3] = [10_000, 25_000, 40_000];

/// A way in which requests crash engines, or seem to. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPattern {
  /// One body crashes engines; requests with it arrive every 0.4 s on average, at any box.
  OneBody,
  /// `OneBody`, with a delay of about 2 s until a box receives another's marks.
  OneBodySlowWord,
  /// `OneBody`, while the store is unavailable for 12 s.
  OneBodyStoreAway,
  /// `OneBody`, and all boxes restart after 20 s.
  OneBodyAllNew,
  /// Twelve bodies, each as often as in `OneBody`.
  TwelveBodies,
  /// A new body every second, each in six requests.
  NewBodies,
  /// A third of the engines fails three times in a minute; no body crashes any.
  Rack,
  /// `Rack`, and all innocent requests have one of four bodies.
  RackPopular,
  /// `OneBody` and `Rack` together.
  OneBodyAndRack,
  /// One prompt segment crashes engines, in requests of which no two are alike.
  OneSegment,
  /// Two segments, each as often as in `OneSegment`.
  TwoSegments,
  /// `OneSegment`, ten times as often: the fifth crash comes within a second.
  OneSegmentOften,
  /// `OneSegment` and `Rack` together.
  OneSegmentAndRack,
  /// `Rack`, and innocent requests share no segment with more than a few others.
  RackRareSegments,
  /// `OneSegment`, as the 36th of 40 segments; the others are shared with innocent requests.
  OneSegmentOf40,
  /// The same, as the 150th of 300.
  OneSegmentOf300,
  /// The same, as the last but one of 1,000.
  OneSegmentOf1000,
  /// `OneSegmentOf300`, and no two of the crashing requests share another segment.
  OneSegmentOf300Rare,
}

impl CrashPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 18] = [
    Self::OneBody,
    Self::OneBodySlowWord,
    Self::OneBodyStoreAway,
    Self::OneBodyAllNew,
    Self::TwelveBodies,
    Self::NewBodies,
    Self::Rack,
    Self::RackPopular,
    Self::OneBodyAndRack,
    Self::OneSegment,
    Self::TwoSegments,
    Self::OneSegmentOften,
    Self::OneSegmentAndRack,
    Self::RackRareSegments,
    Self::OneSegmentOf40,
    Self::OneSegmentOf300,
    Self::OneSegmentOf1000,
    Self::OneSegmentOf300Rare,
  ];

  /// Number of crashing bodies that arrive from the start.
  pub(super) fn bodies(self) -> u64 {
    match self {
      Self::TwelveBodies => 12,
      Self::TwoSegments => 2,
      Self::Rack | Self::RackPopular | Self::RackRareSegments | Self::NewBodies => 0,
      _ => 1,
    }
  }

  /// Whether a segment crashes engines, and not a body.
  pub(super) fn has_crashing_segments(self) -> bool {
    matches!(
      self,
      Self::OneSegment
        | Self::TwoSegments
        | Self::OneSegmentOften
        | Self::OneSegmentAndRack
        | Self::OneSegmentOf40
        | Self::OneSegmentOf300
        | Self::OneSegmentOf1000
        | Self::OneSegmentOf300Rare
    )
  }

  /// Segments of a prompt, without the request's own.
  pub(super) fn segments(self) -> usize {
    match self {
      Self::OneSegmentOf40 => 39,
      Self::OneSegmentOf300 | Self::OneSegmentOf300Rare => 299,
      Self::OneSegmentOf1000 => 999,
      _ => 2,
    }
  }

  /// The place of the crashing segment, or of the one that innocent requests have there, from 0.
  pub(super) fn crashing_place(self) -> usize {
    match self {
      Self::OneSegmentOf40 => 35,
      Self::OneSegmentOf300 | Self::OneSegmentOf300Rare => 149,
      Self::OneSegmentOf1000 => 998,
      _ => 1,
    }
  }

  /// Mean interval between requests with the same crashing body or segment.
  pub(super) fn crashing_interval_ms(self) -> f64 {
    if self == Self::OneSegmentOften {
      40.0
    } else {
      400.0
    }
  }

  /// Number of second segments that innocent requests have.
  pub(super) fn innocent_segments(self) -> u64 {
    if self == Self::RackRareSegments {
      300
    } else {
      8
    }
  }

  /// Crashes after which late runs count: of a body, or of a segment.
  pub(super) fn counted_crashes(self) -> usize {
    if self.has_crashing_segments() { 5 } else { 3 }
  }

  /// Number of requests with each crashing body.
  pub(super) fn requests_per_body(self) -> u32 {
    if self == Self::NewBodies { 6 } else { u32::MAX }
  }

  /// Interval between new crashing bodies.
  pub(super) fn new_body_interval_ms(self) -> Option<u64> {
    (self == Self::NewBodies).then_some(1_000)
  }

  /// Times at which a rack fails.
  pub(super) fn rack_failures_ms(self) -> &'static [u64] {
    match self {
      Self::Rack
      | Self::RackPopular
      | Self::OneBodyAndRack
      | Self::OneSegmentAndRack
      | Self::RackRareSegments => &RACK_FAILURES_MS,
      _ => &[],
    }
  }

  /// Number of bodies that innocent requests share, or `None` if each has its own.
  pub(super) fn popular_bodies(self) -> Option<u64> {
    (self == Self::RackPopular).then_some(4)
  }

  /// Time at which all boxes restart and keep only the marks in the store.
  pub(super) fn boxes_restart_ms(self) -> Option<u64> {
    (self == Self::OneBodyAllNew).then_some(BOXES_RESTART_MS)
  }

  /// Typical delay until a box receives a mark through the store.
  pub(super) fn store_delay_ms(self) -> u64 {
    if self == Self::OneBodySlowWord {
      2_000
    } else {
      30
    }
  }

  /// The end of the store's outage, if there is one now.
  pub(super) fn store_outage_end_ms(self, now_ms: u64) -> Option<u64> {
    let (from_ms, until_ms) = STORE_OUTAGE_MS;
    let is_unavailable = self == Self::OneBodyStoreAway && (from_ms..until_ms).contains(&now_ms);
    is_unavailable.then_some(until_ms)
  }
}
