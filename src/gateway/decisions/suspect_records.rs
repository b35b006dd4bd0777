//! The prompt segments that boxes suspect of the crashes of endpoints, as they share them in the store. Free of I/O.
//!
//! Load pattern: a prompt has from a few to some thousand segments, and one of them crashes each engine. A box suspects all of a
//! prompt that it does not know to be sound. One record holds them for each crash, and not one mark for each segment, since all
//! boxes receive each entry of the store. Which segment is at fault shows in what the records have in common.
//!
//! A box creates a record under a name that no other one uses. After that, boxes only remove segments from it, on which endpoints
//! answered, and write it anew before it expires.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    fingerprint::Fingerprint,
    quarantine_key::{QuarantineKey, QuarantineMark},
    quarantine_registry::RETENTION_MS,
  },
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  std::collections::{BTreeMap, BTreeSet},
};

/// Segments in a record; further ones need another record. A value of the store has 16 KB then.
pub const MAX_SUSPECTS_IN_RECORD: usize = 1_024;
/// Segments in all records, 1 MB; the oldest records are dropped.
const MAX_SUSPECTS: usize = 65_536;
/// The beginning of the text of all keys; no fingerprint begins so.
const KEY_PREFIX: &str = "suspects/";

/// Identifies a record.
///
/// ```
/// use rillford::gateway::{EndpointIncarnation, SuspectRecordKey};
/// let key = SuspectRecordKey { incarnation: EndpointIncarnation::of("e-1", Some(1)), name: "box-1-7f-0".into() };
/// assert_eq!(SuspectRecordKey::parse(&key.text()), Some(key));
/// assert_eq!(SuspectRecordKey::parse("4aa47849/ended-1"), None);
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SuspectRecordKey {
  /// The incarnation that crashed.
  pub incarnation: EndpointIncarnation,
  /// Unique among the records of the incarnation.
  pub name: Name,
}

impl SuspectRecordKey {
  /// The last segments of the store key.
  pub fn text(&self) -> Name {
    format!("{KEY_PREFIX}{}/{}", self.incarnation.key(), self.name).into()
  }

  /// Parses the text of [`text`](Self::text); `None` when it is another one.
  pub fn parse(text: &str) -> Option<Self> {
    let (incarnation, name) = text.strip_prefix(KEY_PREFIX)?.split_once('/')?;
    Some(Self {
      incarnation: EndpointIncarnation::parse(incarnation)?,
      name: name.into(),
    })
  }
}

/// The segments that are suspected of one crash.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
  /// When the crash was recorded, or the record written anew, in Unix milliseconds.
  pub written_ms: u64,
  pub segments: BTreeSet<Fingerprint>,
}

/// A record with its last write.
#[derive(Clone, Debug)]
struct StoredRecord {
  record: SuspectRecord,
  /// The revision of the last write.
  revision: u64,
}

/// A change of a record that this box has still to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectChange {
  /// Write the record if it was last written at the revision.
  Write {
    record: SuspectRecord,
    revision: u64,
  },
  /// Remove the record.
  Remove,
}

/// The known records.
///
/// ```
/// use rillford::gateway::{
///   EndpointIncarnation, Fingerprint, SegmentIdentity, SuspectChange, SuspectRecord, SuspectRecordKey, SuspectRecords,
/// };
/// let segment = |id| Fingerprint::of_segment(SegmentIdentity { organisation: None, segment: id, service: "llm" });
/// let key = SuspectRecordKey { incarnation: EndpointIncarnation::of("e-1", Some(1)), name: "box-1-7f-0".into() };
/// let segments = [segment("a"), segment("b")].into();
/// let mut records = SuspectRecords::default();
/// records.put(key.clone(), SuspectRecord { written_ms: 1_000, segments }, 7);
/// // An endpoint answered on one of them: the record is written anew without it.
/// records.clear(&[segment("a")].into());
/// let change = records.take_change().unwrap();
/// let rest = SuspectRecord { written_ms: 1_000, segments: [segment("b")].into() };
/// assert_eq!(change, (key, SuspectChange::Write { record: rest, revision: 7 }));
/// assert_eq!(records.take_change(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectRecords {
  records: BTreeMap<SuspectRecordKey, StoredRecord>,
  /// Records that this box has still to write or remove.
  changed: BTreeSet<SuspectRecordKey>,
  /// Segments in all records.
  suspects: usize,
  /// Records that were dropped for lack of room.
  dropped: u64,
}

impl SuspectRecords {
  /// Records what the store holds under a key since a revision; returns the marks that no longer hold.
  pub fn put(
    &mut self,
    key: SuspectRecordKey,
    record: SuspectRecord,
    revision: u64,
  ) -> Vec<QuarantineKey> {
    self.suspects += record.segments.len();
    let stored = StoredRecord {
      record: record.clone(),
      revision,
    };
    let incarnation = key.incarnation;
    let before = self.records.insert(key, stored);
    let before = before.map_or_else(BTreeSet::new, |before| before.record.segments);
    self.suspects -= before.len();
    self.drop_oldest();
    let gone = before.difference(&record.segments).copied().collect();
    self.released(incarnation, gone)
  }

