//! Cuts a stream of bytes into whole events, so that a broken stream ends between two of them.

use bytes::{Bytes, BytesMut};

/// The most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// One whole event, with its bytes as they came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeEvent {
  /// The bytes, the blank line included.
  pub bytes: Bytes,
  /// Its id; nothing when it states no number.
  pub id: Option<u64>,
}

/// Holds the part of an event that has come so far.
///
/// ```
/// use rillford::gateway::EventCutter;
/// let mut cutter = EventCutter::default();
/// cutter.push(b"id: 7\ndata: a\n\nid: 8\nda");
/// let event = cutter.next_event().unwrap();
/// assert_eq!(event.id, Some(7));
/// assert!(cutter.next_event().is_none());
/// assert!(cutter.has_rest());
/// ```
#[derive(Debug, Default)]
pub struct EventCutter {
  rest: BytesMut,
}

impl EventCutter {
  /// Adds bytes.
  pub fn push(&mut self, bytes: &[u8]) {
    self.rest.extend_from_slice(bytes);
  }

  /// The next whole event.
  pub fn next_event(&mut self) -> Option<WholeEvent> {
    let end = self
      .rest
      .windows(EVENT_END.len())
      .position(|window| window == EVENT_END)?;
    let bytes = self.rest.split_to(end + EVENT_END.len()).freeze();
    let id = event_id(&bytes);
    Some(WholeEvent { bytes, id })
  }

  /// Whether a part of an event is left.
  pub fn has_rest(&self) -> bool {
    !self.rest.is_empty()
  }

  /// Whether the part of an event is longer than any event may be.
  pub fn is_overlong(&self) -> bool {
    self.rest.len() > MAX_EVENT_BYTES
  }

  /// Takes the part that is left.
  pub fn take_rest(&mut self) -> Bytes {
    self.rest.split().freeze()
  }
}

/// The id that an event states; nothing when it has none, or one that is no number.
fn event_id(bytes: &[u8]) -> Option<u64> {
  let text = std::str::from_utf8(bytes).ok()?;
  let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
  id.trim().parse().ok()
}
