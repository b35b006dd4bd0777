//! What the platform's store knows.

use {
  serde_json::{Value, json},
  std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
  },
};

/// What a key holds.
#[derive(Clone)]
pub(crate) struct Item {
  pub(crate) value: String,
  pub(crate) revision: u64,
  /// 0: none.
  pub(crate) lease: u64,
}

/// How long the keys of a box stand.
pub(crate) struct Lease {
  pub(crate) ttl: Duration,
  pub(crate) ends: Instant,
}

/// The items as they were at a revision.
#[derive(Clone)]
pub(crate) struct OldItems {
  pub(crate) items: BTreeMap<String, Item>,
  pub(crate) revision: u64,
}

/// All that the store knows, and how it misbehaves.
#[derive(Default)]
pub(crate) struct Contents {
  pub(crate) items: BTreeMap<String, Item>,
  pub(crate) leases: HashMap<u64, Lease>,
  pub(crate) last_lease: u64,
  /// Changes as a watch tells them.
  pub(crate) history: Vec<(u64, Value)>,
  pub(crate) history_from: u64,
  pub(crate) revision: u64,
  /// What pages show that need not be as of now.
  pub(crate) old: Option<OldItems>,
  pub(crate) is_down: bool,
  pub(crate) loses_answers: bool,
  pub(crate) delay: Duration,
  pub(crate) holds_pages: bool,
  pub(crate) listings: usize,
  /// Pages that need not be as of now.
  pub(crate) old_pages: usize,
  /// Listings that began with the first page.
  pub(crate) first_pages: usize,
  /// Pages after the first that are still to be refused.
  pub(crate) pages_to_refuse: usize,
}

impl Contents {
  /// Writes a key; the new revision.
  pub(crate) fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
    self.revision += 1;
    let revision = self.revision;
    let item = Item {
      lease,
      revision,
      value,
    };
    self.history.push((revision, shown(key, &item)));
    self.items.insert(key.into(), item);
    revision
  }

  /// Removes a key; the revision after that.
  pub(crate) fn remove(&mut self, key: &str) -> u64 {
    if self.items.remove(key).is_none() {
      return self.revision;
    }
    self.revision += 1;
    let revision = self.revision;
    let event = json!({"key": key, "revision": revision, "removed": true});
    self.history.push((revision, event));
    revision
  }

  /// Ends a lease, and its keys with it; the revision after that.
  pub(crate) fn end_lease(&mut self, lease: u64) -> u64 {
    self.leases.remove(&lease);
    let held: Vec<String> = self
      .items
      .iter()
      .filter(|(_, item)| item.lease == lease)
      .map(|(key, _)| key.clone())
      .collect();
    for key in held {
      self.remove(&key);
    }
    self.revision
  }
}

/// An item as the store's answers show it.
pub(crate) fn shown(key: &str, item: &Item) -> Value {
  json!({
    "key": key, "value": item.value, "revision": item.revision, "created": item.revision,
    "lease": item.lease,
  })
}
