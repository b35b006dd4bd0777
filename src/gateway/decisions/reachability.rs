//! Which groups of endpoints this box can't reach, while others may. Free of I/O.
//!
//! Load pattern: connections to all endpoints hang, are reset or are refused, for this box or for all boxes. One failing
//! endpoint is no evidence about the others; after several in a row without contact in between, a request would try one
//! after the other and fail. While limits or backoffs keep a box from sending anything, nothing fails: silence alone has to make
//! it try.

use {
  crate::{decide::Role, gateway::edge::EndpointEntry, ids::Name},
  std::collections::{BTreeSet, HashMap},
};

/// Endpoints that failed to connect in a row, from which on their group counts as unreachable.
const MIN_UNREACHED: usize = 3;
/// Shortest time without contact. Where one endpoint of many can be reached, requests there alternate with failures at the others.
const MIN_SILENCE_MS: u64 = 300;
/// Time without contact after which a group that got no requests is suspected, if there were some for it.
const MAX_IDLE_MS: u64 = 1_000;

/// Endpoints that can stand in for each other: those of a service, by role.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EndpointGroup {
  pub service: Name,
  pub role: Option<Role>,
}

impl EndpointGroup {
  pub fn of(entry: &EndpointEntry) -> Self {
    Self {
      role: entry.role,
      service: entry.service.clone(),
    }
  }
}

/// Failures to reach the endpoints of a group since the last contact with one of them.
#[derive(Clone, Debug, Default)]
struct GroupState {
  unreached: BTreeSet<Name>,
  last_contact_ms: Option<u64>,
  unreachable_since_ms: Option<u64>,
  /// Whether a request found no endpoint that it could be sent to, since the last contact.
  had_unsent: bool,
  /// Whether another group became unreachable since the last contact.
  is_doubted: bool,
}

impl GroupState {
  /// Whether there was no contact for a while.
  fn is_silent(&self, now_ms: u64) -> bool {
    self.is_silent_for(MIN_SILENCE_MS, now_ms)
  }

  fn is_silent_for(&self, silence_ms: u64, now_ms: u64) -> bool {
    self
      .last_contact_ms
      .is_none_or(|contact_ms| now_ms >= contact_ms + silence_ms)
  }

  /// Whether the group may be unreachable.
  fn is_suspected(&self, now_ms: u64) -> bool {
    if self.unreachable_since_ms.is_some() {
      return false;
    }
    let has_cause = !self.unreached.is_empty() || self.is_doubted;
    (has_cause && self.is_silent(now_ms))
      || (self.had_unsent && self.is_silent_for(MAX_IDLE_MS, now_ms))
  }
}

/// A group that has become unreachable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupLost {
  /// Endpoints that were tried in vain.
  pub unreached: usize,
  /// Time since the last contact with an endpoint of the group; `None` when there was none.
  pub contact_age_ms: Option<u64>,
}

/// The groups of endpoints that this box can't reach.
///
/// ```
/// use rillford::gateway::{EndpointGroup, Reachability};
/// let group = EndpointGroup { service: "portal".into(), role: None };
/// let mut reachability = Reachability::default();
/// assert_eq!(reachability.record_failure(&group, "a".into(), 2, 0), None);
/// // Both endpoints of the group have failed.
/// assert!(reachability.record_failure(&group, "b".into(), 2, 100).is_some());
/// assert!(reachability.is_unreachable(&group));
/// assert_eq!(reachability.record_contact(&group, 900), Some(800));
/// assert!(!reachability.is_unreachable(&group));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reachability {
  groups: HashMap<EndpointGroup, GroupState>,
}

impl Reachability {
  /// Records that an endpoint of a group with `known` endpoints could not be reached; returns the change if the group has
  /// become unreachable.
  pub fn record_failure(
    &mut self,
    group: &EndpointGroup,
    endpoint: Name,
    known: usize,
    now_ms: u64,
  ) -> Option<GroupLost> {
    let state = self.groups.entry(group.clone()).or_default();
    state.unreached.insert(endpoint);
    let contact_age = |contact_ms| now_ms.saturating_sub(contact_ms);
    let contact_age_ms = state.last_contact_ms.map(contact_age);
    let is_lost =
      state.is_silent(now_ms) && state.unreached.len() >= MIN_UNREACHED.min(known.max(1));
    if !is_lost || state.unreachable_since_ms.is_some() {
      return None;
    }
    state.unreachable_since_ms = Some(now_ms);
    let lost = GroupLost {
      contact_age_ms,
      unreached: state.unreached.len(),
    };
    for state in self.groups.values_mut() {
      state.is_doubted = true;
    }
    Some(lost)
  }

  /// Records that a request found no endpoint of a group that it could be sent to.
  pub fn record_unsent(&mut self, group: EndpointGroup) {
    self.groups.entry(group).or_default().had_unsent = true;
  }

  /// Records contact with an endpoint of a group; returns for how long the group was unreachable if it was.
  pub fn record_contact(&mut self, group: &EndpointGroup, now_ms: u64) -> Option<u64> {
    let state = match self.groups.get_mut(group) {
      Some(state) => state,
      None => self.groups.entry(group.clone()).or_default(),
    };
    state.unreached.clear();
    state.had_unsent = false;
    state.is_doubted = false;
    state.last_contact_ms = Some(now_ms);
    let since_ms = state.unreachable_since_ms.take()?;
    Some(now_ms.saturating_sub(since_ms))
  }

  /// Removes a group that has no endpoints any more.
  pub fn remove(&mut self, group: &EndpointGroup) {
    self.groups.remove(group);
  }

  /// Time since the last contact with an endpoint of a group; `None` when there was none.
  pub fn contact_age_ms(&self, group: &EndpointGroup, now_ms: u64) -> Option<u64> {
    let contact_ms = self.groups.get(group)?.last_contact_ms?;
    Some(now_ms.saturating_sub(contact_ms))
  }

  pub fn is_unreachable(&self, group: &EndpointGroup) -> bool {
    let state = self.groups.get(group);
    state.is_some_and(|state| state.unreachable_since_ms.is_some())
  }

  /// The groups that may be unreachable, with the number of endpoints that failed since the last contact.
  pub fn suspected(&self, now_ms: u64) -> impl Iterator<Item = (&EndpointGroup, usize)> {
    let groups = self.groups.iter();
    groups
      .filter(move |(_, state)| state.is_suspected(now_ms))
      .map(|(group, state)| (group, state.unreached.len()))
  }

  /// The groups that are unreachable now.
  pub fn unreachable(&self) -> impl Iterator<Item = &EndpointGroup> {
    let unreachable = |state: &GroupState| state.unreachable_since_ms.is_some();
    let groups = self.groups.iter();
    groups
      .filter(move |(_, state)| unreachable(state))
      .map(|(group, _)| group)
  }
}
