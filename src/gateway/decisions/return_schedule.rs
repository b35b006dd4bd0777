//! Return times of rejected callers. Free of I/O.
//!
//! Load pattern: hundreds of callers are rejected within a second. With equal retry-after delays they come back together and most
//! are rejected again. The schedule hands out times at the rate at which room becomes free, in steps of [`STEP_MS`].
//!
//! Order: callers are grouped into classes by priority, then by the share of their deadline for which they have been refused. A
//! handed-out time is never taken back, so each class leaves room in every step for the classes before it: their recent demand. It
//! leaves at least [`MIN_RESERVED_SHARE`] to a class of which a caller was rejected lately, since a burst's first callers are not its
//! most urgent ones, and at most [`MAX_RESERVED_SHARE`] of what the class before it may use, so that no class is starved. A more urgent
//! caller who is rejected later uses that room, and returns before less urgent ones.
//!
//! Limits: callers wait for a third of their remaining time at most. A caller without room by then gets that time and takes no
//! room. Steps that have passed are dropped, so callers who do not return delay others at most until their own time. Memory is
//! bounded by [`HORIZON_MS`].

use std::collections::VecDeque;

/// Length of a step: short compared with the time that a caller waits, long enough that seconds need few steps.
const STEP_MS: u64 = 100;
/// Times are handed out for this long ahead: a third of the longest deadlines.
const HORIZON_MS: u64 = 10_000;
/// Fraction of the remaining time for which callers wait as told.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Priorities that are distinguished; less urgent ones are treated as the last.
const PRIORITIES: usize = 4;
/// Callers of one priority are distinguished by the share of their deadline for which they have been refused: at least the first,
/// at least the second, or less.
const REFUSED_SHARES: [f64; 2] = [0.33, 0.1];
const CLASSES: usize = PRIORITIES * (REFUSED_SHARES.len() + 1);
/// Time constant of the demand by class: about the length of the burst that it has to follow.
const DEMAND_MS: f64 = 1_000.0;
/// Of a burst that has just begun, this much of that time counts: one caller is no demand of hundreds per second.
const MIN_COVERED_SHARE: f64 = 0.2;
/// A burst begins when what is left of the demand before it is less than this share of its first caller.
const NEW_BURST_SHARE: f64 = 0.1;
/// A class without a rejection for this long needs no room.
const DEMAND_TTL_MS: u64 = 60_000;
/// Least fraction of what a class may use that those behind it leave to it, if a caller of it was rejected lately.
const MIN_RESERVED_SHARE: f64 = 0.125;
/// Largest fraction of what a class may use that those behind it leave to it.
const MAX_RESERVED_SHARE: f64 = 0.7;

/// Units below which a caller's need is met: sums over steps are rounded.
const ROUNDING_UNITS: f64 = 1e-9;

/// A caller that is rejected and may return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturningCaller {
  /// Priority of its route; 0 is the most urgent.
  pub priority: u8,
  /// How long ago it was first rejected; 0 for a new caller.
  pub refused_for_ms: u64,
  /// Time until its deadline.
  pub remaining_ms: u64,
  /// What it needs of the capacity whose rate is given: 1 for a slot, its units for a limit.
  pub units: f64,
}

impl ReturningCaller {
  /// The latest time at which the caller may be asked to return.
  ///
  /// ```
  /// use rillford::gateway::ReturningCaller;
  /// let caller = ReturningCaller { priority: 1, refused_for_ms: 0, remaining_ms: 14_000, units: 1.0 };
  /// assert_eq!(caller.latest_ms(), 4_666);
  /// ```
  pub fn latest_ms(self) -> u64 {
    (self.remaining_ms as f64 * MAX_WAIT_SHARE) as u64
  }

  /// The class, the most urgent first.
  fn class(self) -> usize {
    let refused_ms = self.refused_for_ms as f64;
    let deadline_ms = refused_ms + self.remaining_ms as f64;
    let share = refused_ms / deadline_ms.max(1.0);
    let level = REFUSED_SHARES
      .iter()
      .filter(|least| share < **least)
      .count();
    let priority = usize::from(self.priority).min(PRIORITIES - 1);
    priority * (REFUSED_SHARES.len() + 1) + level
  }
}

