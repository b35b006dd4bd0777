//! Reserved time windows of one link. A reservation far ahead does not delay a transfer that fits before it.

use std::collections::BTreeMap;

/// Reserved windows of a link: start to end, in milliseconds.
///
/// ```
/// use rillford::decide::LinkWindows;
/// let mut windows = LinkWindows::default();
/// assert_eq!(windows.reserve(0, 5_000, 100), 5_000);
/// assert_eq!(windows.reserve(0, 200, 100), 200);
/// assert_eq!(windows.reserve(0, 250, 100), 300);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LinkWindows {
  reserved: BTreeMap<u64, u64>,
}

impl LinkWindows {
  /// Reserves the first free window of a length that starts no earlier than requested; returns its start.
  pub fn reserve(&mut self, now_ms: u64, requested_ms: u64, length_ms: u64) -> u64 {
    self.reserved.retain(|_, end_ms| *end_ms > now_ms);
    let mut start_ms = requested_ms;
    for (reserved_ms, end_ms) in &self.reserved {
      if *reserved_ms >= start_ms + length_ms {
        break;
      }
      start_ms = start_ms.max(*end_ms);
    }
    if length_ms > 0 {
      self.reserved.insert(start_ms, start_ms + length_ms);
    }
    start_ms
  }
}
