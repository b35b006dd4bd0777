//! Events in the order of their time; those of the same moment in the order in which they were put.

use std::{cmp::Reverse, collections::BinaryHeap};

struct Timed<E> {
  at_ms: u64,
  number: u64,
  event: E,
}

impl<E> Timed<E> {
  fn key(&self) -> Reverse<(u64, u64)> {
    Reverse((self.at_ms, self.number))
  }
}

impl<E> PartialEq for Timed<E> {
  fn eq(&self, other: &Self) -> bool {
    self.key() == other.key()
  }
}

impl<E> Eq for Timed<E> {}

impl<E> PartialOrd for Timed<E> {
  fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
    Some(self.cmp(other))
  }
}

impl<E> Ord for Timed<E> {
  fn cmp(&self, other: &Self) -> std::cmp::Ordering {
    self.key().cmp(&other.key())
  }
}

/// What is still to happen.
pub(crate) struct Queue<E> {
  events: BinaryHeap<Timed<E>>,
  put: u64,
}

impl<E> Queue<E> {
  pub(crate) fn new() -> Self {
    Self {
      events: BinaryHeap::new(),
      put: 0,
    }
  }

  pub(crate) fn put(&mut self, at_ms: u64, event: E) {
    self.put += 1;
    let number = self.put;
    self.events.push(Timed {
      at_ms,
      event,
      number,
    });
  }

  pub(crate) fn next(&mut self) -> Option<(u64, E)> {
    let timed = self.events.pop()?;
    Some((timed.at_ms, timed.event))
  }
}
