//! The part of a group's coordinator, and which box that is.

use {
  crate::{
    gateway::{
      decisions::{EndpointIncarnation, Place, PlaceRequest, PrefillGroup},
      state::{Gateway, PlaceReport},
    },
    ids::Name,
  },
  std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
  },
};

/// The coordinator of a group, seen from this box.
#[derive(Clone, Debug)]
pub(super) enum Coordinator {
  /// This box.
  Own,
  Other {
    name: Name,
    address: SocketAddr,
  },
}

impl Display for Coordinator {
  fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Own => write!(formatter, "this box"),
      Self::Other { name, .. } => write!(formatter, "{name}"),
    }
  }
}

/// The coordinator of a group; `None` when its hall has no box.
pub(super) fn coordinator_of(gateway: &Gateway, group: &PrefillGroup) -> Option<Coordinator> {
  let boxes = gateway.boxes.borrow();
  let (name, address) = gateway.prefill_queues.coordinator(group, &boxes)?;
  if name == gateway.settings.identity.name {
    return Some(Coordinator::Own);
  }
  Some(Coordinator::Other { name, address })
}

/// Grants a place at one of the listed engines of a group that accept work.
pub(super) fn grant(
  gateway: &Gateway,
  group: &PrefillGroup,
  request: PlaceRequest,
) -> Option<Place> {
  let queues = &gateway.prefill_queues;
  let candidates = candidates(gateway, group);
  let place = if candidates.is_empty() {
    None
  } else {
    expire_group(gateway, group);
    let mut coordinated = queues.coordinated.borrow_mut();
    let queue = coordinated.entry(group.clone()).or_default();
    queue.place(&candidates, request, gateway.now_ms())
  };
  match place {
    Some(_) => queues.counters.granted.inc(),
    None => queues.counters.not_granted.inc(),
  }
  place
}

/// The engines of a group that accept any amount of work. Losses of this box's own requests don't count: the queue learns of the
/// losses of all boxes from their reports.
fn candidates(gateway: &Gateway, group: &PrefillGroup) -> Vec<EndpointIncarnation> {
  let now_ms = gateway.now_ms();
  let endpoints = gateway.endpoints.borrow();
  let mut directory = gateway.prefill_queues.directory.borrow_mut();
  directory.update(&endpoints, now_ms);
  let engines = directory.engines(group).iter();
  let available =
    engines.filter(|engine| endpoints.unrestricted_entry(&engine.id, now_ms).is_some());
  available.map(|engine| engine.incarnation).collect()
}

/// Records reports on places of a group.
pub(super) fn finish(gateway: &Gateway, group: &PrefillGroup, reports: &[PlaceReport]) {
  let now_ms = gateway.now_ms();
  let mut coordinated = gateway.prefill_queues.coordinated.borrow_mut();
  // A report may overtake the first request for a place of its group.
  let is_known = coordinated.contains_key(group);
  if !is_known && candidates(gateway, group).is_empty() {
    return;
  }
  let queue = coordinated.entry(group.clone()).or_default();
  for PlaceReport { id, outcome } in reports {
    queue.finish(*id, *outcome, now_ms);
  }
}

/// Removes the places of a group whose reports are overdue.
fn expire_group(gateway: &Gateway, group: &PrefillGroup) {
  let mut coordinated = gateway.prefill_queues.coordinated.borrow_mut();
  let Some(queue) = coordinated.get_mut(group) else {
    return;
  };
  let expired = queue.expire(gateway.now_ms());
  if expired > 0 {
    gateway.prefill_queues.counters.expired.add(expired.into());
    log::info!(
      "E575 queue places expired: {expired} of {} without a report",
      group.key()
    );
  }
}

/// Removes the places whose reports are overdue, and the queues of groups that this box no longer coordinates.
pub(crate) fn expire_places(gateway: &Gateway) {
  let queues = &gateway.prefill_queues;
  let groups: Vec<PrefillGroup> = queues.coordinated.borrow().keys().cloned().collect();
  for group in groups {
    expire_group(gateway, &group);
    let is_own = matches!(coordinator_of(gateway, &group), Some(Coordinator::Own));
    let mut coordinated = queues.coordinated.borrow_mut();
    let is_empty = coordinated.get(&group).is_none_or(|queue| {
      let engines = queue.engines(gateway.now_ms());
      engines.iter().all(|engine| engine.places == 0)
    });
    if is_empty && !is_own {
      coordinated.remove(&group);
    }
  }
}
