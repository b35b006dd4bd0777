//! A queue with strict priorities, and deficit round robin over organisations within a priority.

use {
  crate::ids::{Name, RequestId},
  std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
  },
};

/// Added to an organisation's deficit in each round.
const QUANTUM_TOKENS: i64 = 2_048;

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueueEntry {
  pub request: RequestId,
  pub organisation: Name,
  /// Higher is served first.
  pub priority: i64,
  /// Whether it may be shed when the queue is full.
  pub may_wait: bool,
  /// The lowest is shed first.
  pub weight: f64,
  /// Cost charged to the organisation's deficit, in tokens.
  pub cost_tokens: u64,
}

#[derive(Default)]
struct Level {
  /// Organisations in round-robin order.
  rotation: VecDeque<Name>,
  queues: BTreeMap<Name, VecDeque<QueueEntry>>,
  deficits: BTreeMap<Name, i64>,
}

impl Level {
  fn push(&mut self, entry: QueueEntry, front: bool) {
    let organisation = entry.organisation.clone();
    let queue = self.queues.entry(organisation.clone()).or_default();
    if queue.is_empty() {
      self.rotation.push_back(organisation);
    }
    if front {
      // It was charged when it was popped.
      *self.deficits.entry(entry.organisation.clone()).or_default() +=
        i64::try_from(entry.cost_tokens).unwrap_or(0);
      queue.push_front(entry);
    } else {
      queue.push_back(entry);
    }
  }

  /// Rotates until the deficit of the first organisation covers its first request.
  fn advance_rotation(&mut self) {
    while let Some(organisation) = self.rotation.front().cloned() {
      let Some(first) = self.queues.get(&organisation).and_then(VecDeque::front) else {
        self.rotation.pop_front();
        self.deficits.remove(&organisation);
        continue;
      };
      let deficit = self.deficits.entry(organisation.clone()).or_default();
      if *deficit >= i64::try_from(first.cost_tokens).unwrap_or(i64::MAX) {
        return;
      }
      *deficit += QUANTUM_TOKENS;
      self.rotation.rotate_left(1);
    }
  }

  fn peek(&mut self) -> Option<&QueueEntry> {
    self.advance_rotation();
    let organisation = self.rotation.front()?;
    self.queues.get(organisation)?.front()
  }

  fn pop(&mut self) -> Option<QueueEntry> {
    self.advance_rotation();
    let organisation = self.rotation.front()?.clone();
    let entry = self.queues.get_mut(&organisation)?.pop_front()?;
    *self.deficits.entry(organisation.clone()).or_default() -=
      i64::try_from(entry.cost_tokens).unwrap_or(i64::MAX);
    if self.queues[&organisation].is_empty() {
      self.queues.remove(&organisation);
      self.deficits.remove(&organisation);
      self.rotation.pop_front();
    }
    Some(entry)
  }

  fn remove(&mut self, organisation: &Name, request: RequestId) -> bool {
    let Some(queue) = self.queues.get_mut(organisation) else {
      return false;
    };
    let before = queue.len();
    queue.retain(|entry| entry.request != request);
    let removed = queue.len() < before;
    if queue.is_empty() {
      self.queues.remove(organisation);
      self.deficits.remove(organisation);
      self.rotation.retain(|name| name != organisation);
    }
    removed
  }

  fn iter(&self) -> impl Iterator<Item = &QueueEntry> {
    self.queues.values().flatten()
  }
}

/// Requests that wait for the same endpoints.
///
/// ```
/// use rillford::{decide::{FairQueue, QueueEntry}, ids::RequestId};
/// let mut queue = FairQueue::default();
/// let entry = |request, priority| QueueEntry {
///   request: RequestId(request), organisation: "a".into(), priority,
///   may_wait: false, weight: 1.0, cost_tokens: 10,
/// };
/// queue.push(entry(1, 0));
/// queue.push(entry(2, 5));
/// assert_eq!(queue.pop().unwrap().request, RequestId(2));
/// ```
#[derive(Default)]
pub struct FairQueue {
  levels: BTreeMap<Reverse<i64>, Level>,
  length: usize,
}

impl FairQueue {
  pub fn len(&self) -> usize {
    self.length
  }

  pub fn is_empty(&self) -> bool {
    self.length == 0
  }

  /// Queues a request behind those of its organisation.
  pub fn push(&mut self, entry: QueueEntry) {
    self.length += 1;
    let level = self.levels.entry(Reverse(entry.priority)).or_default();
    level.push(entry, false);
  }

  /// Puts a request back in front of those of its organisation.
  pub fn push_front(&mut self, entry: QueueEntry) {
    self.length += 1;
    let level = self.levels.entry(Reverse(entry.priority)).or_default();
    level.push(entry, true);
  }

  pub fn peek(&mut self) -> Option<&QueueEntry> {
    self.levels.values_mut().find_map(Level::peek)
  }

  pub fn pop(&mut self) -> Option<QueueEntry> {
    let entry = self.levels.values_mut().find_map(Level::pop)?;
    self.drop_empty_level(entry.priority);
    Some(entry)
  }

  /// Removes a request from any position.
  pub fn remove(&mut self, priority: i64, organisation: &Name, request: RequestId) {
    let removed = self
      .levels
      .get_mut(&Reverse(priority))
      .is_some_and(|level| level.remove(organisation, request));
    if removed {
      self.drop_empty_level(priority);
    }
  }

  /// The request to shed first: among those that may wait, by lowest priority, lowest weight, latest arrival.
  pub fn shed_candidate(&self) -> Option<QueueEntry> {
    self
      .levels
      .values()
      .rev()
      .find_map(|level| {
        level.iter().filter(|entry| entry.may_wait).min_by(|a, b| {
          a.weight
            .total_cmp(&b.weight)
            .then(b.request.cmp(&a.request))
        })
      })
      .cloned()
  }

  /// Number of requests ahead of a new one of that priority.
  pub fn count_ahead(&self, priority: i64) -> usize {
    self
      .levels
      .range(..=Reverse(priority))
      .map(|(_, level)| level.queues.values().map(VecDeque::len).sum::<usize>())
      .sum()
  }

  pub fn iter(&self) -> impl Iterator<Item = &QueueEntry> {
    self.levels.values().flat_map(Level::iter)
  }

  fn drop_empty_level(&mut self, priority: i64) {
    self.length -= 1;
    if self
      .levels
      .get(&Reverse(priority))
      .is_some_and(|level| level.queues.is_empty())
    {
      self.levels.remove(&Reverse(priority));
    }
  }
}
