//! The faults of one run, drawn from a seed: the same seed gives the same faults at the same times.

use {
  super::{
    day::Day,
    draw::{Draw, ScheduledFault, Size},
    fault::{EndpointFault, EngineEnd, Fault, SilentEngines, StoreFault},
    garble_plan::draw_garbled_answers,
    hall::Hall,
    partition_plan::draw_partitions,
    trouble_plan::draw_troubles,
  },
  rand::RngExt,
  stand_ins::{Cut, LinkFault},
};

/// Duration of a temporary fault.
const FAULT_DURATION_MS: (u64, u64) = (200, 4_000);
/// Duration in which an endpoint sheds all load.
const SHEDDING_DURATION_MS: (u64, u64) = (2_000, 6_000);
/// Ratio of the mean interval between leaving or shedding endpoints to that of other faults.
const NOTICE_INTERVAL_FACTOR: u64 = 4;
/// Duration in which an endpoint advertises a limit, and the range of the limit. The promise applies after three seconds.
const LIMIT_DURATION_MS: (u64, u64) = (6_000, 10_000);
const LIMIT_RANGE_PER_S: std::ops::Range<u32> = 0..6;
/// Ratio of the mean interval between advertised limits to that of other faults.
const LIMIT_INTERVAL_FACTOR: u64 = 5;
/// Duration of a hall drain. The promise applies after five seconds.
const HALL_DRAIN_DURATION_MS: (u64, u64) = (6_000, 10_000);
/// Ratio of the mean interval between hall drains to that of other faults.
const HALL_DRAIN_INTERVAL_FACTOR: u64 = 8;
/// Duration of a cut between boxes and all endpoints. The promise applies after three seconds.
const CUT_DURATION_MS: (u64, u64) = (4_000, 9_000);
/// Ratio of the mean interval between such cuts to that of other faults.
const CUT_INTERVAL_FACTOR: u64 = 6;
/// Ratio of the mean interval between engines that cut streams, or are replaced in a series, to that of other faults.
const STREAM_FAULT_INTERVAL_FACTOR: u64 = 3;
/// Duration in which an engine cuts all streams.
const STREAM_CUT_DURATION_MS: (u64, u64) = (300, 1_200);
/// Endpoints of a series, and the interval between them.
const SERIES_PLACES: u64 = 3;
const REPLACEMENT_INTERVAL_MS: u64 = 400;
/// Ratio of the mean interval between series of silent periods to that of other faults.
const SILENCE_INTERVAL_FACTOR: u64 = 3;
/// Silent periods of a series, their duration, and the interval from the end of one to the next.
const SILENCES_OF_SERIES: (u64, u64) = (1, 3);
const SILENCE_DURATION_MS: (u64, u64) = (900, 1_500);
const SILENCE_GAP_MS: (u64, u64) = (1_500, 3_500);
/// Most engines that go on while the others are silent: the number of places by this.
const MAX_GOING_ON_DIVISOR: usize = 2;
/// Time from planned work to the silent period beside it.
const WORK_BEFORE_SILENCE_MS: (u64, u64) = (100, 1_000);
/// Chance of each kind of planned work beside a silent period.
const WORK_CHANCE: f64 = 0.6;
/// Ratio of the mean interval between planned stops to that of other faults: about two boxes stop at a time.
const STOP_INTERVAL_FACTOR: u64 = 2;
/// Interval from the beginning of a release to the next, longer than a stream may be resumed.
const RELEASE_INTERVAL_MS: (u64, u64) = (15_000, 22_000);
/// Interval between the entries that go.
const RELEASE_GAP_MS: (u64, u64) = (50, 400);
/// Time from the beginning of a release to a kill of all boxes: the entries of the former version are gone after some six
/// seconds, and its engines after nine.
const RELEASE_KILL_MS: (u64, u64) = (500, 9_000);
/// Kills of all boxes in a row, the interval between them, and the time until the restart.
const RELEASE_KILLS: (u64, u64) = (1, 2);
const RELEASE_KILL_GAP_MS: (u64, u64) = (400, 2_500);
const RELEASE_DOWN_MS: (u64, u64) = (50, 400);
/// Ratio of the mean interval before the first release beside faults of all kinds to that of other faults.
const RELEASE_INTERVAL_FACTOR: u64 = 8;
/// Kills of all boxes beside such a release.
const KILLS_BESIDE_RELEASE: (u64, u64) = (0, 2);
/// Ratio of the mean interval between restarts of engines under their id to that of other faults.
const RESTART_INTERVAL_FACTOR: u64 = 5;
/// Time until such a restart, and from it until the entry is updated: the platform's heartbeat and some delay at the most.
const RESTART_DOWN_MS: (u64, u64) = (20, 600);
const STALE_ENTRY_MS: (u64, u64) = (200, 1_500);
/// Ratio of the mean interval between addresses that are given to another service to that of other faults.
const REUSE_INTERVAL_FACTOR: u64 = 3;
/// Time until such an address is in use again, from then until the former entry goes, and until an engine is back.
const REUSE_DOWN_MS: (u64, u64) = (0, 1_500);
const REUSE_STALE_ENTRY_MS: (u64, u64) = (300, 4_000);
const REUSE_DURATION_MS: (u64, u64) = (500, 3_000);
/// Time from such a fault to the absence of the store beside it, and the duration of the absence.
const BEFORE_STORE_ABSENCE_MS: (u64, u64) = (0, 2_500);
const STORE_ABSENCE_MS: (u64, u64) = (2_000, 6_000);
/// Time from the absence of the store to a planned stop beside it, its duration, and the latency of a slow one.
const BEFORE_STOP_MS: (u64, u64) = (10, 3_500);
const STOP_ABSENCE_MS: (u64, u64) = (1_300, 8_000);
const STOP_DELAY_MS: (u64, u64) = (200, 1_400);
/// Engines that crash in a series, the interval between them, and the time until each is back.
const CRASHES_OF_SERIES: (u64, u64) = (1, 3);
const CRASH_GAP_MS: (u64, u64) = (50, 800);
const CRASH_DOWN_MS: (u64, u64) = (300, 4_000);
/// Added latency of a delayed link or a slow store.
const DELAY_MS: (u64, u64) = (20, 800);
/// Chance that a fault of a box's process is followed by another one, so that signals overlap.
const SERIES_CHANCE: f64 = 0.3;
/// Interval between such faults.
const SERIES_INTERVAL_MS: (u64, u64) = (20, 700);

