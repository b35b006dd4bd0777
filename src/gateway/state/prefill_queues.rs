//! The state of the queue reservations at prefill engines: what this box coordinates, and what it asks of other coordinators.

use {
  super::{counters::Counter, unresponsive_boxes::UnresponsiveBoxes},
  crate::{
    gateway::decisions::{
      BoxList, PlaceId, PlaceOutcome, PrefillDirectory, PrefillGroup, PrefillQueue,
    },
    ids::Name,
  },
  serde::{Deserialize, Serialize},
  std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
  },
};

/// Groups whose coordinators are cached: more than a deployment has, since other boxes may ask for groups that don't exist.
const MAX_CACHED_COORDINATORS: usize = 4_096;

/// A box's report on one place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PlaceReport {
  pub(crate) id: PlaceId,
  pub(crate) outcome: PlaceOutcome,
}

/// Counters of the queue reservations.
#[derive(Debug, Default)]
pub(crate) struct PrefillCounters {
  /// Requests that got a place.
  pub(crate) reserved: Counter,
  /// Places that this box reported as unused.
  pub(crate) unused: Counter,
  /// Places granted as a coordinator.
  pub(crate) granted: Counter,
  /// Requests for places that could not be granted as a coordinator.
  pub(crate) not_granted: Counter,
  /// Places that expired without a report at this coordinator.
  pub(crate) expired: Counter,
  /// Prompts that asked other halls.
  pub(crate) asked_other_halls: Counter,
  /// Prompts that were sent without a place, by reason.
  pub(crate) without: RefCell<HashMap<&'static str, u64>>,
}

/// The state of the queue reservations.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueues {
  /// The queues of the groups that this box coordinates, or did until recently.
  pub(crate) coordinated: RefCell<HashMap<PrefillGroup, PrefillQueue>>,
  pub(crate) directory: RefCell<PrefillDirectory>,
  /// Coordinators that failed to answer a request for a place.
  pub(crate) unresponsive: RefCell<UnresponsiveBoxes>,
  /// Reports that are to be sent to other coordinators.
  pub(crate) reports: RefCell<HashMap<(SocketAddr, PrefillGroup), Vec<PlaceReport>>>,
  pub(crate) counters: PrefillCounters,
  coordinators: RefCell<CachedCoordinators>,
  sequence: Cell<u64>,
}

/// The coordinators of groups by one revision of the list of boxes.
#[derive(Debug, Default)]
struct CachedCoordinators {
  revision: u64,
  by_group: HashMap<PrefillGroup, Option<(Name, SocketAddr)>>,
}

impl PrefillQueues {
  /// A number that no earlier place of this process has.
  pub(crate) fn next_sequence(&self) -> u64 {
    let sequence = self.sequence.get() + 1;
    self.sequence.set(sequence);
    sequence
  }

  /// The coordinator of a group by a list of boxes; `None` when the group's hall has no box.
  pub(crate) fn coordinator(
    &self,
    group: &PrefillGroup,
    boxes: &BoxList,
  ) -> Option<(Name, SocketAddr)> {
    let mut cached = self.coordinators.borrow_mut();
    let is_full = cached.by_group.len() >= MAX_CACHED_COORDINATORS;
    if cached.revision != boxes.revision() || is_full {
      cached.by_group.clear();
      cached.revision = boxes.revision();
    }
    if let Some(coordinator) = cached.by_group.get(group) {
      return coordinator.clone();
    }
    let coordinator = group.coordinator(boxes);
    cached.by_group.insert(group.clone(), coordinator.clone());
    coordinator
  }
}
