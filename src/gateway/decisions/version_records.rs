//! The records of services' versions in the store: which ones streams may begin under, and which box changes them when. Free of I/O.
//!
//! Load pattern: a release lists a second version and removes the first one within minutes, and all boxes see both at the same
//! time. Any number of them may be killed at any moment, and their views of the store lag. Those that start learn from the records
//! which versions may have begun a stream that its caller still resumes. A record holds no point in time: the clocks of boxes may
//! differ.

use {
  super::{
    box_list::BoxList,
    rendezvous::rendezvous_order,
    service_version::ServiceVersion,
    service_versions::ServiceVersions,
    version_record::{RecordState, VersionRecord},
  },
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::{BTreeMap, BTreeSet},
};

/// The first box in the order of a record changes it at once, the second after this time, the third after twice this time, and so on.
const STEP_MS: u64 = 500;
/// The same for a record that streams wait for.
const URGENT_STEP_MS: u64 = 20;
/// A version that is not listed for this long is retired: engines restart within it.
const RETIRE_DELAY_MS: u64 = 5_000;
/// The oldest view of the store under which streams begin.
const MAX_VIEW_AGE_MS: u64 = 30_000;

/// A change of the records that a box makes, unless the record has changed since a revision of the store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RecordChange {
  /// Writes a record; revision 0 if there is none.
  Write(VersionRecord, u64),
  /// Removes a record.
  Remove(ServiceVersion, u64),
}

impl RecordChange {
  fn subject(&self) -> &ServiceVersion {
    match self {
      Self::Write(record, _) => &record.subject,
      Self::Remove(subject, _) => subject,
    }
  }

  /// Time for which it has to be needed before a box makes it.
  fn delay_ms(&self) -> u64 {
    match self {
      Self::Write(record, _) if record.state == RecordState::Retired => RETIRE_DELAY_MS,
      Self::Write(..) | Self::Remove(..) => 0,
    }
  }
}

/// The box that decides on changes, and what it knows.
#[derive(Clone, Copy, Debug)]
pub struct RecordMaker<'a> {
  pub boxes: &'a BoxList,
  pub box_name: &'a str,
  /// For how long a stream may be resumed under the configuration in force.
  pub lifetime_ms: u64,
  /// Whether the box's view of the store is recent. One that lags may lack versions that are listed.
  pub is_current: bool,
  pub now_ms: u64,
}

/// A record in the store, as this box knows it.
#[derive(Clone, Debug)]
struct StoredRecord {
  record: VersionRecord,
  revision: u64,
  /// When this box saw this revision first.
  seen_ms: u64,
}

/// The records in the store, as far as this box knows.
///
/// ```
/// use rillford::gateway::{
///   BoxList, RecordChange, RecordMaker, RecordState, ServiceVersion, ServiceVersions, SoftwareVersion, VersionRecord, VersionRecords,
/// };
/// let subject = ServiceVersion { service: "llm".into(), version: SoftwareVersion::new("v1") };
/// let mut versions = ServiceVersions::default();
/// versions.add(&subject.service, &subject.version);
/// let maker = RecordMaker {
///   boxes: &BoxList::default(),
///   box_name: "box-1",
///   lifetime_ms: 24_000,
///   is_current: true,
///   now_ms: 0,
/// };
/// let mut records = VersionRecords::default();
/// let record = VersionRecord { subject: subject.clone(), state: RecordState::Active, lifetime_ms: 24_000 };
/// assert_eq!(records.due(|_| true, &versions, maker), [RecordChange::Write(record.clone(), 0)]);
/// assert_eq!(records.covers(&subject, 20_000), None);
/// records.put(subject.key(), record, 7, 0);
/// assert_eq!(records.covers(&subject, 20_000), Some(7));
/// assert_eq!(records.covers(&subject, 30_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionRecords {
  stored: BTreeMap<Name, StoredRecord>,
  /// The revisions at which records were removed, since older ones may still arrive.
  removed: BTreeMap<Name, u64>,
  /// The changes that are needed, and since when; an attempt counts as the start of another delay.
  needed_since_ms: BTreeMap<RecordChange, u64>,
  /// The versions whose records streams wait for.
  awaited: BTreeSet<ServiceVersion>,
}

impl VersionRecords {
  /// A record was read or written; one that is older than the known one is ignored.
  pub fn put(&mut self, key: Name, record: VersionRecord, revision: u64, now_ms: u64) {
    let known = self.stored.get(&key).map(|known| known.revision);
    let removed = self.removed.get(&key).copied();
    if known.max(removed).is_some_and(|latest| latest >= revision) {
      return;
    }
    let stored = StoredRecord {
      record,
      revision,
      seen_ms: now_ms,
    };
    self.stored.insert(key, stored);
  }

  /// A record was removed at a revision.
  pub fn remove(&mut self, key: &str, revision: u64) {
    let known = self.stored.get(key);
    if known.is_some_and(|known| known.revision <= revision) {
      self.stored.remove(key);
    }
    let removed = self.removed.entry(key.into()).or_default();
    *removed = revision.max(*removed);
  }

  /// The keys of all records.
  pub fn keys(&self) -> impl Iterator<Item = &Name> {
    self.stored.keys()
  }

