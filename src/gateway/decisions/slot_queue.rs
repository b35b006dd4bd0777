//! The queue of a box's requests that wait for a batch slot. Free of I/O.

use {super::organisation_loads::OrganisationLoad, std::collections::BTreeSet};

/// The urgency of a request, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlotUrgency {
  /// The caller has received part of the response.
  Resumed,
  /// The caller was rejected before, and has returned.
  Returned,
  /// The caller has received nothing.
  New,
}

/// A request's position in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
  /// Resumed requests go first whatever their priority.
  is_new: bool,
  /// 0 goes first.
  priority: u8,
  /// Of one priority, organisations within their usual load go first.
  load: OrganisationLoad,
  /// Orders the requests of one priority and load.
  urgency: SlotUrgency,
  /// Positions are numbered in the order of arrival.
  number: u64,
}

/// The requests of a box that wait for a slot.
///
/// ```
/// use rillford::gateway::{OrganisationLoad, SlotQueue, SlotUrgency};
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
/// // Of one priority, callers who return go before new ones.
/// assert_eq!(queue.ahead_of(SlotUrgency::New, 1, OrganisationLoad::Usual), 3);
/// assert_eq!(queue.ahead_of(SlotUrgency::Returned, 1, OrganisationLoad::Usual), 1);
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
    let position = position(urgency, priority, load, self.joined);
    self.positions.insert(position);
    position
  }

  /// The number of requests that go before one.
  pub fn ahead(&self, position: QueuePosition) -> usize {
    self.positions.range(..position).count()
  }

  /// The number of requests that would go before one that joins now.
  pub fn ahead_of(&self, urgency: SlotUrgency, priority: u8, load: OrganisationLoad) -> usize {
    let next = position(urgency, priority, load, self.joined + 1);
    self.positions.range(..next).count()
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

fn position(
  urgency: SlotUrgency,
  priority: u8,
  load: OrganisationLoad,
  number: u64,
) -> QueuePosition {
  QueuePosition {
    load,
    is_new: urgency != SlotUrgency::Resumed,
    number,
    priority,
    urgency,
  }
}
