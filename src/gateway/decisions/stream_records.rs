//! Which endpoint's version began each recent stream. Free of I/O.
//!
//! Load pattern: each stream is recorded once by the box that began it, and by a few others while several versions serve; a
//! caller returns within the request's deadline or shortly after it, at any box.

use {
  super::{processes::ObservedProcess, stream_key::StreamKey},
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  serde::{Deserialize, Serialize},
  std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    rc::Rc,
  },
};

/// Records that a box keeps; the oldest are evicted.
const MAX_RECORDS: usize = 20_000;

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
  /// The service: a route may be divided between several.
  pub service: Name,
  /// The version of the endpoint that sent the first event.
  pub version: SoftwareVersion,
}

/// What is recorded of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordedOrigin {
  /// Nothing.
  Unknown,
  /// It began here.
  Known(StreamOrigin),
  /// Two streams with the same key began at different origins, or the version of the process that began it is not known.
  Ambiguous,
}

/// Whether a box began a stream itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordSource {
  /// This box.
  Own,
  /// Another box, which sent the record.
  Peer,
}

/// The origin in a record.
#[derive(Clone, Debug)]
enum OriginState {
  Known(StreamOrigin),
  /// It is known once the version of the process is.
  Pending {
    service: Name,
    process: Rc<ObservedProcess>,
  },
  Ambiguous,
}

impl OriginState {
  /// The origin, if it is known by now.
  fn known(&self) -> Option<StreamOrigin> {
    match self {
      Self::Known(origin) => Some(origin.clone()),
      Self::Pending { service, process } => process.version().map(|version| StreamOrigin {
        service: service.clone(),
        version: version.clone(),
      }),
      Self::Ambiguous => None,
    }
  }
}

#[derive(Clone, Debug)]
struct StreamRecord {
  origin: OriginState,
  source: RecordSource,
  expires_ms: u64,
}

/// The records of a box.
///
/// ```
/// use rillford::gateway::{
///   RecordSource, RecordedOrigin, SoftwareVersion, StreamKey, StreamOrigin, StreamRecords,
/// };
/// let key = StreamKey::of(None, "r-1");
/// let origin = |version| StreamOrigin { service: "llm".into(), version: SoftwareVersion::new(version) };
/// let mut records = StreamRecords::default();
/// records.record(key, origin("v1"), RecordSource::Own, 5_000);
/// assert_eq!(records.find(&key, 4_999), RecordedOrigin::Known(origin("v1")));
/// assert_eq!(records.find(&key, 5_000), RecordedOrigin::Unknown);
/// records.record(key, origin("v2"), RecordSource::Peer, 5_000);
/// assert_eq!(records.find(&key, 0), RecordedOrigin::Ambiguous);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
  by_key: HashMap<StreamKey, StreamRecord>,
  /// The keys in the order of their first records.
  order: VecDeque<StreamKey>,
}

impl StreamRecords {
  /// Records where a stream began, until a time. A second record of the same origin extends the first.
  pub fn record(
    &mut self,
    key: StreamKey,
    origin: StreamOrigin,
    source: RecordSource,
    expires_ms: u64,
  ) {
    if let Some(known) = self.by_key.get_mut(&key) {
      known.expires_ms = known.expires_ms.max(expires_ms);
      if known.origin.known().as_ref() != Some(&origin) {
        known.origin = OriginState::Ambiguous;
      }
      return;
    }
    self.insert(
      key,
      StreamRecord {
        expires_ms,
        origin: OriginState::Known(origin),
        source,
      },
    );
  }

  /// Records a stream that this box began at a process whose version is not known yet. One that began elsewhere before is ambiguous.
  pub fn record_pending(
    &mut self,
    key: StreamKey,
    service: &Name,
    process: &Rc<ObservedProcess>,
    expires_ms: u64,
  ) {
    if let Some(known) = self.by_key.get_mut(&key) {
      let is_same = matches!(&known.origin, OriginState::Pending { process: began_at, .. } if Rc::ptr_eq(began_at, process));
      if !is_same {
        known.origin = OriginState::Ambiguous;
      }
      return;
    }
    let origin = OriginState::Pending {
      process: process.clone(),
      service: service.clone(),
    };
    let source = RecordSource::Own;
    self.insert(
      key,
      StreamRecord {
        expires_ms,
        origin,
        source,
      },
    );
  }

  /// The streams of this box whose origins have become known since the last call, with the times at which their records expire.
  pub fn take_settled(&mut self) -> Vec<(StreamKey, StreamOrigin, u64)> {
    let mut settled = Vec::new();
    for (key, record) in &mut self.by_key {
      if matches!(record.origin, OriginState::Pending { .. })
        && let Some(origin) = record.origin.known()
      {
        record.origin = OriginState::Known(origin.clone());
        settled.push((*key, origin, record.expires_ms));
      }
    }
    settled.sort_by_key(|(key, _, _)| *key);
    settled
  }

  fn insert(&mut self, key: StreamKey, record: StreamRecord) {
    self.evict_oldest();
    self.order.push_back(key);
    self.by_key.insert(key, record);
  }

  fn evict_oldest(&mut self) {
    while self.by_key.len() >= MAX_RECORDS {
      let Some(oldest) = self.order.pop_front() else {
        return;
      };
      self.by_key.remove(&oldest);
    }
  }

  /// Where a stream began.
  pub fn find(&self, key: &StreamKey, now_ms: u64) -> RecordedOrigin {
    match self.by_key.get(key) {
      Some(record) if now_ms < record.expires_ms => {
        let origin = record.origin.known();
        origin.map_or(RecordedOrigin::Ambiguous, RecordedOrigin::Known)
      }
      _ => RecordedOrigin::Unknown,
    }
  }

  /// The streams of a service that this box began, with the times at which their records expire.
  pub fn own_of(&self, service: &str, now_ms: u64) -> Vec<(StreamKey, StreamOrigin, u64)> {
    let own = self
      .by_key
      .iter()
      .filter(|(_, record)| record.source == RecordSource::Own && now_ms < record.expires_ms);
    own
      .filter_map(|(key, record)| Some((*key, record.origin.known()?, record.expires_ms)))
      .filter(|(_, origin, _)| &*origin.service == service)
      .collect()
  }

  /// The streams of a service with a known origin, with the times at which their records expire, the last ones first.
  pub fn all_of(&self, service: &str, now_ms: u64) -> Vec<(StreamKey, StreamOrigin, u64)> {
    let unexpired = self
      .by_key
      .iter()
      .filter(|(_, record)| now_ms < record.expires_ms);
    let mut known: Vec<_> = unexpired
      .filter_map(|(key, record)| Some((*key, record.origin.known()?, record.expires_ms)))
      .filter(|(_, origin, _)| &*origin.service == service)
      .collect();
    known.sort_by_key(|(key, _, expires_ms)| (Reverse(*expires_ms), *key));
    known
  }

  /// Removes expired records.
  pub fn expire(&mut self, now_ms: u64) {
    self.by_key.retain(|_, record| now_ms < record.expires_ms);
    let by_key = &self.by_key;
    self.order.retain(|key| by_key.contains_key(key));
  }

  /// The number of records.
  pub fn len(&self) -> usize {
    self.by_key.len()
  }

  /// Whether there is none.
  pub fn is_empty(&self) -> bool {
    self.by_key.is_empty()
  }
}
