//! Where streams began, as a read of the store has shown it.

use {
  super::batch::OriginBatch,
  crate::gateway::decisions::{
    stream_key::StreamKey,
    stream_records::{RecordedOrigin, StreamOrigin},
  },
  std::collections::HashMap,
};

/// Streams of a read; a box holds one read.
const MAX_STREAMS: usize = 100_000;

/// The streams of the batches of a read.
///
/// ```
/// use rillford::gateway::{
///   BegunStream, OriginBatch, RecordedOrigin, SoftwareVersion, StoredOrigins, StreamKey, StreamOrigin,
/// };
/// let origin = |version| StreamOrigin { service: "llm".into(), version: SoftwareVersion::new(version) };
/// let begun = |version| BegunStream { key: StreamKey::of(None, "r-1"), origin: origin(version), expires_ms: 5_000 };
/// let mut stored = StoredOrigins::default();
/// stored.add(&OriginBatch::new([&begun("v1")], 0), 100);
/// assert_eq!(stored.find(&begun("v1").key, 5_000), RecordedOrigin::Known(origin("v1")));
/// assert_eq!(stored.find(&begun("v1").key, 5_100), RecordedOrigin::Unknown);
/// stored.add(&OriginBatch::new([&begun("v2")], 0), 100);
/// assert_eq!(stored.find(&begun("v1").key, 5_000), RecordedOrigin::Ambiguous);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoredOrigins {
  by_key: HashMap<StreamKey, StoredOrigin>,
  expires_ms: u64,
}

#[derive(Clone, Debug)]
struct StoredOrigin {
  /// `None` if streams with the same key began at different origins.
  origin: Option<StreamOrigin>,
  /// Until then it is used, on the box's clock.
  expires_ms: u64,
}

impl StoredOrigins {
  /// Adds a batch that was read. Its age is unknown: it counts as though it had just been written.
  pub fn add(&mut self, batch: &OriginBatch, read_ms: u64) {
    for stream in batch.streams() {
      let expires_ms = read_ms + stream.remaining_ms;
      self.expires_ms = self.expires_ms.max(expires_ms);
      if let Some(known) = self.by_key.get_mut(&stream.key) {
        known.expires_ms = known.expires_ms.max(expires_ms);
        known.origin.take_if(|origin| *origin != stream.origin);
      } else if self.by_key.len() < MAX_STREAMS {
        let origin = Some(stream.origin);
        let stored = StoredOrigin { origin, expires_ms };
        self.by_key.insert(stream.key, stored);
      }
    }
  }

  /// Where a stream began.
  pub fn find(&self, key: &StreamKey, now_ms: u64) -> RecordedOrigin {
    match self.by_key.get(key) {
      Some(stored) if now_ms < stored.expires_ms => {
        let origin = stored.origin.clone();
        origin.map_or(RecordedOrigin::Ambiguous, RecordedOrigin::Known)
      }
      _ => RecordedOrigin::Unknown,
    }
  }

  /// The number of streams.
  pub fn len(&self) -> usize {
    self.by_key.len()
  }

  /// Whether there is none.
  pub fn is_empty(&self) -> bool {
    self.by_key.is_empty()
  }

  /// When the last of them is used no more.
  pub fn expires_ms(&self) -> u64 {
    self.expires_ms
  }
}
