//! Applies the store's contents to the state of this box.

use {
  super::listing::Listing,
  crate::{
    gateway::{
      decisions::{
        HallDrainChange, QuarantineKey, QuarantineStrategy, SuspectRecord, SuspectRecordKey,
        VIEW_DELAY_MS, VersionRecord,
      },
      edge::{EndpointEntry, RouteTable, StoreError, StoreItem, StoreKey},
      quarantine::mark_age_ms,
      state::Gateway,
    },
    ids::Name,
    observe::unix_ms,
  },
  std::{cell::RefCell, collections::HashMap, rc::Rc},
};

/// Entries whose leases expired during an outage of the store are back within this time of its return.
const LAPSE_GRACE_MS: u64 = 1_900;
/// Time without contact after which the store counts as having been down.
const OUTAGE_MS: u64 = 3_800;

/// Applies store items to the gateway's state, and tracks whether the store is reachable.
pub(super) struct StoreView {
  gateway: Rc<Gateway>,
  /// Whether the last call to the store failed.
  is_failing: bool,
  /// Until then a removed entry may have lapsed during an outage of the store.
  lapse_until_ms: u64,
  /// When the changes that are applied now were made.
  period: ChangePeriod,
  /// The revisions of the endpoints' entries.
  entry_revisions: RefCell<HashMap<Name, u64>>,
}

/// When changes of the store were made, on the box's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ChangePeriod {
  /// Not before.
  pub(super) after_ms: u64,
  /// Those until then are complete.
  pub(super) until_ms: u64,
}

impl StoreView {
  pub(super) fn new(gateway: Rc<Gateway>) -> Self {
    Self {
      gateway,
      entry_revisions: RefCell::default(),
      is_failing: false,
      lapse_until_ms: 0,
      period: ChangePeriod::default(),
    }
  }

  /// Records contact with the store; `age_ms` ago when it was a store reader's contact.
  pub(super) fn record_contact(&mut self, age_ms: u64) {
    let contact_ms = self.gateway.now_ms().saturating_sub(age_ms);
    let before = self.gateway.store_contact_ms.replace(Some(contact_ms));
    let was_down = before.is_some_and(|before_ms| contact_ms > before_ms + OUTAGE_MS);
    if self.is_failing || was_down {
      self.lapse_until_ms = contact_ms + LAPSE_GRACE_MS;
      log::info!("E401 store reachable again: last contact at {before:?} ms, now {contact_ms} ms");
    }
    if self.is_failing || was_down || before.is_none() {
      self
        .gateway
        .endpoints
        .borrow_mut()
        .set_store_connected_since(Some(contact_ms));
    }
    self.is_failing = false;
  }

  /// Changes follow that are complete until a time, and were made after the ones before.
  pub(super) fn expect_changes(&mut self, until_ms: u64) {
    let after_ms = self.gateway.endpoints.borrow().viewed_ms();
    self.period = ChangePeriod { after_ms, until_ms };
  }

  /// Changes follow that were made at this moment.
  pub(super) fn expect_new_changes(&mut self, until_ms: u64) {
    let after_ms = self.gateway.now_ms().saturating_sub(VIEW_DELAY_MS);
    self.period = ChangePeriod { after_ms, until_ms };
  }

  /// The expected changes were applied.
  pub(super) fn record_applied(&self) {
    let mut endpoints = self.gateway.endpoints.borrow_mut();
    let viewed_ms = endpoints.viewed_ms().max(self.period.until_ms);
    endpoints.set_viewed(viewed_ms);
  }

  pub(super) fn record_failure(&mut self, step: &str, error: &StoreError) {
    self.gateway.counters.store_failures.inc();
    if !self.is_failing {
      log::warn!("E402 store unreachable: {step}: {error}");
    }
    self
      .gateway
      .endpoints
      .borrow_mut()
      .set_store_connected_since(None);
    self.is_failing = true;
  }

  /// The keys that this box knows and a listing lacks, as removals at the listing's revision.
  pub(super) fn missing_from(&self, listing: &Listing, revision: u64) -> Vec<StoreItem> {
    let registry = self.gateway.endpoints.borrow();
    let boxes = self.gateway.boxes.borrow();
    let endpoints = registry
      .ids()
      .into_iter()
      .filter(|id| !listing.endpoints.contains(id));
    let boxes = boxes
      .names()
      .into_iter()
      .filter(|name| !listing.boxes.contains(name));
    let halls = registry.drained_halls().names().cloned();
    let halls = halls.filter(|hall| !listing.drained_halls.contains(hall));
    let quarantine = self.quarantine_missing_from(listing);
    let versions = registry
      .version_records()
      .keys()
      .filter(|key| !listing.versions.contains(*key))
      .cloned();
    let leader = (!listing.has_leader).then_some(StoreKey::RoleLeader);
    endpoints
      .map(StoreKey::Endpoint)
      .chain(boxes.map(StoreKey::Box))
      .chain(halls.map(StoreKey::HallDrain))
      .chain(quarantine.into_iter().map(StoreKey::Quarantine))
      .chain(versions.map(StoreKey::Version))
      .chain(leader)
      .map(|key| StoreItem {
        key,
        revision,
        value: None,
      })
      .collect()
  }

