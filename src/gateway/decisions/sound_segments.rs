//! The prompt segments on which endpoints answered lately. Free of I/O.
//!
//! Load pattern: one segment crashes each engine that begins to answer on it. Sound requests share the caller and all other
//! segments with those that crash, and a crash hits all streams of an engine. A segment on which engines answer is not what
//! crashes them.
//!
//! Limits: an answer counts for some seconds, since a segment that was sound may crash a new release.

use {
  super::fingerprint::Fingerprint,
  std::collections::{HashMap, VecDeque},
};

/// How long an answer shows that a segment is sound.
const VALIDITY_MS: u64 = 30_000;
/// A segment is recorded again after this time.
const REFRESH_MS: u64 = 1_000;
/// Segments that are remembered, about 1.3 MB; the ones that were recorded first are forgotten before their time.
const MAX_SEGMENTS: usize = 16_384;

/// The segments on which endpoints answered lately.
///
/// ```
/// use rillford::gateway::{Fingerprint, SegmentIdentity, SoundSegments};
/// let segment = Fingerprint::of_segment(SegmentIdentity { organisation: None, service: "llm", segment: "91bd3f06" });
/// let mut sound = SoundSegments::default();
/// assert!(!sound.contains(segment, 0));
/// sound.record(segment, 1_000);
/// assert!(sound.contains(segment, 2_000));
/// assert!(!sound.contains(segment, 60_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SoundSegments {
  answered_ms: HashMap<Fingerprint, u64>,
  /// The same in the order of time, with times that were replaced since.
  by_time: VecDeque<(u64, Fingerprint)>,
  forgotten: u64,
}

impl SoundSegments {
  /// Records that an endpoint answered on a segment.
  pub fn record(&mut self, segment: Fingerprint, now_ms: u64) {
    let answered_ms = self.answered_ms.get(&segment);
    if answered_ms.is_some_and(|answered_ms| now_ms < answered_ms + REFRESH_MS) {
      return;
    }
    self.answered_ms.insert(segment, now_ms);
    self.by_time.push_back((now_ms, segment));
    while self.has_expired_first(now_ms) {
      self.remove_first();
    }
    while self.answered_ms.len() > MAX_SEGMENTS {
      self.forgotten += u64::from(self.remove_first());
    }
  }

  /// When an endpoint last answered on a segment; `None` when that is too long ago.
  pub fn answered_ms(&self, segment: Fingerprint, now_ms: u64) -> Option<u64> {
    let answered_ms = self.answered_ms.get(&segment).copied();
    answered_ms.filter(|answered_ms| now_ms < answered_ms + VALIDITY_MS)
  }

  /// Whether an endpoint answered on a segment lately.
  pub fn contains(&self, segment: Fingerprint, now_ms: u64) -> bool {
    self.answered_ms(segment, now_ms).is_some()
  }

  pub fn len(&self) -> usize {
    self.answered_ms.len()
  }

  pub fn is_empty(&self) -> bool {
    self.answered_ms.is_empty()
  }

  /// The number of segments that were forgotten for lack of room: a crash may be attributed to them although they are sound.
  pub fn forgotten(&self) -> u64 {
    self.forgotten
  }

  fn has_expired_first(&self, now_ms: u64) -> bool {
    let first = self.by_time.front();
    first.is_some_and(|(at_ms, _)| now_ms >= at_ms + VALIDITY_MS)
  }

  /// Removes the first entry; returns whether a segment was forgotten with it.
  fn remove_first(&mut self) -> bool {
    let Some((at_ms, segment)) = self.by_time.pop_front() else {
      return false;
    };
    let is_last = self.answered_ms.get(&segment) == Some(&at_ms);
    if is_last {
      self.answered_ms.remove(&segment);
    }
    is_last
  }
}
