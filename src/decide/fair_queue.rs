//! QueueEntry requests of one lane: strict priority, and deficit round robin over organisations within one.

use {
  crate::ids::{Name, RequestId},
  std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
  },
};

const QUANTUM_TOKENS: i64 = 2_048;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct QueueEntry {
  /// The request.
  pub request: RequestId,
  /// Whose it is.
  pub organisation: Name,
  /// Higher goes first.
  pub priority: i64,
  /// Whether it may be shed.
  pub may_wait: bool,
  /// The lowest is shed first.
  pub weight: f64,
  /// What it costs its organisation's share, in tokens.
  pub cost_tokens: u64,
}

#[derive(Default)]
struct Level {
  rotation: VecDeque<Name>,
  queues: BTreeMap<Name, VecDeque<QueueEntry>>,
  deficits: BTreeMap<Name, i64>,
}

impl Level {
  fn push(&mut self, waiting: QueueEntry, front: bool) {
    let organisation = waiting.organisation.clone();
    let queue = self.queues.entry(organisation.clone()).or_default();
    if queue.is_empty() {
      self.rotation.push_back(organisation);
    }
    if front {
      // It was charged when it was taken out.
      *self
        .deficits
        .entry(waiting.organisation.clone())
        .or_default() += i64::try_from(waiting.cost_tokens).unwrap_or(0);
      queue.push_front(waiting);
    } else {
      queue.push_back(waiting);
    }
  }

  /// Turns the ring until the first organisation can pay for its first request.
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
    let waiting = self.queues.get_mut(&organisation)?.pop_front()?;
    *self.deficits.entry(organisation.clone()).or_default() -=
      i64::try_from(waiting.cost_tokens).unwrap_or(i64::MAX);
    if self.queues[&organisation].is_empty() {
      self.queues.remove(&organisation);
      self.deficits.remove(&organisation);
      self.rotation.pop_front();
    }
    Some(waiting)
  }

  fn remove(&mut self, organisation: &Name, request: RequestId) -> bool {
    let Some(queue) = self.queues.get_mut(organisation) else {
      return false;
    };
    let before = queue.len();
    queue.retain(|waiting| waiting.request != request);
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

/// The requests of one lane that wait for a place.
///
/// ```
/// use rillford::{decide::{FairQueue, QueueEntry}, ids::RequestId};
/// let mut queue = FairQueue::default();
/// let waiting = |request, priority| QueueEntry {
///   request: RequestId(request), organisation: "a".into(), priority,
///   may_wait: false, weight: 1.0, cost_tokens: 10,
/// };
/// queue.push(waiting(1, 0));
/// queue.push(waiting(2, 5));
/// assert_eq!(queue.pop().unwrap().request, RequestId(2));
/// ```
#[derive(Default)]
pub struct FairQueue {
  levels: BTreeMap<Reverse<i64>, Level>,
  length: usize,
}

impl FairQueue {
  /// The number of requests that wait.
  pub fn len(&self) -> usize {
    self.length
  }

  /// Whether nothing waits.
  pub fn is_empty(&self) -> bool {
    self.length == 0
  }

  /// Puts a request behind those of its organisation.
  pub fn push(&mut self, waiting: QueueEntry) {
    self.length += 1;
    let level = self.levels.entry(Reverse(waiting.priority)).or_default();
    level.push(waiting, false);
  }

  /// Puts a request back before those of its organisation.
  pub fn push_front(&mut self, waiting: QueueEntry) {
    self.length += 1;
    let level = self.levels.entry(Reverse(waiting.priority)).or_default();
    level.push(waiting, true);
  }

  /// The next request.
  pub fn peek(&mut self) -> Option<&QueueEntry> {
    self.levels.values_mut().find_map(Level::peek)
  }

  /// Takes the next request.
  pub fn pop(&mut self) -> Option<QueueEntry> {
    let waiting = self.levels.values_mut().find_map(Level::pop)?;
    self.drop_empty_level(waiting.priority);
    Some(waiting)
  }

  /// Takes a request out, wherever it stands.
  pub fn remove(&mut self, priority: i64, organisation: &Name, request: RequestId) {
    let removed = self
      .levels
      .get_mut(&Reverse(priority))
      .is_some_and(|level| level.remove(organisation, request));
    if removed {
      self.drop_empty_level(priority);
    }
  }

  /// The request to be shed first: may wait, lowest priority, then lowest weight, then youngest.
  pub fn shed_candidate(&self) -> Option<QueueEntry> {
    self
      .levels
      .values()
      .rev()
      .find_map(|level| {
        level
          .iter()
          .filter(|waiting| waiting.may_wait)
          .min_by(|a, b| {
            a.weight
              .total_cmp(&b.weight)
              .then(b.request.cmp(&a.request))
          })
      })
      .cloned()
  }

  /// Requests that stand before a newcomer of that priority.
  pub fn count_ahead(&self, priority: i64) -> usize {
    self
      .levels
      .range(..=Reverse(priority))
      .map(|(_, level)| level.queues.values().map(VecDeque::len).sum::<usize>())
      .sum()
  }

  /// All that wait.
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