  pub(super) fn apply(&self, item: StoreItem) {
    match (item.key, item.value) {
      (StoreKey::Configuration, Some(value)) => self.apply_configuration(&value, item.revision),
      (StoreKey::Endpoint(id), Some(value)) => self.put_endpoint(&id, &value, item.revision),
      (StoreKey::Endpoint(id), None) => self.remove_endpoint(&id),
      (StoreKey::Box(name), Some(value)) => self.put_box(name, &value, item.revision),
      (StoreKey::Box(name), None) => self.remove_box(&name),
      (StoreKey::Configuration, None) => {
        log::warn!("E406 configuration removed: keeping the last one")
      }
      (StoreKey::RoleLeader, value) => self.gateway.has_leader.set(value.is_some()),
      (StoreKey::HallDrain(hall), value) => {
        self.apply_hall_drain(&hall, value.is_some(), item.revision)
      }
      (StoreKey::Quarantine(text), value) => {
        self.apply_quarantine(&text, value.as_deref(), item.revision)
      }
      (StoreKey::Version(key), Some(value)) => self.put_version(key, &value, item.revision),
      (StoreKey::Version(key), None) => {
        let mut endpoints = self.gateway.endpoints.borrow_mut();
        endpoints.version_records_mut().remove(&key, item.revision);
      }
      (StoreKey::Origins | StoreKey::Other, _) => {}
    }
  }

  /// The quarantine marks that this box knows and a listing lacks, without those that are still to be written.
  fn quarantine_missing_from(&self, listing: &Listing) -> Vec<Name> {
    if self.gateway.settings.quarantine.strategy != QuarantineStrategy::Shared {
      return Vec::new();
    }
    let quarantine = &self.gateway.quarantine;
    let unwritten = quarantine.unwritten.borrow();
    let keys = quarantine.registry.borrow().keys();
    let marks = keys
      .iter()
      .filter(|key| !unwritten.contains_key(key) && !quarantine.is_in_record(**key))
      .map(QuarantineKey::text);
    let suspects = quarantine.suspects.borrow();
    let records = suspects.keys().map(SuspectRecordKey::text);
    marks
      .chain(records)
      .filter(|text| !listing.quarantine.contains(text))
      .collect()
  }

  /// Applies a written or removed entry of the quarantine; one that can't be parsed is skipped.
  fn apply_quarantine(&self, text: &str, value: Option<&[u8]>, revision: u64) {
    match SuspectRecordKey::parse(text) {
      Some(key) => self.apply_suspects(key, value, revision),
      None => self.apply_quarantine_mark(text, value),
    }
    let quarantine = &self.gateway.quarantine;
    quarantine.log_lack_of_room(self.gateway.now_ms());
  }

  fn apply_suspects(&self, key: SuspectRecordKey, value: Option<&[u8]>, revision: u64) {
    let quarantine = &self.gateway.quarantine;
    match value.map(postcard::from_bytes::<SuspectRecord>) {
      Some(Ok(record)) => {
        let age_ms = unix_ms().saturating_sub(record.written_ms);
        let since_ms = self.gateway.now_ms().saturating_sub(age_ms);
        quarantine.apply_suspects(key, record, revision, since_ms);
      }
      Some(Err(error)) => log::warn!(
        "E405 record {} of suspected segments not decoded: {error}",
        key.text()
      ),
      None => quarantine.remove_suspects(&key),
    }
  }

  fn apply_quarantine_mark(&self, text: &str, value: Option<&[u8]>) {
    let Some(key) = QuarantineKey::parse(text) else {
      log::warn!("E405 quarantine mark {text} not parsed");
      return;
    };
    let quarantine = &self.gateway.quarantine;
    let mut registry = quarantine.registry.borrow_mut();
    match value.map(mark_age_ms) {
      Some(Some(age_ms)) => {
        registry.record(key, self.gateway.now_ms().saturating_sub(age_ms));
      }
      Some(None) => log::warn!("E405 value of quarantine mark {text} not parsed"),
      None if quarantine.is_in_record(key) => {}
      None => registry.remove(key),
    }
  }