  /// The versions that are recorded.
  pub fn recorded(&self) -> impl Iterator<Item = &ServiceVersion> {
    self.stored.values().map(|stored| &stored.record.subject)
  }

  /// The revision of the record under which a stream may begin that may be resumed for a time; `None` if there is none.
  pub fn covers(&self, version: &ServiceVersion, resumable_ms: u64) -> Option<u64> {
    let StoredRecord {
      record, revision, ..
    } = self.stored.get(&version.key())?;
    record.covers(resumable_ms).then_some(*revision)
  }

  /// The versions of a service at which streams may begin that may be resumed for a time.
  pub fn covered(&self, service: &str, resumable_ms: u64) -> Vec<&SoftwareVersion> {
    let records = self.stored.values().map(|stored| &stored.record);
    let covering =
      records.filter(|record| record.covers(resumable_ms) && &*record.subject.service == service);
    covering.map(|record| &record.subject.version).collect()
  }

  /// Whether streams wait for a record.
  pub fn are_any_awaited(&self) -> bool {
    !self.awaited.is_empty()
  }

  /// Streams wait for the record of a version.
  pub fn want(&mut self, version: ServiceVersion) {
    self.awaited.insert(version);
  }

  /// The changes that a box makes now. Only versions of the services for which `is_recorded` holds are recorded.
  pub fn due(
    &mut self,
    is_recorded: impl Fn(&str) -> bool,
    versions: &ServiceVersions,
    maker: RecordMaker<'_>,
  ) -> Vec<RecordChange> {
    let now_ms = maker.now_ms;
    let needed = self.needed(is_recorded, versions, maker);
    self
      .needed_since_ms
      .retain(|change, _| needed.contains(change));
    let mut due = Vec::new();
    for change in needed {
      let step_ms = match self.awaited.contains(change.subject()) {
        true => URGENT_STEP_MS,
        false => STEP_MS,
      };
      let since_ms = self.needed_since_ms.entry(change.clone()).or_insert(now_ms);
      let due_ms = *since_ms + change.delay_ms();
      // The order of all boxes is computed only once the change may be due.
      if now_ms >= due_ms && now_ms >= due_ms + step_ms * position(&change, maker) {
        // Another box may make it meanwhile; its record takes time to arrive.
        *since_ms = now_ms + STEP_MS;
        due.push(change);
      }
    }
    due
  }

  fn needed(
    &mut self,
    is_recorded: impl Fn(&str) -> bool,
    versions: &ServiceVersions,
    maker: RecordMaker<'_>,
  ) -> BTreeSet<RecordChange> {
    let listed = versions.all_listed();
    let listed = listed.filter(|listed| is_recorded(&listed.service));
    let used: BTreeSet<_> = listed.chain(self.awaited.iter().cloned()).collect();
    let mut needed: BTreeSet<_> = used
      .iter()
      .filter_map(|used| self.renewal(used, maker.lifetime_ms))
      .collect();
    let renewed: BTreeSet<_> = needed.iter().map(RecordChange::subject).collect();
    self.awaited.retain(|version| renewed.contains(version));
    if maker.is_current {
      let unlisted = self
        .stored
        .values()
        .filter(|stored| !used.contains(&stored.record.subject));
      let retiring = unlisted.filter_map(|stored| stored.retirement(maker));
      needed.extend(retiring);
    }
    needed
  }

  /// The write after which streams may begin at a listed version; `None` if they may.
  fn renewal(&self, version: &ServiceVersion, lifetime_ms: u64) -> Option<RecordChange> {
    let stored = self.stored.get(&version.key());
    if self.covers(version, lifetime_ms).is_some() {
      return None;
    }
    let recorded_ms = stored.map_or(0, |stored| stored.record.lifetime_ms);
    let record = VersionRecord {
      subject: version.clone(),
      state: RecordState::Active,
      lifetime_ms: lifetime_ms.max(recorded_ms),
    };
    let revision = stored.map_or(0, |stored| stored.revision);
    Some(RecordChange::Write(record, revision))
  }
}

impl StoredRecord {
  /// The next step towards the removal of a version that is not listed; `None` while streams may be resumed.
  fn retirement(&self, maker: RecordMaker<'_>) -> Option<RecordChange> {
    let subject = self.record.subject.clone();
    match self.record.state {
      RecordState::Active => {
        let record = VersionRecord {
          subject,
          state: RecordState::Retired,
          // A record of an older build has none.
          lifetime_ms: self.record.lifetime_ms.max(maker.lifetime_ms),
        };
        Some(RecordChange::Write(record, self.revision))
      }
      RecordState::Retired => {
        let removable_ms = self.seen_ms + self.record.lifetime_ms + MAX_VIEW_AGE_MS;
        let removal = RecordChange::Remove(subject, self.revision);
        (maker.now_ms >= removable_ms).then_some(removal)
      }
    }
  }
}

/// The position of a box among those that make a change, which differs between records; the last one if it is not listed.
fn position(change: &RecordChange, maker: RecordMaker<'_>) -> u64 {
  let key = change.subject().key();
  let order = rendezvous_order(maker.boxes.entries(), key.as_bytes());
  let position = order.iter().position(|(name, _)| &**name == maker.box_name);
  position.unwrap_or(order.len()) as u64
}
