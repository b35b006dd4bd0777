//! Splits a byte stream into server-sent events, so that an interrupted stream ends between two of them.

use {
  super::event_block::{BlockKind, has_field, ignored_names, ignored_names_of, lines},
  bytes::{Bytes, BytesMut},
};

/// The longest event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// What a piece of an event counts in addition to its bytes, since handling many small ones takes long.
const PIECE_OVERHEAD_BYTES: usize = 64;
/// The end of a line, and the longest blank line.
const LONGEST_END_BYTES: usize = 3;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
  /// The bytes as received, including the blank line.
  pub bytes: Bytes,
  /// Its id; `None` when it is missing or not a number.
  pub id: Option<u64>,
}

impl SseEvent {
  /// What the block of lines is.
  pub(super) fn kind(&self) -> BlockKind {
    BlockKind::of(&self.bytes)
  }

  /// Whether it has data; one without is a comment, or has no effect on what the caller gets.
  #[must_use]
  pub fn has_data(&self) -> bool {
    lines(&self.bytes).any(|line| line.starts_with(b"data"))
  }

  /// Whether it has an id that is no number.
  pub(super) fn has_unreadable_id(&self) -> bool {
    let mut lines = lines(&self.bytes);
    let id = lines.find_map(|line| line.strip_prefix(b"id:"));
    self.id.is_none() && id.is_some_and(|id| !id.trim_ascii().is_empty())
  }

  /// The names of its lines that readers ignore.
  pub(super) fn ignored_names(&self) -> impl Iterator<Item = &[u8]> {
    ignored_names(&self.bytes)
  }

  /// The names of its lines that readers ignore and that hold a number.
  pub(super) fn ignored_names_of(&self, number: u64) -> impl Iterator<Item = &[u8]> {
    ignored_names_of(&self.bytes, number)
  }
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
/// splitter.push(b"ta: b\n\n\n\n\nid: 9");
/// assert_eq!(splitter.next_event().unwrap().id, Some(8));
/// assert_eq!(&splitter.next_event().unwrap().bytes[..], b"\n\n\n");
/// ```
#[derive(Clone, Debug, Default)]
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

  /// Removes and returns the next complete event, or all blank lines before it at once.
  pub fn next_event(&mut self) -> Option<SseEvent> {
    let Some(length) = event_length(&self.buffer[self.searched_bytes..]) else {
      // An end may begin with the last bytes.
      self.searched_bytes = (self.buffer.len() + 1).saturating_sub(LONGEST_END_BYTES);
      return None;
    };
    let length = self.searched_bytes + length;
    let blank_bytes = blank_bytes(&self.buffer);
    let length = if blank_bytes >= length {
      blank_bytes
    } else {
      length
    };
    let bytes = self.buffer.split_to(length).freeze();
    self.searched_bytes = 0;
    self.pieces = 0;
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

  /// Whether the incomplete block at the end has no field of an event.
  pub(super) fn lacks_fields(&self) -> bool {
    !self.buffer.is_empty() && !has_field(&self.buffer)
  }

  /// What the incomplete block at the end is; `None` without one.
  pub(super) fn partial_kind(&self) -> Option<BlockKind> {
    let has_lines = lines(&self.buffer).any(|line| !line.is_empty());
    has_lines.then(|| BlockKind::of(&self.buffer))
  }

  /// Removes and returns blank lines at the end.
  pub(super) fn take_blank_lines(&mut self) -> Bytes {
    self.searched_bytes = 0;
    let rest = self.buffer.split().freeze();
    let is_blank = lines(&rest).all(<[u8]>::is_empty);
    if is_blank { rest } else { Bytes::new() }
  }
}

/// The length of the first complete event. Its lines end with LF, CR LF or CR.
fn event_length(bytes: &[u8]) -> Option<usize> {
  bytes.iter().enumerate().find_map(|(at, byte)| {
    let line_end = at + 1;
    let blank_line_bytes = match (byte, &bytes[line_end..]) {
      (b'\n', [b'\n', ..]) => 1,
      (b'\n' | b'\r', [b'\r', b'\n', ..]) => 2,
      (b'\r', [b'\r', ..]) => 1,
      _ => return None,
    };
    Some(line_end + blank_line_bytes)
  })
}

/// The length of the blank lines at the beginning.
fn blank_bytes(bytes: &[u8]) -> usize {
  let is_end = |byte: &&u8| matches!(byte, b'\n' | b'\r');
  bytes.iter().take_while(is_end).count()
}

fn event_id(bytes: &[u8]) -> Option<u64> {
  let id = lines(bytes).find_map(|line| line.strip_prefix(b"id:"))?;
  std::str::from_utf8(id).ok()?.trim().parse().ok()
}
