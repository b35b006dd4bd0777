//! Event queue of a simulation in virtual time: ordered by time, and by insertion among events of the same time.

use std::{cmp::Reverse, collections::BinaryHeap};

struct TimedEvent<E> {
  at_ms: u64,
  sequence: u64,
  event: E,
}

impl<E> TimedEvent<E> {
  fn key(&self) -> Reverse<(u64, u64)> {
    Reverse((self.at_ms, self.sequence))
  }
}

impl<E> PartialEq for TimedEvent<E> {
  fn eq(&self, other: &Self) -> bool {
    self.key() == other.key()
  }
}

impl<E> Eq for TimedEvent<E> {}

impl<E> PartialOrd for TimedEvent<E> {
  fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
    Some(self.cmp(other))
  }
}

impl<E> Ord for TimedEvent<E> {
  fn cmp(&self, other: &Self) -> std::cmp::Ordering {
    self.key().cmp(&other.key())
  }
}

/// Pending events.
pub(crate) struct Queue<E> {
  events: BinaryHeap<TimedEvent<E>>,
  last_sequence: u64,
}

impl<E> Queue<E> {
  pub(crate) fn new() -> Self {
    Self {
      events: BinaryHeap::new(),
      last_sequence: 0,
    }
  }

  pub(crate) fn put(&mut self, at_ms: u64, event: E) {
    self.last_sequence += 1;
    let sequence = self.last_sequence;
    self.events.push(TimedEvent {
      at_ms,
      event,
      sequence,
    });
  }

  pub(crate) fn next(&mut self) -> Option<(u64, E)> {
    let timed = self.events.pop()?;
    Some((timed.at_ms, timed.event))
  }
}
