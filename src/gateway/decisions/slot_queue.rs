//! The order in which a box's requests look for a seat. Free of I/O.

use std::collections::BTreeSet;

/// How a request stands in the queue; the first of these goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlotUrgency {
  /// Its caller has a part of the answer.
  Resumed,
  /// Its caller has nothing yet.
  New,
}

/// A request's place in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
  urgency: SlotUrgency,
  /// 0 goes first.
  priority: u8,
  /// Places are numbered as they are taken.
  number: u64,
}

/// The requests of a box that look for a seat.
///
/// ```
/// use rillford::gateway::{SlotQueue, SlotUrgency};
/// let mut queue = SlotQueue::default();
/// let older = queue.join(SlotUrgency::New, 1);
/// let newer = queue.join(SlotUrgency::New, 1);
/// let going_on = queue.join(SlotUrgency::Resumed, 2);
/// assert!(queue.is_first(going_on));
/// queue.leave(going_on);
/// assert!(queue.is_first(older) && !queue.is_first(newer));
/// assert_eq!(queue.len(), 2);
/// let more_urgent = queue.join(SlotUrgency::New, 0);
/// assert!(queue.is_first(more_urgent));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotQueue {
  places: BTreeSet<QueuePosition>,
  joined: u64,
}

impl SlotQueue {
  /// A request joins.
  pub fn join(&mut self, urgency: SlotUrgency, priority: u8) -> QueuePosition {
    self.joined += 1;
    let place = QueuePosition {
      number: self.joined,
      priority,
      urgency,
    };
    self.places.insert(place);
    place
  }

  /// A request has its seat, or no longer wants one.
  pub fn leave(&mut self, place: QueuePosition) {
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
  pub fn is_first(&self, place: QueuePosition) -> bool {
    self.places.first() == Some(&place)
  }
}