/// Bits by which the seed is rotated, for independent sequences of draws.
const CRASH_SEED_ROTATION: u32 = 59;
const CUT_SEED_ROTATION: u32 = 43;
const HALL_DRAIN_SEED_ROTATION: u32 = 31;
const LIMIT_SEED_ROTATION: u32 = 17;
const RELEASE_BESIDE_SEED_ROTATION: u32 = 23;
const RELEASE_SEED_ROTATION: u32 = 11;
const RESTART_SEED_ROTATION: u32 = 37;
const REUSE_SEED_ROTATION: u32 = 47;
const SILENCE_SEED_ROTATION: u32 = 7;
const STOP_SEED_ROTATION: u32 = 29;
const STREAM_FAULT_SEED_ROTATION: u32 = 53;

/// The faults that a run injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultSelection {
  /// Faults of all kinds.
  All,
  /// Interruptions of streams, at engines, at boxes and between callers and boxes.
  Interruptions,
  /// Silent periods of engines, and planned work beside them.
  Silences,
  /// Planned stops of boxes, which overlap.
  Stops,
  /// Planned stops of boxes while the store is away.
  StopsWithoutStore,
  /// Releases of another software version, and kills of all boxes beside them.
  Releases,
  /// Engines that restart under their id with the other software version.
  Restarts,
  /// Addresses that are given to endpoints of another service, some while the store is away.
  ReusedAddresses,
  /// Endpoints that garble their answers, and engines that crash meanwhile.
  GarbledAnswers,
  /// Engines that crash, in series too.
  Crashes,
  /// Halls that are cut from each other, some shortly before a kill of all boxes, and boxes that are cut from others.
  Partitions,
  /// The kinds of trouble that the deployment reports, two or three at a time.
  Troubles,
  /// Those of a scripted day.
  Day(Day),
}

