//! The origins that this box writes to the store, in batches under leases.

use {
  super::{
    batch::{BegunStream, OriginBatch},
    bucket::OriginBucket,
  },
  crate::{
    gateway::edge::{MAX_CHANGED_KEYS, StoreLease},
    ids::Name,
  },
  std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Time between a write and the next one; a store that is slow gets fewer and larger ones.
pub const ORIGIN_WRITE_INTERVAL_MS: u64 = 200;
/// Streams that wait; the oldest are dropped.
const MAX_WAITING: usize = 20_000;
/// Streams of one write: some 160 KB as the store's text.
const MAX_WRITTEN: usize = 6_000;
/// For how long new batches are bound to a lease.
const LEASE_USE_MS: u64 = 20_000;
/// Time in which a write arrives at the store after it was decided on.
const WRITE_MARGIN_MS: u64 = 5_000;
/// How long a box whose write failed asks others to write in its place.
const FAILURE_MS: u64 = 2_000;

/// A lease for batches.
#[derive(Clone, Copy, Debug)]
pub struct TakenLease {
  pub lease: StoreLease,
  /// When the call that granted it was sent.
  pub sent_ms: u64,
  /// The longest time of a stream that it covers.
  pub lifetime_ms: u64,
}

/// A write that is due.
#[derive(Clone, Debug)]
pub struct OriginWrite {
  /// The names of the batches, and what they have.
  pub batches: Vec<(Name, OriginBatch)>,
  streams: Vec<Waiting>,
}

impl OriginWrite {
  /// The number of streams.
  pub fn len(&self) -> usize {
    self.streams.len()
  }

  /// Whether it has none.
  pub fn is_empty(&self) -> bool {
    self.streams.is_empty()
  }
}

#[derive(Clone, Debug)]
struct Waiting {
  bucket: OriginBucket,
  stream: BegunStream,
  /// Whether a write of it has failed.
  has_failed: bool,
}

/// The streams that this box writes.
///
/// ```
/// use rillford::gateway::{BegunStream, OriginBucket, OriginWriter, SoftwareVersion, StreamKey, StreamOrigin};
/// let origin = StreamOrigin { service: "llm".into(), version: SoftwareVersion::new("v1") };
/// let key = StreamKey::of(None, "r-1");
/// let mut writer = OriginWriter::default();
/// writer.put(OriginBucket::of(&key, 8), BegunStream { key, origin, expires_ms: 24_000 });
/// let write = writer.take("box-1-7f", 400).unwrap();
/// assert_eq!(&*write.batches[0].0, "b/box-1-7f-0");
/// // A write that fails is repeated once; then others write its streams.
/// assert!(writer.record_failure(write, 500).is_empty());
/// assert!(!writer.accepts(500));
/// let again = writer.take("box-1-7f", 800).unwrap();
/// assert_eq!(writer.record_failure(again, 900).len(), 1);
/// assert!(writer.take("box-1-7f", 1_200).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginWriter {
  waiting: VecDeque<Waiting>,
  lease: Option<TakenLease>,
  /// Writes so far.
  writes: u64,
  failed_ms: Option<u64>,
}

impl OriginWriter {
  /// Adds a stream; returns the number of those that are dropped.
  pub fn put(&mut self, bucket: OriginBucket, stream: BegunStream) -> u64 {
    self.waiting.push_back(Waiting {
      bucket,
      has_failed: false,
      stream,
    });
    if self.waiting.len() <= MAX_WAITING {
      return 0;
    }
    self.waiting.pop_front();
    1
  }

  /// The number of streams that wait.
  pub fn len(&self) -> usize {
    self.waiting.len()
  }

  /// Whether no stream waits.
  pub fn is_empty(&self) -> bool {
    self.waiting.is_empty()
  }

  /// Whether the store has accepted this box's last write, or a failure is long ago: others send it their streams.
  pub fn accepts(&self, now_ms: u64) -> bool {
    let until_ms = self.failed_ms.map(|failed_ms| failed_ms + FAILURE_MS);
    until_ms.is_none_or(|until_ms| now_ms >= until_ms)
  }

  /// The next write; `None` while no stream waits. `writer` names this run of the box: its batches outlast it.
  pub fn take(&mut self, writer: &str, now_ms: u64) -> Option<OriginWrite> {
    self
      .waiting
      .retain(|waiting| now_ms < waiting.stream.expires_ms);
    let streams = self.take_streams();
    if streams.is_empty() {
      return None;
    }
    let mut by_bucket: BTreeMap<OriginBucket, Vec<&BegunStream>> = BTreeMap::new();
    for waiting in &streams {
      let bucket = by_bucket.entry(waiting.bucket).or_default();
      bucket.push(&waiting.stream);
    }
    let number = self.writes;
    self.writes += 1;
    let batches = by_bucket.into_iter().map(|(bucket, streams)| {
      let name = format!("{bucket}/{writer}-{number:x}").into();
      (name, OriginBatch::new(streams, now_ms))
    });
    Some(OriginWrite {
      batches: batches.collect(),
      streams,
    })
  }

  /// The first streams, of as many buckets as one write can have.
  fn take_streams(&mut self) -> Vec<Waiting> {
    let mut buckets = BTreeSet::new();
    let mut taken = Vec::new();
    self.waiting.retain(|waiting| {
      let has_room = taken.len() < MAX_WRITTEN
        && (buckets.contains(&waiting.bucket) || buckets.len() < MAX_CHANGED_KEYS);
      if has_room {
        buckets.insert(waiting.bucket);
        taken.push(waiting.clone());
      }
      !has_room
    });
    taken
  }

  /// The store has accepted a write.
  pub fn record_success(&mut self) {
    self.failed_ms = None;
  }

  /// A write has failed: its streams are part of the next one. Returns those that have failed before, which another box may write.
  pub fn record_failure(&mut self, write: OriginWrite, now_ms: u64) -> Vec<BegunStream> {
    self.failed_ms = Some(now_ms);
    let mut failed_again = Vec::new();
    for waiting in write.streams.into_iter().rev() {
      if waiting.has_failed {
        failed_again.push(waiting.stream);
      } else {
        self.waiting.push_front(Waiting {
          has_failed: true,
          ..waiting
        });
      }
    }
    failed_again
  }

  /// The lease of the next batches, whose streams may be resumed for a time; `None` if a new one is needed.
  pub fn lease(&self, lifetime_ms: u64, now_ms: u64) -> Option<StoreLease> {
    let lease = self.lease?;
    let is_usable = now_ms < lease.sent_ms + LEASE_USE_MS && lifetime_ms <= lease.lifetime_ms;
    is_usable.then_some(lease.lease)
  }

  /// The time to live of a new lease.
  ///
  /// ```
  /// use rillford::gateway::OriginWriter;
  /// assert_eq!(OriginWriter::lease_ttl_ms(24_000), 49_000);
  /// ```
  pub fn lease_ttl_ms(lifetime_ms: u64) -> u64 {
    lifetime_ms + LEASE_USE_MS + WRITE_MARGIN_MS
  }

  /// Uses a lease from now on; the former one ends with its keys by itself. `None`: the store has none such any more.
  pub fn set_lease(&mut self, lease: Option<TakenLease>) {
    self.lease = lease;
  }
}
