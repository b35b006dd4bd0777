//! The faults that show what deployments report.

use {
  super::{
    draw::{Draw, ScheduledFault, Size},
    fault::{CallerHabit, Close, EndpointFault, Fault, Losses, StoreFault, Strays},
    hall::Hall,
    partition_plan::draw_partitions,
    stray_response::Stray,
    trouble::Trouble,
  },
  stand_ins::LinkFault,
};

/// Bits by which the seed is rotated.
const SEED_ROTATION: u32 = 29;
const APART_SEED_ROTATION: u32 = 41;
/// Kinds of trouble that begin together, the time within which they do, and the interval from one group to the next.
const KINDS_TOGETHER: (u64, u64) = (2, 3);
const SPREAD_MS: (u64, u64) = (0, 800);
const GROUP_INTERVAL_MS: (u64, u64) = (3_500, 6_500);
/// Duration of trouble.
const DURATION_MS: (u64, u64) = (3_000, 5_500);
/// Time until a process that was killed is back.
const DOWN_MS: (u64, u64) = (300, 3_500);
/// Interval between the stops of boxes in turn, and between configurations in a row.
const STOP_GAP_MS: u64 = 1_300;
const CONFIGURATION_GAP_MS: u64 = 330;
/// Configurations in a row.
const STORM_CONFIGURATIONS: u64 = 8;
/// Routes of a configuration that has many more.
const GROWN_ROUTES: usize = 350;
/// Time from a role order that is not answered to its effect.
const ORDER_DELAY_MS: (u64, u64) = (1_500, 4_000);
/// Added latency in place of lost packets.
const LOSS_DELAY_MS: (u64, u64) = (40, 250);