impl FaultSelection {
  /// Additional places for engines that start before those that they replace end.
  pub(crate) fn spare_places(self, size: Size) -> usize {
    match self {
      Self::Day(_) => size.places.div_ceil(2),
      _ => 0,
    }
  }

  /// Draws the selected faults of a run, sorted by time.
  ///
  /// ```
  /// use soak::{FaultSelection, Size};
  /// let size = Size { boxes: 3, places: 6, faults_ms: 20_000, more_troubles: &[] };
  /// let all = FaultSelection::All.draw(7, size);
  /// for part in [FaultSelection::Silences, FaultSelection::Restarts, FaultSelection::ReusedAddresses] {
  ///   let selected = part.draw(7, size);
  ///   assert!(selected.iter().all(|fault| all.contains(fault)));
  /// }
  /// ```
  pub fn draw(self, seed: u64, size: Size) -> Vec<ScheduledFault> {
    match self {
      Self::All => draw_plan(seed, size),
      Self::Day(day) => day.faults(seed, size),
      Self::GarbledAnswers => draw_garbled_answers(seed, size),
      Self::Crashes => draw_crashes(seed, size),
      Self::Partitions => draw_partitions(seed, size),
      Self::Interruptions => draw_interruptions(seed, size),
      Self::Silences => draw_silences(seed, size),
      Self::Releases => draw_releases(seed, size),
      Self::Restarts => draw_restarts(seed, size),
      Self::ReusedAddresses => draw_reused_addresses(seed, size),
      Self::Stops => draw_stops(seed, size),
      Self::StopsWithoutStore => draw_stops_without_store(seed, size),
      Self::Troubles => draw_troubles(seed, size),
    }
  }
}

/// Draws faults of all kinds, sorted by time.
///
/// ```
/// use soak::{Size, draw_plan};
/// let size = Size { boxes: 3, places: 6, faults_ms: 20_000, more_troubles: &[] };
/// assert_eq!(draw_plan(7, size), draw_plan(7, size));
/// assert_ne!(draw_plan(7, size), draw_plan(8, size));
/// ```
pub fn draw_plan(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed, size);
  let mut steps = Vec::new();
  let mut at_ms = draw.interval_ms();
  while at_ms < size.faults_ms {
    let fault = draw.fault();
    steps.push(ScheduledFault { at_ms, fault });
    if let Some(index) = box_of(fault)
      && draw.random.random_bool(SERIES_CHANCE)
    {
      let next_ms = at_ms + draw.between(SERIES_INTERVAL_MS);
      steps.push(ScheduledFault {
        at_ms: next_ms,
        fault: draw.process_fault(index),
      });
    }
    at_ms += draw.interval_ms();
  }
  steps.extend(draw_notices(seed, size));
  steps.extend(draw_limits(seed, size));
  steps.extend(draw_hall_drains(seed, size));
  steps.extend(draw_cuts(seed, size));
  steps.extend(draw_stream_faults(seed, size));
  steps.extend(draw_silences(seed, size));
  steps.extend(draw_releases_beside_others(seed, size));
  steps.extend(draw_restarts(seed, size));
  steps.extend(draw_reused_addresses(seed, size));
  steps.sort_by_key(|step| step.at_ms);
  steps
}

