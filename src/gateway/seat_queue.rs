//! The order in which a box's requests look for a seat. Free of I/O.

use std::collections::BTreeMap;

/// How a request stands in the queue; the first of these goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SeatUrgency {
  /// Its caller has a part of the answer.
  GoesOn,
  /// Its first event can still come in the wanted time.
  InTime,
  /// It will be late, or its caller was refused before: served when no other waits.
  Late,
}

/// How long a request waits for a seat, and until when as one that can be in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeatWait {
  /// Whether its caller has a part of the answer.
  pub goes_on: bool,
  /// From then on its first event comes too late for the wanted time.
  pub in_time_until_ms: u64,
  /// From then on it is refused.
  pub until_ms: u64,
}

impl SeatWait {
  /// The urgency at a time.
  pub fn urgency(&self, now_ms: u64) -> SeatUrgency {
    if self.goes_on {
      SeatUrgency::GoesOn
    } else if now_ms < self.in_time_until_ms {
      SeatUrgency::InTime
    } else {
      SeatUrgency::Late
    }
  }

  /// Time until the urgency changes or the wait is over.
  pub fn next_change_ms(&self, now_ms: u64) -> u64 {
    let next_ms = match self.urgency(now_ms) {
      SeatUrgency::InTime => self.in_time_until_ms.min(self.until_ms),
      SeatUrgency::GoesOn | SeatUrgency::Late => self.until_ms,
    };
    next_ms.saturating_sub(now_ms)
  }
}

/// The requests of a box that look for a seat, in the order of their arrival.
///
/// ```
/// use rillford::gateway::{SeatQueue, SeatWait};
/// let wait = |in_time_until_ms| SeatWait { goes_on: false, in_time_until_ms, until_ms: 3_000 };
/// let mut queue = SeatQueue::default();
/// let late = queue.join(wait(0));
/// let older = queue.join(wait(500));
/// let newer = queue.join(wait(900));
/// assert!(queue.is_first(older, 100));
/// // The older one is late by then.
/// assert!(queue.is_first(newer, 600));
/// queue.leave(newer);
/// assert!(queue.is_first(late, 600));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SeatQueue {
  waiting: BTreeMap<u64, SeatWait>,
  joined: u64,
}

impl SeatQueue {
  /// A request joins; answers with its number.
  pub fn join(&mut self, wait: SeatWait) -> u64 {
    self.joined += 1;
    self.waiting.insert(self.joined, wait);
    self.joined
  }

  /// A request has its seat, or no longer wants one.
  pub fn leave(&mut self, number: u64) {
    self.waiting.remove(&number);
  }

  /// How many requests would go before one that joined now.
  pub fn ahead_of(&self, wait: SeatWait, now_ms: u64) -> usize {
    let urgency = wait.urgency(now_ms);
    self
      .waiting
      .values()
      .filter(|waiting| waiting.urgency(now_ms) <= urgency)
      .count()
  }

  /// How many requests look for a seat.
  pub fn len(&self) -> usize {
    self.waiting.len()
  }

  /// Whether no request looks for a seat.
  pub fn is_empty(&self) -> bool {
    self.waiting.is_empty()
  }

  /// Whether no other request goes first.
  pub fn is_first(&self, number: u64, now_ms: u64) -> bool {
    self
      .waiting
      .iter()
      .min_by_key(|(number, wait)| (wait.urgency(now_ms), **number))
      .is_some_and(|(first, _)| *first == number)
  }
}
