//! The faults of scripted days.

use {
  super::{
    draw::{Draw, ScheduledFault, Size},
    fault::{CallerHabit, Close, Fault, Losses, StoreFault, Strays},
    hall::Hall,
    partition_plan::KILL_AFTER_CUT_MS,
    stray_response::Stray,
  },
  stand_ins::{Cut, LinkFault},
};

/// Most time by which a fault comes later than the script has it.
const JITTER_MS: (u64, u64) = (0, 400);
/// Time from the return of all boxes to a second kill, on odd seeds.
const SECOND_KILL_MS: u64 = 400;
/// Time that an engine serves on after its replacement has started.
const DRAIN_MS: u64 = 3_000;
/// Interval between the stops of boxes in turn.
const STOP_GAP_MS: u64 = 1_300;
/// Starts of periods in which callers send more often, and their duration.
const BURSTS_MS: [u64; 3] = [6_000, 17_000, 27_000];
const BURST_MS: u64 = 4_000;

/// A script with times that vary by seed.
struct Script {
  draw: Draw,
  is_odd: bool,
  steps: Vec<ScheduledFault>,
}

impl Script {
  fn new(seed: u64, size: Size) -> Self {
    let mut script = Self {
      draw: Draw::new(seed, size),
      is_odd: !seed.is_multiple_of(2),
      steps: Vec::new(),
    };
    for at_ms in BURSTS_MS {
      script.add(
        at_ms,
        Fault::CallersChange {
          for_ms: BURST_MS,
          habit: CallerHabit::Burst,
        },
      );
    }
    script
  }

  /// Adds a fault at about a time.
  fn add(&mut self, at_ms: u64, fault: Fault) {
    let at_ms = at_ms + self.draw.between(JITTER_MS);
    self.steps.push(ScheduledFault { at_ms, fault });
  }

  /// A place from which on engines or endpoints are taken.
  fn first(&mut self) -> usize {
    let places = self.draw.size.places;
    self.draw.number_below(places)
  }

  /// Cuts boxes off from the store, all at the same time.
  fn cut_off_from_store(&mut self, at_ms: u64, for_ms: u64, count: usize) {
    let boxes = self.draw.size.boxes;
    let at_ms = at_ms + self.draw.between(JITTER_MS);
    let first = self.draw.number_below(boxes);
    self.steps.extend((0..count).map(|number| ScheduledFault {
      at_ms,
      fault: Fault::StoreLink {
        fault: LinkFault::Blocked,
        for_ms,
        index: (first + number) % boxes,
      },
    }));
  }

  /// Cuts a hall from the others by resets. Returns the time.
  fn cut_halls(&mut self, at_ms: u64, for_ms: u64) -> u64 {
    let at_ms = at_ms + self.draw.between(JITTER_MS);
    let cut = self.draw.one_of(&Cut::RESETS);
    let hall = self.draw.one_of(&Hall::ALL);
    let fault = Fault::HallsCut { cut, for_ms, hall };
    self.steps.push(ScheduledFault { at_ms, fault });
    at_ms
  }

  fn lose_responses(&mut self, at_ms: u64, for_ms: u64, count: usize, percent: u8) {
    let fault = Fault::ResponsesLost {
      count,
      first: self.first(),
      for_ms,
      losses: Losses {
        close: Close::Reset,
        percent,
      },
    };
    self.add(at_ms, fault);
  }

  fn crash_engines(&mut self, at_ms: u64, down_ms: u64, count: usize) {
    let first = self.first();
    self.add(
      at_ms,
      Fault::EnginesCrashed {
        count,
        down_ms,
        first,
      },
    );
  }

  fn remove_engine(&mut self, at_ms: u64) {
    let first = self.first();
    self.add(
      at_ms,
      Fault::EngineRemoved {
        first,
        for_ms: 12_000,
      },
    );
  }

  /// Replaces half of the engines.
  fn release(&mut self, at_ms: u64, gap_ms: u64) {
    let first = self.first();
    self.add(
      at_ms,
      Fault::RollingRelease {
        drain_ms: DRAIN_MS,
        first,
        gap_ms,
        percent: 50,
      },
    );
  }

  /// Cuts the power of all boxes, and on odd seeds kills them once more soon after their return.
  fn cut_power(&mut self, at_ms: u64, down_ms: u64) {
    self.stop_all(at_ms, down_ms, Fault::PowerLost { down_ms });
  }

  /// Kills all boxes, and on odd seeds once more soon after their return.
  fn kill_all(&mut self, at_ms: u64, down_ms: u64) {
    self.stop_all(at_ms, down_ms, Fault::AllBoxesKilled { down_ms });
  }

  fn stop_all(&mut self, at_ms: u64, down_ms: u64, fault: Fault) {
    let first = ScheduledFault { at_ms, fault };
    let second = ScheduledFault {
      at_ms: at_ms + down_ms + SECOND_KILL_MS,
      fault: Fault::AllBoxesKilled { down_ms },
    };
    self.steps.push(first);
    self.steps.extend(self.is_odd.then_some(second));
  }

  fn finish(mut self) -> Vec<ScheduledFault> {
    self.steps.sort_by_key(|step| step.at_ms);
    self.steps
  }
}