/// Draws endpoints that shed load, or leave without an updated store entry, from a separate sequence.
fn draw_notices(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(!seed, size);
  let from_ms = NOTICE_INTERVAL_FACTOR * draw.interval_ms();
  draw.at_intervals(from_ms, NOTICE_INTERVAL_FACTOR, |draw| {
    let place = draw.random.random_range(0..size.places);
    if draw.random.random_bool(0.5) {
      return Fault::EndpointLeavesUnlisted { place };
    }
    Fault::Endpoint {
      fault: EndpointFault::ShedsLoad,
      for_ms: draw.between(SHEDDING_DURATION_MS),
      place,
    }
  })
}

/// Draws endpoints that advertise limits, from a separate sequence.
fn draw_limits(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(LIMIT_SEED_ROTATION), size);
  let from_ms = draw.interval_ms();
  draw.at_intervals(from_ms, LIMIT_INTERVAL_FACTOR, |draw| {
    Fault::EndpointLimited {
      for_ms: draw.between(LIMIT_DURATION_MS),
      per_s: draw.random.random_range(LIMIT_RANGE_PER_S),
      place: draw.random.random_range(0..size.places),
    }
  })
}

/// Draws hall drains, from a separate sequence. Both halls may be drained at once.
fn draw_hall_drains(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(HALL_DRAIN_SEED_ROTATION), size);
  let from_ms = draw.interval_ms();
  draw.at_intervals(from_ms, HALL_DRAIN_INTERVAL_FACTOR, |draw| {
    Fault::HallDrained {
      for_ms: draw.between(HALL_DRAIN_DURATION_MS),
      hall: draw.one_of(&[Hall::North, Hall::South]),
    }
  })
}

/// Draws boxes that are cut off from all endpoints, from a separate sequence. At least one box is not.
fn draw_cuts(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(CUT_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.interval_ms();
  while at_ms < size.faults_ms {
    let cut = draw.one_of(&[Cut::Hang, Cut::Reset, Cut::RefuseNew]);
    let for_ms = draw.between(CUT_DURATION_MS);
    let first = draw.random.random_range(0..size.boxes);
    let count = draw.random.random_range(0..size.boxes);
    let cut_off = (0..count).map(|offset| Fault::EndpointsCutOff {
      cut,
      for_ms,
      index: (first + offset) % size.boxes,
    });
    steps.extend(cut_off.map(|fault| ScheduledFault { at_ms, fault }));
    // One cut after the other: two together could cut off all boxes.
    at_ms += for_ms + CUT_INTERVAL_FACTOR * draw.interval_ms();
  }
  steps
}

/// Draws the faults of a run that interrupts streams only: at engines, at boxes and between callers and boxes.
fn draw_interruptions(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed, size);
  let mut steps = draw_stream_faults(seed, size);
  let from_ms = draw.interval_ms();
  steps.extend(draw.at_intervals(from_ms, 1, |draw| {
    let index = draw.random.random_range(0..size.boxes);
    if draw.random.random_bool(0.5) {
      return Fault::BoxKilled {
        down_ms: draw.between(FAULT_DURATION_MS),
        index,
      };
    }
    Fault::CallerLink {
      fault: LinkFault::Reset,
      for_ms: 1,
      index,
    }
  }));
  steps.sort_by_key(|step| step.at_ms);
  steps
}

