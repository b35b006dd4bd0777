//! The order in which a box's requests look for a seat. Free of I/O.

use std::collections::BTreeSet;

/// How a request stands in the queue; the first of these goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SeatUrgency {
  /// Its caller has a part of the answer.
  GoesOn,
  /// Its caller has nothing yet.
  Begins,
}

/// A request's place in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SeatPlace {
  urgency: SeatUrgency,
  /// 0 goes first.
  priority: u8,
  /// Places are numbered as they are taken.
  number: u64,
}

/// The requests of a box that look for a seat.
///
/// ```
/// use rillford::gateway::{SeatQueue, SeatUrgency};
/// let mut queue = SeatQueue::default();
/// let older = queue.join(SeatUrgency::Begins, 1);
/// let newer = queue.join(SeatUrgency::Begins, 1);
/// let going_on = queue.join(SeatUrgency::GoesOn, 2);
/// assert!(queue.is_first(going_on));
/// queue.leave(going_on);
/// assert!(queue.is_first(older) && !queue.is_first(newer));
/// assert_eq!(queue.len(), 2);
/// let more_urgent = queue.join(SeatUrgency::Begins, 0);
/// assert!(queue.is_first(more_urgent));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SeatQueue {
  places: BTreeSet<SeatPlace>,
  joined: u64,
}

impl SeatQueue {
  /// A request joins.
  pub fn join(&mut self, urgency: SeatUrgency, priority: u8) -> SeatPlace {
    self.joined += 1;
    let place = SeatPlace {
      number: self.joined,
      priority,
      urgency,
    };
    self.places.insert(place);
    place
  }

  /// A request has its seat, or no longer wants one.
  pub fn leave(&mut self, place: SeatPlace) {
    self.places.remove(&place);
  }

  /// How many requests look for a seat.
  pub fn len(&self) -> usize {
    self.places.len()
  }

  /// Whether no request looks for a seat.
  pub fn is_empty(&self) -> bool {
    self.places.is_empty()
  }

  /// Whether no other request goes first.
  pub fn is_first(&self, place: SeatPlace) -> bool {
    self.places.first() == Some(&place)
  }
}