impl Trouble {
  /// The faults of this kind, from a time on.
  fn faults(self, draw: &mut Draw, at_ms: u64) -> Vec<ScheduledFault> {
    let Size { boxes, places, .. } = draw.size;
    let for_ms = draw.between(DURATION_MS);
    let down_ms = draw.between(DOWN_MS);
    let first = draw.number_below(places);
    let index = draw.number_below(boxes);
    let at = |fault| vec![ScheduledFault { at_ms, fault }];
    let in_turn = |count: usize, gap_ms: u64, fault: &dyn Fn(usize) -> Fault| {
      let numbers = (0..count).map(|number| (number as u64, (index + number) % boxes));
      let faults = numbers.map(|(number, index)| ScheduledFault {
        at_ms: at_ms + number * gap_ms,
        fault: fault(index),
      });
      faults.collect()
    };
    let lost = |percent, close| Fault::ResponsesLost {
      count: places.div_ceil(2),
      first,
      for_ms,
      losses: Losses { percent, close },
    };
    let stray = |stray| Fault::StraySent {
      count: places.div_ceil(2),
      first,
      for_ms,
      strays: Strays { percent: 4, stray },
    };
    let few = boxes.div_ceil(6);
    let killed = |index| Fault::BoxKilled { down_ms, index };
    match self {
      Self::AnswersLost => at(lost(25, Close::Fin)),
      Self::AnswersReset => at(lost(10, Close::Reset)),
      Self::AllBoxesKilled => at(Fault::AllBoxesKilled { down_ms }),
      Self::BoxesCutOff => in_turn(few, 0, &|index| Fault::StoreLink {
        fault: LinkFault::Blocked,
        for_ms,
        index,
      }),
      Self::BoxesFrozen => in_turn(few, 0, &|index| Fault::BoxPaused { for_ms, index }),
      Self::BoxesHerded => in_turn(boxes.div_ceil(2), 0, &killed),
      Self::BoxesKilled => in_turn(few, 0, &killed),
      Self::BoxesReloaded => in_turn(boxes.div_ceil(2), STOP_GAP_MS, &|index| {
        Fault::BoxReloaded { index }
      }),
      Self::BoxesSlow => in_turn(few, 0, &|index| Fault::BoxSlowed { for_ms, index }),
      Self::BoxesStopped => in_turn(boxes.div_ceil(2), STOP_GAP_MS, &|index| Fault::BoxStopped {
        index,
      }),
      Self::Burst => at(habit(CallerHabit::Burst, for_ms)),
      Self::ConfigurationChanged => at(Fault::ConfigurationChanged),
      Self::ConfigurationStorm => (0..STORM_CONFIGURATIONS)
        .map(|number| ScheduledFault {
          at_ms: at_ms + number * CONFIGURATION_GAP_MS,
          fault: Fault::ConfigurationChanged,
        })
        .collect(),
      Self::EnginesCrashed => at(Fault::EnginesCrashed {
        count: places.div_ceil(8),
        down_ms,
        first,
      }),
      Self::EnginesGrey => at(Fault::Endpoint {
        fault: draw.one_of(&[
          EndpointFault::Hangs,
          EndpointFault::ShedsLoad,
          EndpointFault::Slow,
        ]),
        for_ms,
        place: first,
      }),
      Self::EnginesRemoved => at(Fault::EngineRemoved { first, for_ms }),
      Self::GiveUp => at(habit(CallerHabit::GiveUp, for_ms)),
      Self::HallCutOff => at(Fault::HallCutOff {
        fault: LinkFault::Blocked,
        for_ms,
        hall: draw.one_of(&Hall::ALL),
      }),
      Self::Lossy => {
        let delay_ms = draw.between(LOSS_DELAY_MS);
        let numbers = (first..places).step_by(Hall::COUNT);
        numbers
          .map(|place| ScheduledFault {
            at_ms,
            fault: Fault::EndpointLink {
              fault: LinkFault::Delayed { delay_ms },
              for_ms,
              place,
            },
          })
          .collect()
      }
      Self::PromptsShort => at(Fault::PromptsShort { for_ms }),
      Self::Release => at(Fault::Release { gap_ms: 200 }),
      Self::RetryAbuse => at(habit(CallerHabit::RepeatAtOnce, for_ms)),
      Self::StoreCompacted => at(store(StoreFault::CompactsHistory, for_ms)),
      Self::StoreDown => {
        let faults = [StoreFault::Down, StoreFault::LosesEntries];
        at(store(draw.one_of(&faults), for_ms))
      }
      Self::StoreLost => at(store(StoreFault::DropsResponses, for_ms)),
      Self::StoreSlow => at(store(StoreFault::Slow { delay_ms: 80 }, for_ms)),
      Self::StrayNoise => at(stray(Stray::Noise)),
      Self::StrayAtOnce => at(stray(Stray::AtOnce)),
      Self::StrayLate => at(stray(Stray::Late)),
      Self::CallersShifted => at(Fault::CallersShifted {
        for_ms,
        hall: draw.one_of(&Hall::ALL),
      }),
      Self::ConfigurationGrown => at(Fault::ConfigurationGrown {
        routes: GROWN_ROUTES,
      }),
      Self::BoxReplaced => at(Fault::BoxReplaced { down_ms, index }),
      Self::MovesSlow => at(Fault::MovesSlow { for_ms }),
      Self::OrdersLate => at(Fault::OrdersLate {
        count: places.div_ceil(3),
        delay_ms: draw.between(ORDER_DELAY_MS),
        first,
        for_ms,
      }),
    }
  }
}

fn habit(habit: CallerHabit, for_ms: u64) -> Fault {
  Fault::CallersChange { for_ms, habit }
}

fn store(fault: StoreFault, for_ms: u64) -> Fault {
  Fault::Store { fault, for_ms }
}

/// Draws kinds of trouble, two or three at a time, sorted by time.
pub(crate) fn draw_troubles(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(SEED_ROTATION), size);
  let kinds = [Trouble::COMMON, size.more_troubles].concat();
  let mut steps = Vec::new();
  let mut at_ms = draw.between(SPREAD_MS);
  while at_ms < size.faults_ms {
    for _ in 0..draw.between(KINDS_TOGETHER) {
      let trouble = draw.one_of(&kinds);
      let from_ms = at_ms + draw.between(SPREAD_MS);
      steps.extend(trouble.faults(&mut draw, from_ms));
    }
    at_ms += draw.between(GROUP_INTERVAL_MS);
  }
  steps.extend(draw_apart(seed, size));
  steps.extend(draw_partitions(seed, size));
  steps.sort_by_key(|step| step.at_ms);
  steps
}

/// Draws kinds of trouble one at a time, from a separate sequence.
fn draw_apart(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(APART_SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.between(SPREAD_MS);
  while at_ms < size.faults_ms {
    let trouble = draw.one_of(Trouble::APART);
    steps.extend(trouble.faults(&mut draw, at_ms));
    at_ms += draw.between(GROUP_INTERVAL_MS);
  }
  steps
}