/// Draws endpoints that cut streams, and endpoints that are replaced one after another, from a separate sequence.
fn draw_stream_faults(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(STREAM_FAULT_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.interval_ms();
  while at_ms < size.faults_ms {
    let first = draw.random.random_range(0..size.places);
    if draw.random.random_bool(0.7) {
      let fault = Fault::Endpoint {
        fault: EndpointFault::TruncatesResponses,
        for_ms: draw.between(STREAM_CUT_DURATION_MS),
        place: first,
      };
      steps.push(ScheduledFault { at_ms, fault });
    } else {
      steps.extend((0..SERIES_PLACES).map(|number| ScheduledFault {
        at_ms: at_ms + number * REPLACEMENT_INTERVAL_MS,
        fault: Fault::EndpointLeaves {
          place: (first + number as usize) % size.places,
        },
      }));
    }
    at_ms += STREAM_FAULT_INTERVAL_FACTOR * draw.interval_ms();
  }
  steps
}

/// Draws series of silent periods of sound engines, each beside planned work or not, from a separate sequence.
fn draw_silences(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(SILENCE_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = WORK_BEFORE_SILENCE_MS.1 + draw.interval_ms();
  while at_ms < size.faults_ms {
    for _ in 0..draw.between(SILENCES_OF_SERIES) {
      // The longer of two draws: boxes notice only long silences.
      let for_ms = draw
        .between(SILENCE_DURATION_MS)
        .max(draw.between(SILENCE_DURATION_MS));
      let fault = draw.silence(for_ms);
      steps.push(ScheduledFault { at_ms, fault });
      steps.extend(draw.work_before(at_ms));
      at_ms += for_ms + draw.between(SILENCE_GAP_MS);
    }
    at_ms += SILENCE_INTERVAL_FACTOR * draw.interval_ms();
  }
  steps.sort_by_key(|step| step.at_ms);
  steps
}

/// Draws planned stops of boxes. A box that is still stopping gets another signal.
fn draw_stops(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed, size);
  let from_ms = draw.interval_ms();
  draw.at_intervals(from_ms, STOP_INTERVAL_FACTOR, |draw| Fault::BoxStopped {
    index: draw.random.random_range(0..size.boxes),
  })
}

/// Draws planned stops of boxes, each while the store is down, slow or silent for all boxes, or loses its responses.
fn draw_stops_without_store(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(STOP_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = BEFORE_STOP_MS.1 + draw.interval_ms();
  while at_ms < size.faults_ms {
    let absent_ms = at_ms - draw.between(BEFORE_STOP_MS);
    let absence = draw.store_absence_at_stop().into_iter();
    steps.extend(absence.map(|fault| ScheduledFault {
      at_ms: absent_ms,
      fault,
    }));
    let index = draw.random.random_range(0..size.boxes);
    let fault = Fault::BoxStopped { index };
    steps.push(ScheduledFault { at_ms, fault });
    at_ms += STOP_INTERVAL_FACTOR * draw.interval_ms();
  }
  steps.sort_by_key(|step| step.at_ms);
  steps
}

/// Draws releases, with one or two kills of all boxes at any moment of each.
fn draw_releases(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(RELEASE_SEED_ROTATION), size);
  let from_ms = draw.interval_ms();
  draw.releases(from_ms, RELEASE_KILLS)
}

/// Draws releases beside faults of all kinds, some of them with kills of all boxes, from a separate sequence.
fn draw_releases_beside_others(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(RELEASE_BESIDE_SEED_ROTATION), size);
  let from_ms = RELEASE_INTERVAL_FACTOR * draw.interval_ms();
  draw.releases(from_ms, KILLS_BESIDE_RELEASE)
}

/// Draws engines that restart under their id with the other version, from a separate sequence.
fn draw_restarts(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(RESTART_SEED_ROTATION), size);
  let from_ms = draw.interval_ms();
  draw.at_intervals(from_ms, RESTART_INTERVAL_FACTOR, |draw| {
    Fault::EngineRestarted {
      down_ms: draw.between(RESTART_DOWN_MS),
      first: draw.random.random_range(0..size.places),
      stale_ms: draw.between(STALE_ENTRY_MS),
    }
  })
}

