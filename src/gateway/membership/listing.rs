//! What a listing of the store had, over all its pages.

use {
  crate::{
    gateway::edge::{ReadConsistency, StoreItem, StoreKey},
    ids::Name,
  },
  std::collections::HashSet,
};

/// Whether a box lists the store for the first time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListingKind {
  /// Nothing is known yet, so an old page can take nothing back.
  First,
  /// What is missing from the listing is gone.
  Again,
}

/// The pages of a listing so far.
#[derive(Debug)]
pub(super) struct Listing {
  kind: ListingKind,
  /// The oldest revision of its pages: later changes may be missing from them.
  revision: Option<u64>,
  pub(super) endpoints: HashSet<Name>,
  pub(super) boxes: HashSet<Name>,
  pub(super) drained_halls: HashSet<Name>,
  pub(super) quarantine: HashSet<Name>,
  pub(super) has_steward: bool,
  /// The items that have changed since this box last heard the store.
  pub(super) newer: Vec<StoreItem>,
}

impl Listing {
  pub(super) fn new(kind: ListingKind) -> Self {
    Self {
      boxes: HashSet::new(),
      drained_halls: HashSet::new(),
      endpoints: HashSet::new(),
      has_steward: false,
      kind,
      newer: Vec::new(),
      quarantine: HashSet::new(),
      revision: None,
    }
  }

  /// How old the next page may be. A first listing begins with the present, which has the configuration; the
  /// rest may lag, since the watch begins at the oldest page and tells what it lacks.
  pub(super) fn next_page_age(&self) -> ReadConsistency {
    match self.kind {
      ListingKind::First if self.revision.is_some() => ReadConsistency::MayBeStale,
      ListingKind::First | ListingKind::Again => ReadConsistency::Current,
    }
  }

  /// A page of a revision was read.
  pub(super) fn note_page(&mut self, revision: u64) {
    let oldest = self.revision.unwrap_or(revision);
    self.revision = Some(oldest.min(revision));
  }

  /// Whether it is the box's first.
  pub(super) fn kind(&self) -> ListingKind {
    self.kind
  }

  /// An item was on a page; what this box has heard of is known to a revision.
  pub(super) fn note(&mut self, item: &StoreItem, known_to: u64) {
    if self.kind == ListingKind::Again && item.revision > known_to {
      self.newer.push(item.clone());
    }
    match &item.key {
      StoreKey::Endpoint(id) => drop(self.endpoints.insert(id.clone())),
      StoreKey::Box(name) => drop(self.boxes.insert(name.clone())),
      StoreKey::Quarantine(text) => drop(self.quarantine.insert(text.clone())),
      StoreKey::HallDrain(hall) => drop(self.drained_halls.insert(hall.clone())),
      StoreKey::RoleLeader => self.has_steward = true,
      StoreKey::Configuration | StoreKey::Other => {}
    }
  }

  /// Where the watch begins; nothing before the first page.
  pub(super) fn revision(&self) -> Option<u64> {
    self.revision
  }
}
