//! The streams whose origins this box still has to send to the boxes that write them.

use {
  super::{batch::BegunStream, bucket::OriginBucket},
  std::collections::VecDeque,
};

/// Time between two messages: streams that begin meanwhile share one, and a box sends no more than ten a second.
pub const ORIGIN_SEND_INTERVAL_MS: u64 = 100;
/// Streams that wait; the oldest are dropped.
const MAX_WAITING: usize = 4_000;
/// Streams in a message.
const MAX_IN_MESSAGE: usize = 400;

/// Streams in the order in which they began.
///
/// ```
/// use rillford::gateway::{BegunStream, OriginOutbox, SoftwareVersion, StreamKey, StreamOrigin};
/// let origin = StreamOrigin { service: "llm".into(), version: SoftwareVersion::new("v1") };
/// let mut outbox = OriginOutbox::default();
/// for id in ["r-1", "r-2"] {
///   outbox.put(BegunStream { key: StreamKey::of(None, id), origin: origin.clone(), expires_ms: 24_000 });
/// }
/// let (_, streams) = outbox.take(8).unwrap();
/// assert_eq!(streams.len(), 2);
/// assert!(outbox.take(8).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginOutbox {
  waiting: VecDeque<BegunStream>,
}

impl OriginOutbox {
  /// Adds a stream; returns the number of those that are dropped.
  pub fn put(&mut self, stream: BegunStream) -> u64 {
    self.waiting.push_back(stream);
    if self.waiting.len() <= MAX_WAITING {
      return 0;
    }
    self.waiting.pop_front();
    1
  }

  /// The next message: the streams of the bucket that has waited for longest. `boxes` are listed.
  pub fn take(&mut self, boxes: usize) -> Option<(OriginBucket, Vec<BegunStream>)> {
    let bucket = OriginBucket::of(&self.waiting.front()?.key, boxes);
    let mut taken = Vec::new();
    self.waiting.retain(|stream| {
      let is_taken = taken.len() < MAX_IN_MESSAGE && OriginBucket::of(&stream.key, boxes) == bucket;
      if is_taken {
        taken.push(stream.clone());
      }
      !is_taken
    });
    Some((bucket, taken))
  }
}
