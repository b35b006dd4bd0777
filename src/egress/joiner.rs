//! Joining the chunks of an answer by offset: late, doubled and reordered ones do no harm.

use {
  crate::{
    endpoint_api::{DecodeChunk, FinishReason},
    ids::AttemptId,
  },
  std::collections::BTreeMap,
};

const MOST_HELD_CHUNKS: usize = 64;

/// What a chunk came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
  /// Text to deliver now.
  Text(String),
  /// Nothing new, or not yet.
  Nothing,
  /// The chunk can't be part of this answer; the stream is broken.
  Wrong,
}

/// The answer of one request, over all its attempts.
///
/// ```
/// use rillford::{egress::{Joiner, Piece}, endpoint_api::DecodeChunk, ids::AttemptId};
/// let attempt: AttemptId = "north-1/1/1/1".parse().unwrap();
/// let chunk = |offset, text: &str| DecodeChunk {
///   attempt: attempt.clone(), offset, text: text.into(), tokens: 1, finish: None,
/// };
/// let mut joiner = Joiner::default();
/// joiner.begin(&attempt);
/// assert_eq!(joiner.take(chunk(2, "cd")), Piece::Nothing);
/// assert_eq!(joiner.take(chunk(0, "ab")), Piece::Text("abcd".into()));
/// assert_eq!(joiner.take(chunk(0, "ab")), Piece::Nothing);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Joiner {
  attempt: Option<AttemptId>,
  text: String,
  tokens: u64,
  held: BTreeMap<u64, DecodeChunk>,
  finish: Option<FinishReason>,
  ends_at: Option<u64>,
}

impl Joiner {
  /// Only this attempt's chunks count from now on.
  pub fn begin(&mut self, attempt: &AttemptId) {
    self.attempt = Some(attempt.clone());
    self.held.clear();
    self.ends_at = None;
    self.finish = None;
  }

  /// No attempt's chunks count until the next begins.
  pub fn abandon(&mut self) {
    self.attempt = None;
  }

  /// Takes in a chunk.
  pub fn take(&mut self, chunk: DecodeChunk) -> Piece {
    if self.attempt.as_ref() != Some(&chunk.attempt) {
      return Piece::Nothing;
    }
    if chunk.offset > self.offset() && self.held.len() >= MOST_HELD_CHUNKS {
      return Piece::Wrong;
    }
    self.held.insert(chunk.offset, chunk);
    let mut delivered = String::new();
    while let Some(chunk) = self.next_chunk() {
      match self.append(&chunk) {
        Some(text) => delivered.push_str(&text),
        None => return Piece::Wrong,
      }
    }
    if self.ends_at.is_some_and(|end| end < self.offset()) {
      return Piece::Wrong;
    }
    if delivered.is_empty() {
      Piece::Nothing
    } else {
      Piece::Text(delivered)
    }
  }

  fn next_chunk(&mut self) -> Option<DecodeChunk> {
    let first = self.held.first_entry()?;
    if *first.key() > self.text.len() as u64 {
      return None;
    }
    Some(first.remove())
  }

  /// Appends what is new of a chunk; none if its text contradicts what was delivered.
  fn append(&mut self, chunk: &DecodeChunk) -> Option<String> {
    let known = usize::try_from(self.offset() - chunk.offset).ok()?;
    if let Some(finish) = chunk.finish {
      self.finish = Some(finish);
      self.ends_at = Some(chunk.offset + chunk.text.len() as u64);
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

  /// The text delivered.
  pub fn text(&self) -> &str {
    &self.text
  }

  /// Tokens delivered.
  pub fn tokens(&self) -> u64 {
    self.tokens
  }

  /// Why the answer ended, once all of it was delivered.
  pub fn finished(&self) -> Option<FinishReason> {
    (self.ends_at == Some(self.offset()))
      .then_some(self.finish)
      .flatten()
  }
}
