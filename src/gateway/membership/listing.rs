//! The accumulated result of a paged listing of the store.

use {
  crate::{
    gateway::edge::{ReadConsistency, StoreItem, StoreKey},
    ids::Name,
  },
  std::collections::HashSet,
};

/// Whether a box lists the store for the first time since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListingKind {
  /// Nothing is known yet, so a stale page can't revert anything.
  Initial,
  /// Known keys that are missing from the listing were removed.
  Relist,
}

/// The pages of a listing so far.
#[derive(Debug)]
pub(super) struct Listing {
  kind: ListingKind,
  /// The oldest revision of the pages: later changes may be missing from the listing.
  revision: Option<u64>,
  pub(super) endpoints: HashSet<Name>,
  pub(super) boxes: HashSet<Name>,
  pub(super) drained_halls: HashSet<Name>,
  pub(super) quarantine: HashSet<Name>,
  pub(super) versions: HashSet<Name>,
  pub(super) has_leader: bool,
  /// The items that have changed since this box's last known revision.
  pub(super) changed: Vec<StoreItem>,
}

impl Listing {
  pub(super) fn new(kind: ListingKind) -> Self {
    Self {
      boxes: HashSet::new(),
      changed: Vec::new(),
      drained_halls: HashSet::new(),
      endpoints: HashSet::new(),
      has_leader: false,
      kind,
      quarantine: HashSet::new(),
      revision: None,
      versions: HashSet::new(),
    }
  }

  /// How stale the next page may be. An initial listing reads its first page, which has the configuration, at the current revision;
  /// the others may lag, since the watch starts at the oldest page and delivers what they lack.
  pub(super) fn next_page_age(&self) -> ReadConsistency {
    match self.kind {
      ListingKind::Initial if self.revision.is_some() => ReadConsistency::MayBeStale,
      ListingKind::Initial | ListingKind::Relist => ReadConsistency::Current,
    }
  }

  pub(super) fn record_page(&mut self, revision: u64) {
    let oldest = self.revision.unwrap_or(revision);
    self.revision = Some(oldest.min(revision));
  }

  pub(super) fn kind(&self) -> ListingKind {
    self.kind
  }

  /// Records an item of a page; `known_revision` is the last one that this box knew before the listing.
  pub(super) fn record_item(&mut self, item: &StoreItem, known_revision: u64) {
    if item.key == StoreKey::Origins {
      return;
    }
    if self.kind == ListingKind::Relist && item.revision > known_revision {
      self.changed.push(item.clone());
    }
    match &item.key {
      StoreKey::Endpoint(id) => drop(self.endpoints.insert(id.clone())),
      StoreKey::Box(name) => drop(self.boxes.insert(name.clone())),
      StoreKey::Quarantine(text) => drop(self.quarantine.insert(text.clone())),
      StoreKey::HallDrain(hall) => drop(self.drained_halls.insert(hall.clone())),
      StoreKey::Version(key) => drop(self.versions.insert(key.clone())),
      StoreKey::RoleLeader => self.has_leader = true,
      StoreKey::Configuration | StoreKey::Origins | StoreKey::Other => {}
    }
  }

  /// The revision to watch from; `None` before the first page.
  pub(super) fn revision(&self) -> Option<u64> {
    self.revision
  }
}
