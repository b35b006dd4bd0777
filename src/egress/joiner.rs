//! Reassembles a response from chunks by byte offset, tolerating late, duplicate and reordered chunks.

use {
  crate::{
    endpoint_api::{DecodeChunk, FinishReason},
    ids::AttemptId,
  },
  std::collections::BTreeMap,
};

const MAX_BUFFERED_CHUNKS: usize = 64;

/// The result of adding a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Joined {
  /// Text to deliver now.
  Text(String),
  /// Nothing to deliver: the chunk is a duplicate, or bytes before it are missing.
  Nothing,
  /// The chunk contradicts the text delivered so far or exceeds the buffer; the stream is unusable.
  Invalid,
}

/// Reassembles the response to one request, over all its attempts.
///
/// Offsets count bytes from the start of the whole response.
///
/// ```
/// use rillford::{egress::{Joined, Joiner}, endpoint_api::DecodeChunk, ids::AttemptId};
/// let attempt: AttemptId = "north-1/1/1/1".parse().unwrap();
/// let chunk = |offset, text: &str| DecodeChunk {
///   attempt: attempt.clone(), offset, text: text.into(), tokens: 1, finish: None,
/// };
/// let mut joiner = Joiner::default();
/// joiner.start_attempt(&attempt);
/// assert_eq!(joiner.push(chunk(2, "cd")), Joined::Nothing);
/// assert_eq!(joiner.push(chunk(0, "ab")), Joined::Text("abcd".into()));
/// assert_eq!(joiner.push(chunk(0, "ab")), Joined::Nothing);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Joiner {
  attempt: Option<AttemptId>,
  text: String,
  tokens: u64,
  buffered: BTreeMap<u64, DecodeChunk>,
  finish: Option<FinishReason>,
  end_offset: Option<u64>,
}

impl Joiner {
  /// Accepts chunks of this attempt only from now on; keeps the text delivered by earlier attempts.
  pub fn start_attempt(&mut self, attempt: &AttemptId) {
    self.attempt = Some(attempt.clone());
    self.buffered.clear();
    self.end_offset = None;
    self.finish = None;
  }

  /// Ignores all chunks until the next attempt starts.
  pub fn abandon_attempt(&mut self) {
    self.attempt = None;
  }

  /// Adds a chunk.
  pub fn push(&mut self, chunk: DecodeChunk) -> Joined {
    if self.attempt.as_ref() != Some(&chunk.attempt) {
      return Joined::Nothing;
    }
    if chunk.offset > self.offset() && self.buffered.len() >= MAX_BUFFERED_CHUNKS {
      return Joined::Invalid;
    }
    self.buffered.insert(chunk.offset, chunk);
    let mut delivered = String::new();
    while let Some(chunk) = self.next_chunk() {
      match self.append(&chunk) {
        Some(text) => delivered.push_str(&text),
        None => return Joined::Invalid,
      }
    }
    if self.end_offset.is_some_and(|end| end < self.offset()) {
      return Joined::Invalid;
    }
    if delivered.is_empty() {
      Joined::Nothing
    } else {
      Joined::Text(delivered)
    }
  }

  fn next_chunk(&mut self) -> Option<DecodeChunk> {
    let first = self.buffered.first_entry()?;
    if *first.key() > self.text.len() as u64 {
      return None;
    }
    Some(first.remove())
  }

  /// Appends the part of a chunk that is not delivered yet; `None` if the chunk contradicts delivered text.
  fn append(&mut self, chunk: &DecodeChunk) -> Option<String> {
    let known = usize::try_from(self.offset() - chunk.offset).ok()?;
    if let Some(finish) = chunk.finish {
      self.finish = Some(finish);
      self.end_offset = Some(chunk.offset + chunk.text.len() as u64);
    }
    let Some(new) = chunk.text.get(known..) else {
      return (known >= chunk.text.len()).then(String::new);
    };
    if new.is_empty() {
      return Some(String::new());
    }
    let begin = usize::try_from(chunk.offset).ok()?;
    if self.text.get(begin..)? != chunk.text.get(..known)? {
      return None;
    }
    self.text.push_str(new);
    self.tokens += chunk.tokens;
    Some(new.into())
  }

  /// Bytes delivered.
  pub fn offset(&self) -> u64 {
    self.text.len() as u64
  }

  /// Text delivered.
  pub fn text(&self) -> &str {
    &self.text
  }

  /// Tokens delivered.
  pub fn tokens(&self) -> u64 {
    self.tokens
  }

  /// The finish reason, once all text up to the finish marker was delivered.
  pub fn finished(&self) -> Option<FinishReason> {
    (self.end_offset == Some(self.offset()))
      .then_some(self.finish)
      .flatten()
  }
}