  /// Forgets a record that the store no longer holds; returns the marks that no longer hold.
  pub fn remove(&mut self, key: &SuspectRecordKey) -> Vec<QuarantineKey> {
    self.changed.remove(key);
    let Some(before) = self.records.remove(key) else {
      return Vec::new();
    };
    self.suspects -= before.record.segments.len();
    let gone = before.record.segments.into_iter().collect();
    self.released(key.incarnation, gone)
  }

  /// Removes segments from all records.
  pub fn clear(&mut self, segments: &BTreeSet<Fingerprint>) {
    for (key, stored) in &mut self.records {
      let suspects = &mut stored.record.segments;
      let before = suspects.len();
      suspects.retain(|suspect| !segments.contains(suspect));
      self.suspects -= before - suspects.len();
      if suspects.len() < before {
        self.changed.insert(key.clone());
      }
    }
  }

  /// Has the records that hold marks written anew, at a Unix time; returns the marks that are in no record.
  pub fn refresh(&mut self, marks: &[QuarantineKey], written_ms: u64) -> Vec<QuarantineKey> {
    let mut rest = Vec::new();
    for mark in marks {
      let holding = self.holding(*mark);
      if holding.is_empty() {
        rest.push(*mark);
      }
      for key in holding {
        if let Some(stored) = self.records.get_mut(&key) {
          stored.record.written_ms = written_ms;
        }
        self.changed.insert(key);
      }
    }
    rest
  }

  /// Whether a record holds a mark.
  pub fn contains(&self, mark: QuarantineKey) -> bool {
    !self.holding(mark).is_empty()
  }

  /// The next change to write.
  pub fn take_change(&mut self) -> Option<(SuspectRecordKey, SuspectChange)> {
    while let Some(key) = self.changed.pop_first() {
      if let Some(StoredRecord { record, revision }) = self.records.get(&key) {
        let change = if record.segments.is_empty() {
          SuspectChange::Remove
        } else {
          SuspectChange::Write {
            record: record.clone(),
            revision: *revision,
          }
        };
        return Some((key, change));
      }
    }
    None
  }

  /// Takes back a change that could not be written.
  pub fn restore_change(&mut self, key: SuspectRecordKey) {
    if self.records.contains_key(&key) {
      self.changed.insert(key);
    }
  }

  /// Forgets the records that were not written for the retention period before a Unix time; returns their keys.
  pub fn expire(&mut self, now_ms: u64) -> Vec<SuspectRecordKey> {
    let is_old = |stored: &StoredRecord| now_ms >= stored.record.written_ms + RETENTION_MS;
    let old = self.records.iter().filter(|(_, stored)| is_old(stored));
    let old: Vec<SuspectRecordKey> = old.map(|(key, _)| key.clone()).collect();
    for key in &old {
      self.remove(key);
    }
    old
  }

  pub fn keys(&self) -> impl Iterator<Item = &SuspectRecordKey> {
    self.records.keys()
  }

  /// The number of records.
  pub fn len(&self) -> usize {
    self.records.len()
  }

  pub fn is_empty(&self) -> bool {
    self.records.is_empty()
  }

  /// The number of changes to write.
  pub fn changes(&self) -> usize {
    self.changed.len()
  }

  /// The number of records that were dropped for lack of room: crashes that no longer count.
  pub fn dropped(&self) -> u64 {
    self.dropped
  }

  /// The records that hold a mark.
  fn holding(&self, mark: QuarantineKey) -> Vec<SuspectRecordKey> {
    let QuarantineMark::Crashed(incarnation) = mark.mark else {
      return Vec::new();
    };
    let records = self.of_incarnation(incarnation);
    records
      .filter(|(_, stored)| stored.record.segments.contains(&mark.fingerprint))
      .map(|(key, _)| key.clone())
      .collect()
  }

  fn of_incarnation(
    &self,
    incarnation: EndpointIncarnation,
  ) -> impl Iterator<Item = (&SuspectRecordKey, &StoredRecord)> {
    let first = SuspectRecordKey {
      incarnation,
      name: "".into(),
    };
    let from_first = self.records.range(first..);
    from_first.take_while(move |(key, _)| key.incarnation == incarnation)
  }

  /// The marks of segments that are no longer in any record of an incarnation.
  fn released(
    &self,
    incarnation: EndpointIncarnation,
    segments: Vec<Fingerprint>,
  ) -> Vec<QuarantineKey> {
    let mark = QuarantineMark::Crashed(incarnation);
    let marks = segments
      .into_iter()
      .map(|fingerprint| QuarantineKey { fingerprint, mark });
    marks.filter(|mark| !self.contains(*mark)).collect()
  }

  fn drop_oldest(&mut self) {
    while self.suspects > MAX_SUSPECTS {
      let oldest = self
        .records
        .iter()
        .min_by_key(|(_, stored)| stored.record.written_ms);
      let Some(oldest) = oldest.map(|(key, _)| key.clone()) else {
        return;
      };
      self.remove(&oldest);
      self.dropped += 1;
    }
  }
}
