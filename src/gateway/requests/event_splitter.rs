//! Splits a byte stream into server-sent events, so that an interrupted stream ends between two of them.

use bytes::{Bytes, BytesMut};

/// The longest event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// What a piece of an event counts in addition to its bytes, since handling many small ones takes long.
const PIECE_OVERHEAD_BYTES: usize = 64;
/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
  /// The bytes as received, including the blank line.
  pub bytes: Bytes,
  /// Its id; `None` when it is missing or not a number.
  pub id: Option<u64>,
}

/// Buffers the incomplete event at the end of the stream.
///
/// ```
/// use rillford::gateway::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 7\ndata: a\n\nid: 8\nda");
/// let event = splitter.next_event().unwrap();
/// assert_eq!(event.id, Some(7));
/// assert!(splitter.next_event().is_none());
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
  buffer: BytesMut,
  /// Where the search for the event's end goes on: no end begins before.
  searched_bytes: usize,
  /// Pieces that were received since an event ended.
  pieces: usize,
}

impl EventSplitter {
  /// Appends received bytes.
  pub fn push(&mut self, bytes: &[u8]) {
    self.buffer.extend_from_slice(bytes);
    self.pieces += 1;
  }

  /// Removes and returns the next complete event.
  pub fn next_event(&mut self) -> Option<SseEvent> {
    let unsearched = &self.buffer[self.searched_bytes..];
    let found = unsearched
      .windows(EVENT_END.len())
      .position(|window| window == EVENT_END);
    let Some(found) = found else {
      // An end may begin with the last bytes.
      self.searched_bytes = (self.buffer.len() + 1).saturating_sub(EVENT_END.len());
      return None;
    };
    let end = self.searched_bytes + found + EVENT_END.len();
    self.searched_bytes = 0;
    self.pieces = 0;
    let bytes = self.buffer.split_to(end).freeze();
    let id = event_id(&bytes);
    Some(SseEvent { bytes, id })
  }

  /// Whether an incomplete event is buffered.
  pub fn has_partial_event(&self) -> bool {
    !self.buffer.is_empty()
  }

  /// Whether the incomplete event exceeds the longest event, or arrives in too many pieces.
  pub fn is_overlong(&self) -> bool {
    self.buffer.len() + self.pieces * PIECE_OVERHEAD_BYTES > MAX_EVENT_BYTES
  }

  /// Removes and returns the incomplete event.
  pub fn take_partial_event(&mut self) -> Bytes {
    self.searched_bytes = 0;
    self.buffer.split().freeze()
  }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
  let text = std::str::from_utf8(bytes).ok()?;
  let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
  id.trim().parse().ok()
}
