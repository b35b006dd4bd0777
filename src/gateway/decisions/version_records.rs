//! The records of services' versions in the store, and which box changes them when. Free of I/O.
//!
//! Load pattern: a release lists a second version and removes the first one within minutes, and all boxes see both at the same
//! time. Any number of them may be killed at any moment; those that start learn from the records which versions may have begun a
//! stream that its caller still resumes. A record holds no time: the clocks of boxes may differ.

use {
  super::{
    box_list::BoxList, rendezvous::rendezvous_order, service_version::ServiceVersion,
    service_versions::ServiceVersions,
  },
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::{BTreeMap, BTreeSet},
};

/// The first box in the order of a record changes it after this time, the second after twice this time, and so on. Boxes that
/// start together know each other by then.
const STEP_MS: u64 = 500;

/// A change of the records that a box makes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RecordChange {
  /// Records a version, unless it is recorded.
  Add(ServiceVersion),
  /// Removes a record, unless it has changed since a revision of the store.
  Remove(ServiceVersion, u64),
}

impl RecordChange {
  fn subject(&self) -> &ServiceVersion {
    match self {
      Self::Add(subject) | Self::Remove(subject, _) => subject,
    }
  }
}

/// The records in the store, as far as this box knows.
///
/// ```
/// use rillford::gateway::{BoxList, RecordChange, ServiceVersion, ServiceVersions, SoftwareVersion, VersionRecords};
/// let v1 = SoftwareVersion::new("v1");
/// let of_llm = ServiceVersion { service: "llm".into(), version: v1.clone() };
/// let mut versions = ServiceVersions::default();
/// versions.add(&of_llm.service, &v1);
/// let mut records = VersionRecords::default();
/// let mut changes = |now_ms| records.due(&versions, |_| true, &BoxList::default(), "box-1", now_ms);
/// assert_eq!(changes(0), []);
/// assert_eq!(changes(500), [RecordChange::Add(of_llm)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionRecords {
  /// By key, with the revision of the record.
  stored: BTreeMap<Name, (ServiceVersion, u64)>,
  /// The changes that are needed, and since when; an attempt counts as the start of another delay.
  needed_since_ms: BTreeMap<RecordChange, u64>,
}

impl VersionRecords {
  /// A record was listed or written; returns whether this box did not know it.
  pub fn put(&mut self, key: Name, record: ServiceVersion, revision: u64) -> bool {
    self.stored.insert(key, (record, revision)).is_none()
  }

  /// A record was removed.
  pub fn remove(&mut self, key: &str) {
    self.stored.remove(key);
  }

  /// The revision of a version's record; `None` if this box knows no record.
  pub fn revision(&self, service: &Name, version: &SoftwareVersion) -> Option<u64> {
    let version = ServiceVersion {
      service: service.clone(),
      version: version.clone(),
    };
    let stored = self.stored.get(&version.key());
    stored.map(|(_, revision)| *revision)
  }

  /// The keys of all records.
  pub fn keys(&self) -> impl Iterator<Item = &Name> {
    self.stored.keys()
  }

  /// The changes that a box makes now, given the versions that it knows. Only listed versions of the services for which
  /// `is_recorded` holds are added: a version that is known from its record alone would be added again after its removal.
  pub fn due(
    &mut self,
    versions: &ServiceVersions,
    is_recorded: impl Fn(&str) -> bool,
    boxes: &BoxList,
    box_name: &str,
    now_ms: u64,
  ) -> Vec<RecordChange> {
    let needed = self.needed(versions, is_recorded);
    self
      .needed_since_ms
      .retain(|change, _| needed.contains(change));
    let mut due = Vec::new();
    for change in needed {
      let since_ms = self.needed_since_ms.entry(change.clone()).or_insert(now_ms);
      let waited_steps = (now_ms - *since_ms) / STEP_MS;
      if waited_steps > 0 && waited_steps > position(&change, boxes, box_name) {
        *since_ms = now_ms;
        due.push(change);
      }
    }
    due
  }

  fn needed(
    &self,
    versions: &ServiceVersions,
    is_recorded: impl Fn(&str) -> bool,
  ) -> BTreeSet<RecordChange> {
    let listed = versions
      .all_listed()
      .filter(|listed| is_recorded(&listed.service));
    let added = listed.filter(|listed| !self.stored.contains_key(&listed.key()));
    let removed = self
      .stored
      .values()
      .filter(|(record, _)| !versions.knows(&record.service, &record.version));
    added
      .map(RecordChange::Add)
      .chain(
        removed
          .cloned()
          .map(|(record, revision)| RecordChange::Remove(record, revision)),
      )
      .collect()
  }
}

/// The position of a box among those that make a change, which differs between records; the last one if it is not listed.
fn position(change: &RecordChange, boxes: &BoxList, box_name: &str) -> u64 {
  let key = change.subject().key();
  let order = rendezvous_order(boxes.entries(), key.as_bytes());
  let position = order.iter().position(|(name, _)| &**name == box_name);
  position.unwrap_or(order.len()) as u64
}
