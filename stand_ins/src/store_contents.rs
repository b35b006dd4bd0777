//! The contents of the simulated store.

use {
  serde_json::{Value, json},
  std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
  },
};

/// The value of a key.
#[derive(Clone)]
pub(crate) struct Item {
  pub(crate) value: String,
  pub(crate) revision: u64,
  /// Lease id; 0 without a lease.
  pub(crate) lease: u64,
}

/// A lease, with which its keys expire.
pub(crate) struct Lease {
  pub(crate) ttl: Duration,
  pub(crate) expires: Instant,
}

/// The items at an earlier revision.
#[derive(Clone)]
pub(crate) struct StaleItems {
  pub(crate) items: BTreeMap<String, Item>,
  pub(crate) revision: u64,
}

/// The items, leases and history, and the faults in effect.
#[derive(Default)]
pub(crate) struct Contents {
  pub(crate) items: BTreeMap<String, Item>,
  pub(crate) leases: HashMap<u64, Lease>,
  pub(crate) last_lease: u64,
  /// Watch events by revision.
  pub(crate) history: Vec<(u64, Value)>,
  pub(crate) compacted_revision: u64,
  pub(crate) revision: u64,
  /// Items returned by reads that may be stale.
  pub(crate) stale: Option<StaleItems>,
  pub(crate) is_down: bool,
  pub(crate) drops_responses: bool,
  pub(crate) delay: Duration,
  pub(crate) withholds_pages: bool,
  pub(crate) listings: usize,
  /// Number of pages requested by reads that may be stale.
  pub(crate) stale_pages: usize,
  /// Number of first pages requested.
  pub(crate) first_pages: usize,
  /// Number of pages after a first one that are still to be rejected.
  pub(crate) pages_to_reject: usize,
}

impl Contents {
  /// Writes a key and returns the new revision.
  pub(crate) fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
    self.revision += 1;
    let revision = self.revision;
    let item = Item {
      lease,
      revision,
      value,
    };
    self.history.push((revision, item_json(key, &item)));
    self.items.insert(key.into(), item);
    revision
  }

  /// Removes a key and returns the revision afterwards.
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

  /// Removes a lease with its keys and returns the revision afterwards.
  pub(crate) fn revoke_lease(&mut self, lease: u64) -> u64 {
    self.leases.remove(&lease);
    let attached: Vec<String> = self
      .items
      .iter()
      .filter(|(_, item)| item.lease == lease)
      .map(|(key, _)| key.clone())
      .collect();
    for key in attached {
      self.remove(&key);
    }
    self.revision
  }
}

/// An item in the format of the store's responses.
pub(crate) fn item_json(key: &str, item: &Item) -> Value {
  json!({
    "key": key, "value": item.value, "revision": item.revision, "created": item.revision,
    "lease": item.lease,
  })
}