  fn apply_hall_drain(&self, hall: &Name, is_drained: bool, revision: u64) {
    let change = self
      .gateway
      .endpoints
      .borrow_mut()
      .drained_halls_mut()
      .record(hall, is_drained, revision);
    match change {
      HallDrainChange::Unchanged => {}
      HallDrainChange::Started => {
        log::info!("E412 hall drained: no new requests to {hall}, revision {revision}");
      }
      HallDrainChange::Ended => {
        log::info!("E413 hall drain ended: {hall}, revision {revision}");
        self.gateway.record_hall_cold(hall);
      }
    }
  }

  fn put_endpoint(&self, id: &str, value: &[u8], revision: u64) {
    match self.gateway.codec.endpoint_entry(id, value) {
      Ok(entry) => {
        let mut endpoints = self.gateway.endpoints.borrow_mut();
        let former = endpoints.entry(id);
        let has_restarted = former.is_some_and(|former| former.started_ms != entry.started_ms);
        let has_moved = former.is_some_and(|former| former.address != entry.address);
        if let Some(former) = former.filter(|_| has_restarted) {
          log_restart(former, &entry);
        }
        if entry.leaving || has_restarted || has_moved {
          self.gateway.pool.close(id);
        }
        endpoints.put(entry.clone());
        if self.is_newer(&entry.id, revision) {
          endpoints.record_entry_write(id, self.period.after_ms);
        }
        drop(endpoints);
        self.gateway.record_cold(&entry, entry.cold_ms);
      }
      Err(error) => {
        log::warn!("E405 entry of endpoint {id} at revision {revision} not decoded: {error}")
      }
    }
  }

  /// Whether an entry was written since it was last applied, or is new.
  fn is_newer(&self, id: &Name, revision: u64) -> bool {
    let mut revisions = self.entry_revisions.borrow_mut();
    let before = revisions.insert(id.clone(), revision);
    before.is_none_or(|before| revision > before)
  }

  fn put_box(&self, name: Name, value: &[u8], revision: u64) {
    match postcard::from_bytes(value) {
      Ok(entry) => {
        self
          .gateway
          .joined_boxes
          .borrow_mut()
          .record(name.clone(), revision);
        self.gateway.put_box(name, entry);
      }
      Err(error) => log::warn!("E405 entry of box {name} not decoded: {error}"),
    }
  }

  fn remove_box(&self, name: &str) {
    self.gateway.joined_boxes.borrow_mut().remove(name);
    self.gateway.remove_box(name);
  }

  fn put_version(&self, key: Name, value: &[u8], revision: u64) {
    match VersionRecord::decode(value) {
      Ok(record) => self.gateway.put_version_record(key, record, revision),
      Err(error) => log::warn!("E405 record {key} of a version not decoded: {error}"),
    }
  }

  fn apply_configuration(&self, value: &[u8], revision: u64) {
    match self.gateway.codec.route_table(value) {
      Ok(table) => {
        if let Some(region) = self.unknown_region(&table) {
          log::error!(
            "E408 configuration at revision {revision} rejected: allowed region {region} is the region of no hall; keeping the last one"
          );
          return;
        }
        let version = table.version();
        let routes = table.route_count();
        if self.gateway.apply_route_table(table) {
          log::info!("E407 configuration {version} applied: {routes} routes, revision {revision}");
        }
      }
      Err(error) => log::error!("E408 configuration at revision {revision} not decoded: {error}"),
    }
  }

  /// An allowed region without a hall that this box knows: requests bound to it would always be rejected.
  fn unknown_region(&self, table: &RouteTable) -> Option<Name> {
    let regions = &self.gateway.settings.regions;
    let is_region = |allowed: &str| regions.values().any(|region| &**region == allowed);
    table.unknown_region(is_region).cloned()
  }

  fn remove_endpoint(&self, id: &str) {
    let now_ms = self.gateway.now_ms();
    let mut endpoints = self.gateway.endpoints.borrow_mut();
    if now_ms < self.lapse_until_ms {
      endpoints.mark_lapsed(id, self.lapse_until_ms);
    } else {
      endpoints.remove(id);
      self.entry_revisions.borrow_mut().remove(id);
      self.gateway.pool.close(id);
    }
  }
}

/// Logs that an endpoint has restarted under its id: until now, streams there were taken to come from its former start.
fn log_restart(former: &EndpointEntry, entry: &EndpointEntry) {
  log::info!(
    "E555 endpoint listed with another start: {} started {} version {}, before started {} version {}",
    entry.id,
    entry.start_text(),
    entry.version,
    former.start_text(),
    former.version
  );
}