/// Recent demand of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Demand {
  /// Units that were asked for, decayed.
  units: f64,
  /// When a burst began, and its last caller was rejected.
  during_ms: Option<(u64, u64)>,
}

impl Demand {
  fn record(&mut self, units: f64, now_ms: u64) {
    let before = self.units_at(now_ms);
    let began_ms = match self.during_ms {
      Some((began_ms, _)) if before > units * NEW_BURST_SHARE => began_ms,
      _ => now_ms,
    };
    self.units = before + units;
    self.during_ms = Some((began_ms, now_ms));
  }

  fn units_at(&self, now_ms: u64) -> f64 {
    let age_ms = self
      .during_ms
      .map_or(0, |(_, last_ms)| now_ms.saturating_sub(last_ms));
    self.units * (-(age_ms as f64) / DEMAND_MS).exp()
  }

  /// The moving average, not averaged over the quiet time before a burst.
  fn per_s(&self, now_ms: u64) -> f64 {
    let age_ms = self
      .during_ms
      .map_or(0, |(began_ms, _)| now_ms.saturating_sub(began_ms));
    let covered = 1.0 - (-(age_ms as f64) / DEMAND_MS).exp();
    let covered_ms = DEMAND_MS * covered.max(MIN_COVERED_SHARE);
    self.units_at(now_ms) * 1_000.0 / covered_ms
  }

  fn is_recent(&self, now_ms: u64) -> bool {
    self
      .during_ms
      .is_some_and(|(_, last_ms)| now_ms.saturating_sub(last_ms) < DEMAND_TTL_MS)
  }
}

/// Units handed out in one step, by class.
type Step = [f64; CLASSES];

/// The return times that were handed out for one capacity: the slots of a service, or the units of a limit.
///
/// ```
/// use rillford::gateway::{ReturnSchedule, ReturningCaller};
/// let caller = ReturningCaller { priority: 1, refused_for_ms: 0, remaining_ms: 14_000, units: 1.0 };
/// let mut schedule = ReturnSchedule::default();
/// // Room for ten callers a second: the next one returns 100 ms after the one before.
/// assert_eq!(schedule.assign(caller, 10.0, 0, 0, 1.0), 100);
/// assert_eq!(schedule.assign(caller, 10.0, 0, 0, 1.0), 200);
/// // No room is known: a third of the remaining time.
/// assert_eq!(schedule.assign(caller, 0.0, 0, 0, 1.0), 4_666);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
  /// Number of the first step in `steps`.
  first: u64,
  steps: VecDeque<Step>,
  demand: [Demand; CLASSES],
}

impl ReturnSchedule {
  /// Hands out the time after which a rejected caller should return: the retry-after delay in milliseconds.
  ///
  /// `rate_per_s` is the rate at which units become free for callers who return, `earliest_ms` the time from now before which
  /// none is free, and `draw` from 0 to 1 spreads the callers of boxes with equal schedules.
  pub fn assign(
    &mut self,
    caller: ReturningCaller,
    rate_per_s: f64,
    earliest_ms: u64,
    now_ms: u64,
    draw: f64,
  ) -> u64 {
    let class = caller.class();
    let units = caller.units.max(0.0);
    self.drop_passed(now_ms);
    let latest_ms = caller.latest_ms();
    let until_ms = now_ms + latest_ms.min(HORIZON_MS);
    let step_units = step_units(rate_per_s, self.reserved_shares(rate_per_s, now_ms));
    self.demand[class].record(units, now_ms);
    let Some(step_units) = step_units else {
      return latest_ms;
    };
    let from_ms = now_ms + earliest_ms;
    let mut missing = units;
    let mut taken = Vec::new();
    let mut number = from_ms / STEP_MS;
    while number * STEP_MS <= until_ms {
      let room = self.room(number, class, &step_units, from_ms).min(missing);
      missing -= room;
      taken.push(room);
      if missing <= ROUNDING_UNITS {
        let due_ms = self.due_ms(number, room, step_units[0], draw).max(from_ms);
        if due_ms > until_ms {
          return latest_ms;
        }
        self.take(from_ms / STEP_MS, class, &taken);
        return due_ms - now_ms;
      }
      number += 1;
    }
    latest_ms
  }

