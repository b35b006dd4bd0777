//! Where some streams began, in a compact form.

use {
  crate::gateway::decisions::{stream_key::StreamKey, stream_records::StreamOrigin},
  serde::{Deserialize, Serialize},
};

/// A stream that has begun.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BegunStream {
  pub key: StreamKey,
  pub origin: StreamOrigin,
  /// Until then its caller may resume it, on the box's clock.
  pub expires_ms: u64,
}

/// A stream of a batch that was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredStream {
  pub key: StreamKey,
  pub origin: StreamOrigin,
  /// The time for which its caller could resume it when the batch was written.
  pub remaining_ms: u64,
}

/// Streams and where they began: each origin is in it once.
///
/// ```
/// use rillford::gateway::{BegunStream, OriginBatch, SoftwareVersion, StreamKey, StreamOrigin};
/// let origin = StreamOrigin { service: "llm".into(), version: SoftwareVersion::new("v1") };
/// let begun = BegunStream { key: StreamKey::of(None, "r-1"), origin, expires_ms: 24_000 };
/// let batch = OriginBatch::new([&begun], 1_500);
/// let stored = batch.streams().next().unwrap();
/// assert_eq!((stored.key, stored.origin, stored.remaining_ms), (begun.key, begun.origin, 23_000));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginBatch {
  origins: Vec<StreamOrigin>,
  streams: Vec<Entry>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
  key: StreamKey,
  /// Index of its origin.
  origin: u32,
  /// Rounded up.
  remaining_s: u32,
}

impl OriginBatch {
  /// A batch that is sent or written now.
  pub fn new<'a>(streams: impl IntoIterator<Item = &'a BegunStream>, now_ms: u64) -> Self {
    let mut batch = Self::default();
    for stream in streams {
      let origin = batch.index_of(&stream.origin);
      let remaining_s = stream.expires_ms.saturating_sub(now_ms).div_ceil(1_000);
      batch.streams.push(Entry {
        key: stream.key,
        origin,
        remaining_s: u32::try_from(remaining_s).unwrap_or(u32::MAX),
      });
    }
    batch
  }

  fn index_of(&mut self, origin: &StreamOrigin) -> u32 {
    let known = self.origins.iter().position(|known| known == origin);
    let index = known.unwrap_or_else(|| {
      self.origins.push(origin.clone());
      self.origins.len() - 1
    });
    u32::try_from(index).unwrap_or(u32::MAX)
  }

  /// The streams; those without an origin are left out.
  pub fn streams(&self) -> impl Iterator<Item = StoredStream> {
    self.streams.iter().filter_map(|entry| {
      let origin = self.origins.get(usize::try_from(entry.origin).ok()?)?;
      Some(StoredStream {
        key: entry.key,
        origin: origin.clone(),
        remaining_ms: u64::from(entry.remaining_s) * 1_000,
      })
    })
  }
}
