//! The faults that cut boxes and halls from each other.

use {
  super::{
    draw::{Draw, ScheduledFault, Size},
    fault::Fault,
    hall::Hall,
  },
  stand_ins::Cut,
};

/// Bits by which the seed is rotated.
const SEED_ROTATION: u32 = 19;
/// Duration of a cut, and the interval from the beginning of one to the next.
const DURATION_MS: (u64, u64) = (4_000, 7_000);
const INTERVAL_MS: (u64, u64) = (8_000, 12_000);
/// Time from a hall's cut to a kill of all boxes, and until they are back.
pub(crate) const KILL_AFTER_CUT_MS: u64 = 500;
const DOWN_MS: (u64, u64) = (300, 1_600);

/// Draws cuts of halls, half of them shortly before a kill of all boxes, and of single boxes, from a separate sequence.
pub(crate) fn draw_partitions(seed: u64, size: Size) -> Vec<ScheduledFault> {
  let mut draw = Draw::new(seed.rotate_left(SEED_ROTATION), size);
  let mut steps = Vec::new();
  let mut at_ms = draw.between(INTERVAL_MS) / 4;
  while at_ms < size.faults_ms {
    let for_ms = draw.between(DURATION_MS);
    let index = draw.number_below(size.boxes);
    let hall = draw.one_of(&Hall::ALL);
    let cut = draw.one_of(&[Cut::Reset, Cut::ResetAndRefuse, Cut::ResetAll, Cut::Hang]);
    let fault = match draw.number_below(6) {
      0 => Fault::BoxesCutOff { cut, for_ms, index },
      1 => Fault::EndpointsCutOff { cut, for_ms, index },
      _ => Fault::HallsCut { cut, for_ms, hall },
    };
    steps.push(ScheduledFault { at_ms, fault });
    let down_ms = draw.between(DOWN_MS);
    if matches!(fault, Fault::HallsCut { .. }) && draw.number_below(2) == 0 {
      steps.push(ScheduledFault {
        at_ms: at_ms + KILL_AFTER_CUT_MS,
        fault: Fault::AllBoxesKilled { down_ms },
      });
    }
    at_ms += draw.between(INTERVAL_MS);
  }
  steps
}
