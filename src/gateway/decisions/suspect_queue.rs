//! The prompt segments that this box suspects of crashes and has still to write to the store. Free of I/O.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    fingerprint::Fingerprint,
    quarantine_key::{QuarantineKey, QuarantineMark},
    suspect_records::{MAX_SUSPECTS_IN_RECORD, SuspectRecord},
  },
  std::collections::{BTreeMap, BTreeSet},
};

/// Segments that may wait for the store, 1 MB; further ones are not shared.
const MAX_WAITING: usize = 65_536;

/// The segments that wait, by the crash that they are suspected of: streams that one crash interrupts share a record.
///
/// ```
/// use rillford::gateway::{EndpointIncarnation, Fingerprint, SegmentIdentity, SuspectQueue};
/// let segment = |id| Fingerprint::of_segment(SegmentIdentity { organisation: None, segment: id, service: "llm" });
/// let incarnation = EndpointIncarnation::of("e-1", Some(1));
/// let mut queue = SuspectQueue::default();
/// assert_eq!(queue.put(incarnation, &[segment("a"), segment("b")], 1_000), 0);
/// assert_eq!(queue.put(incarnation, &[segment("b")], 1_010), 0);
/// let (crashed, record) = queue.next().unwrap();
/// assert_eq!((crashed, record.segments.len(), record.written_ms), (incarnation, 2, 1_000));
/// queue.remove(crashed, &record.segments);
/// assert!(queue.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectQueue {
  waiting: BTreeMap<EndpointIncarnation, SuspectRecord>,
}

impl SuspectQueue {
  /// Adds segments that are suspected of a crash at a Unix time; returns the number of those that found no room.
  pub fn put(
    &mut self,
    incarnation: EndpointIncarnation,
    segments: &[Fingerprint],
    written_ms: u64,
  ) -> usize {
    let room = MAX_WAITING.saturating_sub(self.len());
    let taken = segments.len().min(room);
    if taken > 0 {
      let record = self.waiting.entry(incarnation);
      let record = record.or_insert_with(|| SuspectRecord {
        segments: BTreeSet::new(),
        written_ms,
      });
      record.segments.extend(&segments[..taken]);
    }
    segments.len() - taken
  }

  /// The next record to write; it stays until it is removed.
  pub fn next(&self) -> Option<(EndpointIncarnation, SuspectRecord)> {
    let (incarnation, waiting) = self.waiting.first_key_value()?;
    let segments = waiting.segments.iter().take(MAX_SUSPECTS_IN_RECORD);
    let record = SuspectRecord {
      segments: segments.copied().collect(),
      written_ms: waiting.written_ms,
    };
    Some((*incarnation, record))
  }

  /// Removes segments of a crash that were written.
  pub fn remove(&mut self, incarnation: EndpointIncarnation, segments: &BTreeSet<Fingerprint>) {
    if let Some(waiting) = self.waiting.get_mut(&incarnation) {
      waiting
        .segments
        .retain(|segment| !segments.contains(segment));
      self
        .waiting
        .retain(|_, waiting| !waiting.segments.is_empty());
    }
  }

  /// Removes segments of all crashes.
  pub fn clear(&mut self, segments: &BTreeSet<Fingerprint>) {
    self.waiting.retain(|_, waiting| {
      waiting
        .segments
        .retain(|segment| !segments.contains(segment));
      !waiting.segments.is_empty()
    });
  }

  /// Whether a mark waits.
  pub fn contains(&self, mark: QuarantineKey) -> bool {
    let QuarantineMark::Crashed(incarnation) = mark.mark else {
      return false;
    };
    let waiting = self.waiting.get(&incarnation);
    waiting.is_some_and(|waiting| waiting.segments.contains(&mark.fingerprint))
  }

  /// The number of segments that wait.
  pub fn len(&self) -> usize {
    let waiting = self.waiting.values();
    waiting.map(|waiting| waiting.segments.len()).sum()
  }

  pub fn is_empty(&self) -> bool {
    self.waiting.is_empty()
  }
}