  /// Units that were handed out for return between two times, rounded to whole steps.
  pub fn handed_out(&self, from_ms: u64, to_ms: u64) -> f64 {
    let is_within = |number: u64| (from_ms..to_ms).contains(&(number * STEP_MS));
    let numbered = (self.first..).zip(&self.steps);
    let within = numbered.filter(|(number, _)| is_within(*number));
    within.map(|(_, step)| step.iter().sum::<f64>()).sum()
  }

  /// The fraction of the rate that each class leaves to those before it.
  fn reserved_shares(&self, rate_per_s: f64, now_ms: u64) -> [f64; CLASSES] {
    let mut shares = [0.0; CLASSES];
    let mut before_per_s = 0.0;
    // The least and the most that is left to a class.
    let (mut least, mut most) = (1.0, 1.0);
    for (share, demand) in shares.iter_mut().zip(&self.demand) {
      let demanded = before_per_s / rate_per_s.max(f64::MIN_POSITIVE);
      *share = 1.0 - (1.0 - demanded).clamp(least, most);
      if demand.is_recent(now_ms) {
        before_per_s += demand.per_s(now_ms);
        least *= 1.0 - MAX_RESERVED_SHARE;
        most *= 1.0 - MIN_RESERVED_SHARE;
      }
    }
    shares
  }

  /// The units that a class may take in a step.
  fn room(&self, number: u64, class: usize, step_units: &[f64; CLASSES], from_ms: u64) -> f64 {
    let used = self.step(number);
    let mut used_from: f64 = used.iter().sum();
    let mut room = f64::INFINITY;
    for (before, limit) in step_units.iter().enumerate().take(class + 1) {
      room = room.min(limit - used_from);
      used_from -= used[before];
    }
    // What is left of a step that has begun.
    let left_ms = ((number + 1) * STEP_MS - from_ms).min(STEP_MS);
    let left = step_units[class] * left_ms as f64 / STEP_MS as f64;
    room.min(left).max(0.0)
  }

  /// When a caller who takes its last units in a step returns.
  fn due_ms(&self, number: u64, taken: f64, step_units: f64, draw: f64) -> u64 {
    let used: f64 = self.step(number).iter().sum();
    let share = (used + taken * draw) / step_units;
    number * STEP_MS + (share.clamp(0.0, 1.0) * STEP_MS as f64) as u64
  }

  fn take(&mut self, from: u64, class: usize, taken: &[f64]) {
    if self.steps.is_empty() {
      self.first = from;
    }
    while self.first > from {
      self.steps.push_front([0.0; CLASSES]);
      self.first -= 1;
    }
    let offset = (from - self.first) as usize;
    let length = self.steps.len().max(offset + taken.len());
    self.steps.resize(length, [0.0; CLASSES]);
    for (step, units) in self.steps.iter_mut().skip(offset).zip(taken) {
      step[class] += units;
    }
  }

  fn step(&self, number: u64) -> Step {
    let index = number.checked_sub(self.first);
    let step = index.and_then(|index| self.steps.get(index as usize));
    step.copied().unwrap_or([0.0; CLASSES])
  }

  fn drop_passed(&mut self, now_ms: u64) {
    let current = now_ms / STEP_MS;
    while self.first < current && self.steps.pop_front().is_some() {
      self.first += 1;
    }
  }
}

/// The units of one step that each class and those behind it may take together; `None` without any.
fn step_units(rate_per_s: f64, reserved_shares: [f64; CLASSES]) -> Option<[f64; CLASSES]> {
  let units = rate_per_s * STEP_MS as f64 / 1_000.0;
  (units.is_finite() && units > 0.0).then(|| reserved_shares.map(|share| units * (1.0 - share)))
}
