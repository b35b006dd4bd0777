//! The queue of a box's requests that wait for a batch slot. Free of I/O.

use {super::organisation_loads::OrganisationLoad, std::collections::BTreeSet};

/// The urgency of a request, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlotUrgency {
  /// The caller has received part of the response.
  Resumed,
  /// The caller has received nothing.
  New,
}

/// A request's position in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
  urgency: SlotUrgency,
  /// 0 goes first.
  priority: u8,
  /// Of one priority, organisations within their usual load go first.
  load: OrganisationLoad,
  /// Positions are numbered in the order of arrival.
  number: u64,
}

/// The requests of a box that wait for a slot.
///
/// ```
/// use rillford::gateway::{SlotQueue, SlotUrgency};
/// let mut queue = SlotQueue::default();
/// let older = queue.join(SlotUrgency::New, 1);
/// let newer = queue.join(SlotUrgency::New, 1);
/// let resumed = queue.join(SlotUrgency::Resumed, 2);
/// assert!(queue.is_first(resumed));
/// queue.leave(resumed);
/// assert!(queue.is_first(older) && !queue.is_first(newer));
/// assert_eq!(queue.len(), 2);
/// let more_urgent = queue.join(SlotUrgency::New, 0);
/// assert!(queue.is_first(more_urgent));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotQueue {
  positions: BTreeSet<QueuePosition>,
  joined: u64,
}

impl SlotQueue {
  /// Adds a request.
  pub fn join(&mut self, urgency: SlotUrgency, priority: u8) -> QueuePosition {
    self.join_with_load(urgency, priority, OrganisationLoad::Usual)
  }

  /// Adds a request of an organisation with a load.
  ///
  /// ```
  /// use rillford::gateway::{OrganisationLoad, SlotQueue, SlotUrgency};
  /// let mut queue = SlotQueue::default();
  /// let above = queue.join_with_load(SlotUrgency::New, 1, OrganisationLoad::AboveUsual);
  /// let usual = queue.join_with_load(SlotUrgency::New, 1, OrganisationLoad::Usual);
  /// assert!(queue.is_first(usual));
  /// let more_urgent = queue.join_with_load(SlotUrgency::New, 0, OrganisationLoad::AboveUsual);
  /// assert!(queue.is_first(more_urgent));
  /// ```
  pub fn join_with_load(
    &mut self,
    urgency: SlotUrgency,
    priority: u8,
    load: OrganisationLoad,
  ) -> QueuePosition {
    self.joined += 1;
    let position = QueuePosition {
      load,
      number: self.joined,
      priority,
      urgency,
    };
    self.positions.insert(position);
    position
  }

  /// Removes a request that has its slot, or no longer needs one.
  pub fn leave(&mut self, position: QueuePosition) {
    self.positions.remove(&position);
  }

  /// The number of waiting requests.
  pub fn len(&self) -> usize {
    self.positions.len()
  }

  /// Whether no request is waiting.
  pub fn is_empty(&self) -> bool {
    self.positions.is_empty()
  }

  /// Whether no other request goes first.
  pub fn is_first(&self, position: QueuePosition) -> bool {
    self.positions.first() == Some(&position)
  }
}
