//! Event queue in virtual time. Events at the same time come in the order of insertion.

use std::{
  cmp::{Ordering, Reverse},
  collections::BinaryHeap,
};

struct Entry<T> {
  time_us: u64,
  sequence: u64,
  event: T,
}

impl<T> PartialEq for Entry<T> {
  fn eq(&self, other: &Self) -> bool {
    self.cmp(other) == Ordering::Equal
  }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
  fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
    Some(self.cmp(other))
  }
}

impl<T> Ord for Entry<T> {
  fn cmp(&self, other: &Self) -> Ordering {
    (self.time_us, self.sequence).cmp(&(other.time_us, other.sequence))
  }
}

pub(super) struct Schedule<T> {
  pub(super) now_us: u64,
  sequence: u64,
  heap: BinaryHeap<Reverse<Entry<T>>>,
}

impl<T> Schedule<T> {
  pub(super) fn new() -> Self {
    Self {
      heap: BinaryHeap::new(),
      now_us: 0,
      sequence: 0,
    }
  }

  pub(super) fn after(&mut self, delay_us: u64, event: T) {
    self.at(self.now_us + delay_us, event);
  }

  /// Schedules an event, or makes it due now if its time has passed.
  pub(super) fn at(&mut self, time_us: u64, event: T) {
    self.sequence += 1;
    self.heap.push(Reverse(Entry {
      sequence: self.sequence,
      time_us: time_us.max(self.now_us),
      event,
    }));
  }

  /// Removes the next event and advances the time to it.
  pub(super) fn next(&mut self) -> Option<T> {
    let Reverse(entry) = self.heap.pop()?;
    self.now_us = entry.time_us;
    Some(entry.event)
  }
}
