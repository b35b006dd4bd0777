//! Finds the events in the body of an answer.

/// Finds the events in the body of an answer, as it grows.
#[derive(Debug, Default)]
pub(super) struct EventReader {
  /// Bytes of the body up to the end of the last whole event.
  read_bytes: usize,
  /// Number of whole events.
  pub(super) count: usize,
  /// Id of the last whole event.
  pub(super) last_id: Option<u64>,
}

impl EventReader {
  /// Reads the events that have become whole. Returns whether there are any.
  pub(super) fn read(&mut self, body: &[u8]) -> bool {
    let before = self.count;
    while let Some(length) = event_length(&body[self.read_bytes..]) {
      let event = &body[self.read_bytes..self.read_bytes + length];
      self.read_bytes += length;
      if let Some(id) = event_id(event) {
        self.count += 1;
        self.last_id = Some(id);
      }
    }
    self.count > before
  }

  /// Whether a body ends within an event.
  pub(super) fn ends_within_event(&self, body: &[u8]) -> bool {
    body.len() > self.read_bytes
  }
}

/// The length of the first event with its blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
  let ends = [&b"\n\n"[..], b"\r\n\r\n"];
  let ends = ends.into_iter().filter_map(|end| {
    let at = bytes.windows(end.len()).position(|window| window == end)?;
    Some(at + end.len())
  });
  ends.min()
}

fn event_id(event: &[u8]) -> Option<u64> {
  let text = String::from_utf8_lossy(event);
  text
    .lines()
    .find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}