/// A release after partial outages of the store and lost responses.
pub(crate) fn release_beside_store_outages(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let Size { boxes, places, .. } = size;
  let mut script = Script::new(seed, size);
  script.lose_responses(500, 4_000, places, 6);
  script.cut_off_from_store(2_500, 9_000, boxes.div_ceil(2));
  let first = script.first();
  script.add(
    3_600,
    Fault::StraySent {
      count: places.div_ceil(5),
      first,
      for_ms: 4_000,
      strays: Strays {
        percent: 2,
        stray: Stray::AtOnce,
      },
    },
  );
  script.cut_off_from_store(16_500, 7_000, 1);
  script.lose_responses(17_000, 4_000, places * 6 / 10, 40);
  script.add(17_400, Fault::ConfigurationChanged);
  script.remove_engine(18_000);
  script.release(20_200, 700);
  script.cut_off_from_store(31_000, 4_600, boxes);
  let cut = |for_ms| Fault::HallCutOff {
    fault: LinkFault::Blocked,
    for_ms,
    hall: Hall::East,
  };
  script.add(33_500, cut(5_800));
  // The end of the store's silence ends that of the cut too.
  script.add(36_050, cut(3_200));
  let killed_ms = script.draw.between((34_000, 41_000));
  script.cut_power(killed_ms, 1_300);
  script.finish()
}

/// Callers that go to another hall, after crashes, late role orders and a slow box.
pub(crate) fn shift_beside_crashes(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let Size { boxes, places, .. } = size;
  let mut script = Script::new(seed, size);
  let first = script.first();
  script.add(
    1_700,
    Fault::OrdersLate {
      count: places.div_ceil(3),
      delay_ms: 2_500,
      first,
      for_ms: 6_000,
    },
  );
  let index = script.draw.number_below(boxes);
  script.add(
    3_400,
    Fault::BoxSlowed {
      for_ms: 6_900,
      index,
    },
  );
  script.lose_responses(4_000, 5_100, places.div_ceil(2), 5);
  script.crash_engines(4_200, 3_600, places.div_ceil(7));
  script.crash_engines(6_200, 2_000, places.div_ceil(4));
  let compacted = Fault::Store {
    fault: StoreFault::CompactsHistory,
    for_ms: 0,
  };
  script.add(1_000, compacted);
  script.add(8_000, compacted);
  let hall = script.draw.one_of(&Hall::ALL);
  script.add(
    11_600,
    Fault::CallersShifted {
      hall,
      for_ms: 8_000,
    },
  );
  script.add(23_500, Fault::ConfigurationChanged);
  script.add(24_500, Fault::ConfigurationChanged);
  let cut = Fault::HallCutOff {
    fault: LinkFault::Blocked,
    for_ms: 6_100,
    hall: Hall::South,
  };
  script.add(33_500, cut);
  let at_ms = script.draw.between((34_000, 41_000));
  script.steps.push(ScheduledFault {
    at_ms,
    fault: Fault::AllBoxesKilled { down_ms: 520 },
  });
  script.finish()
}

/// A release after crashes, garbled answers and restarts of boxes.
pub(crate) fn release_beside_crashes(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let Size { boxes, places, .. } = size;
  let mut script = Script::new(seed, size);
  script.cut_off_from_store(1_000, 12_000, boxes.div_ceil(3));
  script.crash_engines(4_700, 3_300, 2);
  script.lose_responses(5_700, 4_400, places.div_ceil(2), 5);
  for number in 0..boxes.div_ceil(2) {
    let at_ms = 6_900 + number as u64 * STOP_GAP_MS;
    script.add(at_ms, Fault::BoxStopped { index: number * 2 });
  }
  script.add(4_900, Fault::MovesSlow { for_ms: 5_200 });
  script.add(12_700, Fault::PromptsShort { for_ms: 4_200 });
  let first = script.first();
  script.add(
    13_900,
    Fault::AnswersGarbled {
      count: places.div_ceil(3),
      first,
      for_ms: 4_600,
      percent: 2,
    },
  );
  script.crash_engines(15_700, 2_000, places.div_ceil(5));
  script.add(23_500, Fault::ConfigurationChanged);
  script.add(25_100, Fault::ConfigurationGrown { routes: 350 });
  script.remove_engine(25_400);
  script.release(26_000, 940);
  let cut = Fault::HallCutOff {
    fault: LinkFault::Blocked,
    for_ms: 6_000,
    hall: Hall::North,
  };
  script.add(33_500, cut);
  let killed_ms = script.draw.between((34_000, 34_400));
  script.cut_power(killed_ms, 1_600);
  script.finish()
}

/// A release after cuts of halls and boxes by resets, whose last one is followed by a kill of all boxes.
pub(crate) fn release_beside_partitions(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let Size { boxes, places, .. } = size;
  let mut script = Script::new(seed, size);
  script.lose_responses(1_000, 4_500, places.div_ceil(2), 5);
  script.crash_engines(4_200, 3_600, places.div_ceil(7));
  let index = script.draw.number_below(boxes);
  let slow = |for_ms| Fault::BoxSlowed { for_ms, index };
  script.add(7_000, slow(6_900));
  script.cut_halls(10_000, 5_000);
  let cut = script.draw.one_of(&Cut::RESETS);
  script.add(
    18_000,
    Fault::BoxesCutOff {
      cut,
      for_ms: 5_000,
      index,
    },
  );
  script.crash_engines(20_000, 2_000, places.div_ceil(5));
  script.add(23_500, Fault::ConfigurationChanged);
  script.remove_engine(25_400);
  script.release(26_000, 940);
  let cut_ms = script.cut_halls(33_500, 6_100);
  let down_ms = script.draw.between((400, 1_600));
  script.kill_all(cut_ms + KILL_AFTER_CUT_MS, down_ms);
  script.finish()
}
