//! The faults of a run whose endpoints garble their answers.

use super::{
  draw::{Draw, ScheduledFault, Size},
  fault::Fault,
};

/// Bits by which the seed is rotated.
const SEED_ROTATION: u32 = 19;
/// Share of the answers that are garbled.
const PERCENTS: [u8; 3] = [5, 15, 40];
/// Duration, and the interval from the end of one such period to the next.
const DURATION_MS: (u64, u64) = (3_000, 5_500);
const GAP_MS: (u64, u64) = (300, 1_500);
/// Chance that an engine crashes meanwhile, when it does so, and the time until it is back.
const CRASH_CHANCE_PERCENT: usize = 50;
const CRASH_MS: (u64, u64) = (500, 2_500);
const CRASH_DOWN_MS: (u64, u64) = (300, 2_000);

/// Draws periods in which endpoints garble their answers, with crashes of engines in some, sorted by time.
pub(crate) fn draw_garbled_answers(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.between(GAP_MS);
  while at_ms < size.faults_ms {
    let for_ms = draw.between(DURATION_MS);
    let first = draw.number_below(size.places);
    let fault = Fault::AnswersGarbled {
      count: size.places.div_ceil(2) + draw.number_below(size.places.div_ceil(2)),
      first,
      for_ms,
      percent: draw.one_of(&PERCENTS),
    };
    steps.push(ScheduledFault { at_ms, fault });
    let crash_ms = at_ms + draw.between(CRASH_MS);
    let fault = Fault::EnginesCrashed {
      count: 1,
      down_ms: draw.between(CRASH_DOWN_MS),
      first,
    };
    if draw.number_below(100) < CRASH_CHANCE_PERCENT {
      steps.push(ScheduledFault {
        at_ms: crash_ms,
        fault,
      });
    }
    at_ms += for_ms + draw.between(GAP_MS);
  }
  steps.sort_by_key(|step| step.at_ms);
  steps
}