/// Draws addresses that are given to another service, some while the store is away, from a separate sequence.
fn draw_reused_addresses(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(REUSE_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.interval_ms();
  while at_ms < size.faults_ms {
    let fault = Fault::AddressReused {
      down_ms: draw.between(REUSE_DOWN_MS),
      end: draw.one_of(&[EngineEnd::Crash, EngineEnd::Crash, EngineEnd::Planned]),
      first: draw.random.random_range(0..size.places),
      for_ms: draw.between(REUSE_DURATION_MS),
      stale_ms: draw.between(REUSE_STALE_ENTRY_MS),
    };
    steps.push(ScheduledFault { at_ms, fault });
    let away_ms = at_ms + draw.between(BEFORE_STORE_ABSENCE_MS);
    let absence = draw.store_absence().into_iter();
    steps.extend(absence.map(|fault| ScheduledFault {
      at_ms: away_ms,
      fault,
    }));
    at_ms += REUSE_INTERVAL_FACTOR * draw.interval_ms();
  }
  steps.sort_by_key(|step| step.at_ms);
  steps
}

/// Draws series of engines that crash, from a separate sequence.
fn draw_crashes(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(CRASH_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.interval_ms();
  while at_ms < size.faults_ms {
    for _ in 0..draw.between(CRASHES_OF_SERIES) {
      let fault = Fault::EnginesCrashed {
        count: 1,
        down_ms: draw.between(CRASH_DOWN_MS),
        first: draw.random.random_range(0..size.places),
      };
      steps.push(ScheduledFault { at_ms, fault });
      at_ms += draw.between(CRASH_GAP_MS);
    }
    at_ms += draw.interval_ms();
  }
  steps
}

/// The box whose process a fault concerns.
fn box_of(fault: Fault) -> Option<usize> {
  match fault {
    Fault::BoxKilled { index, .. }
    | Fault::BoxStopped { index }
    | Fault::BoxPaused { index, .. }
    | Fault::BoxReloaded { index } => Some(index),
    _ => None,
  }
}

impl Draw {
  fn fault(&mut self) -> Fault {
    let index = self.random.random_range(0..self.size.boxes);
    let place = self.random.random_range(0..self.size.places);
    let for_ms = self.between(FAULT_DURATION_MS);
    match self.random.random_range(0..12) {
      0..3 => self.process_fault(index),
      3 => Fault::CallerLink {
        fault: self.link_fault(),
        for_ms,
        index,
      },
      4 => Fault::StoreLink {
        fault: self.link_fault(),
        for_ms,
        index,
      },
      5 => Fault::EndpointLink {
        fault: self.link_fault(),
        for_ms,
        place,
      },
      6 => Fault::Store {
        fault: self.store_fault(),
        for_ms,
      },
      7 => Fault::EndpointCrashed {
        down_ms: for_ms,
        place,
      },
      8 => Fault::EndpointLeaves { place },
      9 => Fault::Endpoint {
        fault: self.endpoint_fault(),
        for_ms,
        place,
      },
      10 => Fault::AddressesSwapped {
        other: self.random.random_range(0..self.size.places),
        place,
      },
      _ => Fault::ConfigurationChanged,
    }
  }

  fn process_fault(&mut self, index: usize) -> Fault {
    match self.random.random_range(0..4) {
      0 => Fault::BoxKilled {
        down_ms: self.between(FAULT_DURATION_MS),
        index,
      },
      1 => Fault::BoxStopped { index },
      2 => Fault::BoxPaused {
        for_ms: self.between(FAULT_DURATION_MS),
        index,
      },
      _ => Fault::BoxReloaded { index },
    }
  }

  /// Releases from a time on, with kills of all boxes at any moment of each, sorted by time.
  fn releases(&mut self, from_ms: u64, kills: (u64, u64)) -> Vec<ScheduledFault> {
    let mut steps = Vec::new();
    let mut at_ms = from_ms;
    while at_ms < self.size.faults_ms {
      let gap_ms = self.between(RELEASE_GAP_MS);
      let fault = Fault::Release { gap_ms };
      steps.push(ScheduledFault { at_ms, fault });
      let mut kill_ms = at_ms + self.between(RELEASE_KILL_MS);
      for _ in 0..self.between(kills) {
        let down_ms = self.between(RELEASE_DOWN_MS);
        steps.push(ScheduledFault {
          at_ms: kill_ms,
          fault: Fault::AllBoxesKilled { down_ms },
        });
        kill_ms += self.between(RELEASE_KILL_GAP_MS);
      }
      at_ms += self.between(RELEASE_INTERVAL_MS);
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
  }

  /// The silence of one engine, of most engines, or of all.
  fn silence(&mut self, for_ms: u64) -> Fault {
    let places = self.size.places;
    let engines = match self.random.random_range(0..5) {
      0 => SilentEngines::One,
      1 => SilentEngines::All,
      _ => SilentEngines::AllBut {
        count: self
          .random
          .random_range(1..=places.div_ceil(MAX_GOING_ON_DIVISOR)),
      },
    };
    Fault::EnginesSilent {
      engines,
      first: self.random.random_range(0..places),
      for_ms,
    }
  }

  /// The store is down, slow or silent for all boxes for a while, or as usual.
  fn store_absence(&mut self) -> Vec<Fault> {
    let for_ms = self.between(STORE_ABSENCE_MS);
    let delay_ms = self.between(DELAY_MS);
    let store = |fault| vec![Fault::Store { fault, for_ms }];
    let silent = |index| Fault::StoreLink {
      fault: LinkFault::Blocked,
      for_ms,
      index,
    };
    match self.random.random_range(0..6) {
      0 => store(StoreFault::Down),
      1 => store(StoreFault::Slow { delay_ms }),
      2 => (0..self.size.boxes).map(silent).collect(),
      _ => Vec::new(),
    }
  }

  /// The store is down, slow or silent for all boxes for a while, or loses its responses.
  fn store_absence_at_stop(&mut self) -> Vec<Fault> {
    let for_ms = self.between(STOP_ABSENCE_MS);
    let faults = [
      Some(StoreFault::Down),
      Some(StoreFault::Slow {
        delay_ms: self.between(STOP_DELAY_MS),
      }),
      Some(StoreFault::DropsResponses),
      None,
    ];
    match self.one_of(&faults) {
      Some(fault) => vec![Fault::Store { fault, for_ms }],
      None => (0..self.size.boxes)
        .map(|index| Fault::StoreLink {
          fault: LinkFault::Blocked,
          for_ms,
          index,
        })
        .collect(),
    }
  }

  /// Planned work shortly before a time: a new configuration, a reload of a box, both or none.
  fn work_before(&mut self, at_ms: u64) -> Vec<ScheduledFault> {
    let index = self.random.random_range(0..self.size.boxes);
    let kinds = [Fault::ConfigurationChanged, Fault::BoxReloaded { index }];
    let mut work = Vec::new();
    for fault in kinds {
      let at_ms = at_ms - self.between(WORK_BEFORE_SILENCE_MS);
      if self.random.random_bool(WORK_CHANCE) {
        work.push(ScheduledFault { at_ms, fault });
      }
    }
    work
  }

  fn link_fault(&mut self) -> LinkFault {
    let delay_ms = self.between(DELAY_MS);
    let faults = [
      LinkFault::Delayed { delay_ms },
      LinkFault::Blocked,
      LinkFault::BlockedForward,
      LinkFault::BlockedBack,
      LinkFault::Reset,
    ];
    self.one_of(&faults)
  }

  fn store_fault(&mut self) -> StoreFault {
    let delay_ms = self.between(DELAY_MS);
    let faults = [
      StoreFault::Down,
      StoreFault::Slow { delay_ms },
      StoreFault::DropsResponses,
      StoreFault::CompactsHistory,
      StoreFault::LosesEntries,
      StoreFault::ExpiresLeases,
    ];
    self.one_of(&faults)
  }

  fn endpoint_fault(&mut self) -> EndpointFault {
    let faults = [
      EndpointFault::Fails,
      EndpointFault::DropsResponses,
      EndpointFault::TruncatesResponses,
      EndpointFault::Hangs,
      EndpointFault::Full,
      EndpointFault::WrongRequestId,
      EndpointFault::Slow,
    ];
    self.one_of(&faults)
  }
}
