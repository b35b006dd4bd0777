//! Deterministic completions: the text is derived from a hash of the prompt, so that a mix-up of requests is detected.

use std::hash::{DefaultHasher, Hash, Hasher};

fn prompt_hash(prompt: &str) -> u64 {
  let mut hasher = DefaultHasher::new();
  prompt.hash(&mut hasher);
  hasher.finish() & 0xffff_ffff
}

/// One token of the completion of a prompt.
pub fn token_text(prompt: &str, index: u64) -> String {
  format!("{:08x}-{index} ", prompt_hash(prompt))
}

/// The full completion of a prompt.
///
/// ```
/// use emulator::answer_text;
/// assert_ne!(answer_text("a", 2), answer_text("b", 2));
/// ```
pub fn answer_text(prompt: &str, tokens: u64) -> String {
  (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// A token of fixed length that carries the current time in microseconds since the Unix epoch.
pub(crate) fn stamped_token(index: u64) -> String {
  format!("{:016}-{index:06} ", unix_us())
}

/// Current time in microseconds since the Unix epoch.
pub(crate) fn unix_us() -> u64 {
  std::time::SystemTime::now()
    .duration_since(std::time::UNIX_EPOCH)
    .map_or(0, |since| u64::try_from(since.as_micros()).unwrap_or(0))
}
