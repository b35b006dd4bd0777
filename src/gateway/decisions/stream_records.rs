//! Which endpoint's version began each recent stream. Free of I/O.
//!
//! Load pattern: each stream is recorded once by the box that began it, and by a few others while several versions serve; a
//! caller returns within the request's deadline or shortly after it, at any box. Where the version of the engine's process is not
//! known yet, a stream is held by another box before it begins: the box that began it may be killed at any moment, the engine may
//! restart with another version, and messages between the boxes may be lost or late.

use {
  super::{processes::ObservedProcess, stream_key::StreamKey},
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  serde::{Deserialize, Serialize},
  std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
  },
};

/// How long after a request's deadline its caller may still resume the stream.
pub(crate) const RETURN_MS: u64 = 10_000;
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
  /// Another box was about to begin it, and may have.
  Held,
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
    /// The same process, if it is watched.
    watched: Option<WatchedProcess>,
  },
  /// Another box is about to begin it at an endpoint that this box observes.
  Held {
    hold: StreamHold,
    /// The origin that another box has sent since.
    told: Option<StreamOrigin>,
  },
  Ambiguous,
}

/// The process of an endpoint, which a connection of its own shows.
#[derive(Clone, Debug)]
pub struct WatchedProcess {
  pub endpoint: Name,
  pub address: SocketAddr,
  pub process: Rc<ObservedProcess>,
}

/// A stream that another box is about to begin at an endpoint, at whose process this box observes it.
///
/// The first event of a stream that is held comes from that process: the other box has sent the request after this box observed the
/// process, on a connection that was opened before.
#[derive(Clone, Debug)]
pub struct StreamHold {
  pub service: Name,
  pub watched: WatchedProcess,
  /// Distinguishes the sends of a stream.
  pub send: u64,
  /// Whether the first event has come from the process.
  pub has_begun: bool,
}

impl StreamHold {
  /// Where the stream began, if that is known by now.
  fn origin(&self) -> Option<StreamOrigin> {
    let version = self.watched.process.version().filter(|_| self.has_begun)?;
    Some(StreamOrigin {
      service: self.service.clone(),
      version: version.clone(),
    })
  }
}

impl OriginState {
  /// The origin, if it is known by now.
  fn known(&self) -> Option<StreamOrigin> {
    match self {
      Self::Known(origin) => Some(origin.clone()),
      Self::Pending {
        service, process, ..
      } => process.version().map(|version| StreamOrigin {
        service: service.clone(),
        version: version.clone(),
      }),
      Self::Held { hold, told } => match (hold.origin(), told) {
        (Some(observed), Some(told)) if observed != *told => None,
        (observed, told) => observed.or_else(|| told.clone()),
      },
      Self::Ambiguous => None,
    }
  }

  /// The service and the watched process of a stream that has begun there, until its version is known.
  fn watched(&self) -> Option<(&Name, &WatchedProcess)> {
    let watched = match self {
      Self::Pending {
        service,
        watched: Some(watched),
        ..
      } => (service, watched),
      Self::Held { hold, told: None } if hold.has_begun => (&hold.service, &hold.watched),
      _ => return None,
    };
    self.known().is_none().then_some(watched)
  }

  /// What is recorded while the origin is not known.
  fn unknown(&self) -> RecordedOrigin {
    match self {
      Self::Held { hold, told: None } if !hold.has_begun => RecordedOrigin::Held,
      _ => RecordedOrigin::Ambiguous,
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
      match &mut known.origin {
        OriginState::Held {
          told: told @ None, ..
        } => *told = Some(origin),
        former if former.known().as_ref() == Some(&origin) => {}
        former => *former = OriginState::Ambiguous,
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
    watched: Option<WatchedProcess>,
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
      watched,
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

  /// Records that another box is about to begin a stream at a process that this box observes. A later send takes the place of one that
  /// has brought no event; the stream is ambiguous if it began elsewhere before.
  pub fn hold(&mut self, key: StreamKey, hold: StreamHold, expires_ms: u64) {
    if let Some(known) = self.by_key.get_mut(&key) {
      known.expires_ms = known.expires_ms.max(expires_ms);
      known.origin = match &known.origin {
        OriginState::Held {
          hold: former,
          told: None,
        } if !former.has_begun => OriginState::Held { hold, told: None },
        _ => OriginState::Ambiguous,
      };
      return;
    }
    self.insert(
      key,
      StreamRecord {
        expires_ms,
        origin: OriginState::Held { hold, told: None },
        source: RecordSource::Peer,
      },
    );
  }

  /// A send of a stream that another box had held here has brought its first event. The stream is ambiguous if another send is held.
  pub fn begin_held(&mut self, key: &StreamKey, send: u64) {
    let Some(record) = self.by_key.get_mut(key) else {
      return;
    };
    match &mut record.origin {
      OriginState::Held { hold, .. } if hold.send == send => hold.has_begun = true,
      origin => *origin = OriginState::Ambiguous,
    }
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
        origin.map_or_else(|| record.origin.unknown(), RecordedOrigin::Known)
      }
      _ => RecordedOrigin::Unknown,
    }
  }

  /// The streams of a service that this box began, with the times at which their records expire.
  pub fn own_of(&self, service: &str, now_ms: u64) -> Vec<(StreamKey, StreamOrigin, u64)> {
    let mut own = self.own(now_ms);
    own.retain(|(_, origin, _)| &*origin.service == service);
    own
  }

  /// The streams of all services that this box began at a known origin, with the times at which their records expire.
  pub fn own(&self, now_ms: u64) -> Vec<(StreamKey, StreamOrigin, u64)> {
    let own = self
      .by_key
      .iter()
      .filter(|(_, record)| record.source == RecordSource::Own && now_ms < record.expires_ms);
    own
      .filter_map(|(key, record)| Some((*key, record.origin.known()?, record.expires_ms)))
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

  /// The streams that have begun at watched processes of unknown version, with the times at which their records expire, the last ones
  /// first.
  pub fn watched(&self, now_ms: u64) -> Vec<(StreamKey, Name, WatchedProcess, u64)> {
    let unexpired = self
      .by_key
      .iter()
      .filter(|(_, record)| now_ms < record.expires_ms);
    let mut watched: Vec<_> = unexpired
      .filter_map(|(key, record)| {
        let (service, watched) = record.origin.watched()?;
        Some((*key, service.clone(), watched.clone(), record.expires_ms))
      })
      .collect();
    watched.sort_by_key(|(key, _, _, expires_ms)| (Reverse(*expires_ms), *key));
    watched
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
