//! The contents of the simulated store.

use {
  super::{
    call_rate::CallRate,
    overlap::Overlap,
    store_condition::StoreCondition,
    store_limits::{CallCost, StoreLimits},
    write_loss::{LossDraws, WriteFate},
  },
  serde_json::{Value, json},
  std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Items per page unless set; small, so that every listing has several pages.
const PAGE_ITEMS: usize = 2;
/// Time for which the store remembers earlier items.
const UNDO_TIME: Duration = Duration::from_secs(30);
/// Cost of a lease's renewal, in reads.
const RENEWAL_COST: f64 = 0.1;

/// The value of a key.
#[derive(Clone)]
pub(crate) struct Item {
  pub(crate) value: String,
  pub(crate) revision: u64,
  /// The revision at which the key was created.
  pub(crate) created: u64,
  /// Lease id; 0 without a lease.
  pub(crate) lease: u64,
}

/// A lease, with which its keys expire.
pub(crate) struct Lease {
  pub(crate) ttl: Duration,
  pub(crate) expires: Instant,
  /// The view that granted it.
  pub(crate) view: SocketAddr,
}

/// An event of the history.
pub(crate) struct Event {
  pub(crate) revision: u64,
  pub(crate) at: Instant,
  pub(crate) key: String,
  pub(crate) json: Value,
}

/// What a key was before a change.
struct Undo {
  at: Instant,
  key: String,
  before: Option<Item>,
  revision_before: u64,
}

/// The limits in force, and what is left of them.
struct Rates {
  limits: StoreLimits,
  reads: CallRate,
  writes: CallRate,
}

/// The faults in effect that may overlap.
#[derive(Default)]
pub(crate) struct Faults {
  /// Conditions of all views.
  pub(crate) everywhere: Overlap<StoreCondition>,
  /// Conditions of a view.
  pub(crate) at_views: HashMap<SocketAddr, Overlap<StoreCondition>>,
  pub(crate) delays: Overlap<Duration>,
  pub(crate) losses: Overlap<LossDraws>,
  /// Ages of the reads that may be stale.
  pub(crate) stale_ages: Overlap<Duration>,
  /// Watches hear nothing.
  pub(crate) deaf_watches: Overlap<()>,
  /// Leases wait, since a moment.
  pub(crate) waiting_leases: Overlap<Instant>,
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
  /// The view that last wrote a key with a lease under a condition.
  pub(crate) last_leader: Option<SocketAddr>,
  /// Watch events by revision.
  pub(crate) history: VecDeque<Event>,
  /// The latest changes, oldest first.
  undo: VecDeque<Undo>,
  rates: Option<Rates>,
  pub(crate) faults: Faults,
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
    self.remember(key);
    self.revision += 1;
    let revision = self.revision;
    let item = Item {
      created: self.items.get(key).map_or(revision, |item| item.created),
      lease,
      revision,
      value,
    };
    self.record(key, item_json(key, &item));
    self.items.insert(key.into(), item);
    revision
  }

  /// Removes a key and returns the revision afterwards.
  pub(crate) fn remove(&mut self, key: &str) -> u64 {
    if !self.items.contains_key(key) {
      return self.revision;
    }
    self.remember(key);
    self.items.remove(key);
    self.revision += 1;
    let revision = self.revision;
    self.record(
      key,
      json!({"key": key, "revision": revision, "removed": true}),
    );
    revision
  }

  /// Remembers what a key is before a change.
  fn remember(&mut self, key: &str) {
    self.undo.push_back(Undo {
      at: Instant::now(),
      before: self.items.get(key).cloned(),
      key: key.into(),
      revision_before: self.revision,
    });
  }

  fn record(&mut self, key: &str, json: Value) {
    self.history.push_back(Event {
      at: Instant::now(),
      json,
      key: key.into(),
      revision: self.revision,
    });
  }

  /// The items as they were at a moment, which may not be longer ago than the store remembers.
  pub(crate) fn items_at(&self, moment: Instant) -> StaleItems {
    let mut earlier = StaleItems {
      items: self.items.clone(),
      revision: self.revision,
    };
    for undo in self.undo.iter().rev().take_while(|undo| undo.at > moment) {
      earlier.revision = undo.revision_before;
      match &undo.before {
        Some(item) => earlier.items.insert(undo.key.clone(), item.clone()),
        None => earlier.items.remove(&undo.key),
      };
    }
    earlier
  }

  /// Drops the history, so that no watch can go on from before.
  pub(crate) fn compact(&mut self) {
    self.revision += 1;
    self.compacted_revision = self.revision;
    self.history.clear();
  }

  /// Forgets what is older than the limits allow.
  pub(crate) fn forget(&mut self, now: Instant) {
    let is_old = |at: Instant, age: Duration| now.saturating_duration_since(at) > age;
    while self
      .undo
      .front()
      .is_some_and(|undo| is_old(undo.at, UNDO_TIME))
    {
      self.undo.pop_front();
    }
    let Some(age) = self.rates.as_ref().map(|rates| rates.limits.history) else {
      return;
    };
    while self
      .history
      .front()
      .is_some_and(|event| is_old(event.at, age))
    {
      let dropped = self.history.pop_front();
      self.compacted_revision = dropped.map_or(self.compacted_revision, |event| event.revision);
    }
  }

  pub(crate) fn set_limits(&mut self, limits: StoreLimits) {
    let now = Instant::now();
    self.rates = Some(Rates {
      limits,
      reads: CallRate::new(limits.reads_per_s, now),
      writes: CallRate::new(limits.writes_per_s, now),
    });
  }

  /// Items per page of a listing.
  pub(crate) fn page_items(&self) -> usize {
    let rates = self.rates.as_ref();
    rates.map_or(PAGE_ITEMS, |rates| rates.limits.page_items)
  }

  /// Takes the cost of a call. Returns `false` when the limits don't allow it.
  pub(crate) fn take(&mut self, cost: CallCost) -> bool {
    let Some(rates) = &mut self.rates else {
      return true;
    };
    let now = Instant::now();
    match cost {
      CallCost::Read => rates.reads.take(1.0, now),
      CallCost::Renewal => rates.reads.take(RENEWAL_COST, now),
      CallCost::StaleRead => true,
      CallCost::Write => rates.writes.take(1.0, now),
    }
  }

  /// How the callers of a view are treated.
  pub(crate) fn condition(&self, view: SocketAddr) -> StoreCondition {
    let at_view = self.faults.at_views.get(&view);
    let everywhere = self.faults.everywhere.current();
    let condition = everywhere.or_else(|| at_view.and_then(Overlap::current));
    condition.copied().unwrap_or_default()
  }

  /// Latency of a call.
  pub(crate) fn latency(&self) -> Duration {
    self.faults.delays.current().copied().unwrap_or(self.delay)
  }

  /// What happens to the next write.
  pub(crate) fn next_fate(&mut self) -> WriteFate {
    match self.faults.losses.current_mut() {
      Some(losses) => losses.next_fate(),
      None => WriteFate::Answered,
    }
  }

  /// Whether a watch from a revision has to end: there is an event below the prefix, or its history is gone.
  pub(crate) fn has_news(&self, prefix: &str, after: u64) -> bool {
    after < self.compacted_revision || self.events(prefix, after).next().is_some()
  }

  /// The events below a prefix after a revision.
  pub(crate) fn events(&self, prefix: &str, after: u64) -> impl Iterator<Item = &Event> {
    let first = self
      .history
      .partition_point(|event| event.revision <= after);
    let later = self.history.range(first..);
    later.filter(move |event| event.key.starts_with(prefix))
  }

  /// The leases that have expired; none while leases wait.
  pub(crate) fn expired_leases(&self, now: Instant) -> Vec<u64> {
    if self.faults.waiting_leases.current().is_some() {
      return Vec::new();
    }
    let expired = self.leases.iter().filter(|(_, lease)| lease.expires < now);
    expired.map(|(id, _)| *id).collect()
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
    "key": key, "value": item.value, "revision": item.revision, "created": item.created,
    "lease": item.lease,
  })
}
