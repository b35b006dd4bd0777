//! Windows of one link, kept by time: a transfer far ahead does not hold up one that is due now.

use std::collections::BTreeMap;

/// Taken windows of a link, by their begin.
///
/// ```
/// use rillford::decide::LinkWindows;
/// let mut windows = LinkWindows::default();
/// assert_eq!(windows.take(0, 5_000, 100), 5_000);
/// assert_eq!(windows.take(0, 200, 100), 200);
/// assert_eq!(windows.take(0, 250, 100), 300);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LinkWindows {
  taken: BTreeMap<u64, u64>,
}

impl LinkWindows {
  /// Takes the first window of a length that begins no sooner than wished, and answers with its begin.
  pub fn take(&mut self, now_ms: u64, wished_ms: u64, length_ms: u64) -> u64 {
    self.taken.retain(|_, end_ms| *end_ms > now_ms);
    let mut begin_ms = wished_ms;
    for (taken_ms, end_ms) in &self.taken {
      if *taken_ms >= begin_ms + length_ms {
        break;
      }
      begin_ms = begin_ms.max(*end_ms);
    }
    if length_ms > 0 {
      self.taken.insert(begin_ms, begin_ms + length_ms);
    }
    begin_ms
  }
}
