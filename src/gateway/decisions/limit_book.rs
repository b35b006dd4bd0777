//! What endpoints name as the requests a second that they take of all boxes together. Free of I/O.
//!
//! Load pattern: an endpoint in need names a figure below one request a second of each box, changes it with each answer, and
//! answers to many boxes cross on their way. Its word holds as long as it says so; what counts is the newest word of which the
//! order is known, of whichever box heard it.

use {
  crate::{
    gateway::edge::{EndpointEntry, LimitHeader},
    ids::Name,
  },
  std::collections::HashMap,
};

/// A word that answers repeat on and off holds for so long after each.
const REPEATED_MS: u64 = 1_000;
/// A word is kept for so long without an answer of the endpoint: nobody asks there, or its entry has gone.
const MOST_KEPT_MS: u64 = 10 * 60 * 1_000;

/// Who heard an endpoint's word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSource {
  /// This box, in an answer of the endpoint.
  Answer,
  /// Another box.
  Box,
  /// It is cold: the configuration says what it carries.
  Cold,
}

/// An endpoint's newest word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeardLimit {
  /// Requests a second that it takes of all boxes together; nothing when it has ceased to name a limit.
  pub per_s: Option<f64>,
  /// When it was heard, by whichever box.
  pub heard_ms: u64,
  /// Who heard it.
  pub source: LimitSource,
}

impl HeardLimit {
  /// The figure; above all others when there is none.
  pub(super) fn per_s_or_infinite(&self) -> f64 {
    self.per_s.unwrap_or(f64::INFINITY)
  }
}

/// What is new in an endpoint's word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNews {
  /// Nothing.
  Nothing,
  /// It names a limit, and did not before.
  Begins,
  /// It names another figure than this one.
  Changes(f64),
  /// It names none any more.
  Ends,
}

/// What one life of an endpoint has named.
#[derive(Clone, Debug)]
struct Noted {
  started_ms: Option<u64>,
  limit: HeardLimit,
  /// When a limit was last heard, whatever was heard since.
  named_ms: u64,
}

/// The endpoints' words, by id; that of an earlier life counts for nothing.
#[derive(Debug, Default)]
pub struct LimitBook {
  noted: HashMap<Name, Noted>,
}

impl LimitBook {
  /// Whether no endpoint has named a limit.
  pub fn is_empty(&self) -> bool {
    self.noted.is_empty()
  }

  /// The newest word of a life of an endpoint, if it has named a limit.
  pub fn heard(&self, entry: &EndpointEntry) -> Option<HeardLimit> {
    self.heard_of(&entry.id, entry.started_ms)
  }

  /// The same of a life that may not be listed.
  pub fn heard_of(&self, id: &str, started_ms: Option<u64>) -> Option<HeardLimit> {
    self.noted(id, started_ms).map(|noted| noted.limit)
  }

  /// The limit that a life of an endpoint names.
  pub fn per_s(&self, entry: &EndpointEntry) -> Option<f64> {
    self.heard(entry)?.per_s
  }

  /// Takes over what an answer says, to something that was sent at a time.
  pub fn note_answer(
    &mut self,
    entry: &EndpointEntry,
    said: LimitHeader,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitNews {
    let before = self.noted(&entry.id, entry.started_ms).cloned();
    let per_s = match (said, before) {
      (LimitHeader::Unreadable, _) | (LimitHeader::Absent, None) => return LimitNews::Nothing,
      (LimitHeader::Absent, Some(before)) if !before.may_end(sent_ms, now_ms) => {
        return LimitNews::Nothing;
      }
      (LimitHeader::Absent, Some(_)) => None,
      // Both answers were on their way at once, and nobody knows which the endpoint gave first.
      (LimitHeader::PerSecond(said), Some(before)) if sent_ms < before.limit.heard_ms => {
        Some(before.limit.per_s.map_or(said, |known| known.min(said)))
      }
      (LimitHeader::PerSecond(said), _) => Some(said),
    };
    let limit = HeardLimit {
      heard_ms: now_ms,
      per_s,
      source: LimitSource::Answer,
    };
    self.put(&entry.id, entry.started_ms, limit)
  }

  /// Takes over a word that another box heard, if it is newer.
  pub fn note_told(&mut self, id: &Name, started_ms: Option<u64>, limit: HeardLimit) -> LimitNews {
    let is_newer = self
      .noted(id, started_ms)
      .is_none_or(|noted| limit.heard_ms > noted.limit.heard_ms);
    if !is_newer {
      return LimitNews::Nothing;
    }
    self.put(id, started_ms, limit)
  }

  /// Forgets the words that nobody has heard again for long.
  pub fn forget_old(&mut self, now_ms: u64) {
    self
      .noted
      .retain(|_, noted| now_ms < noted.limit.heard_ms + MOST_KEPT_MS);
  }

  /// The endpoints that name a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, HeardLimit)> {
    let limits = self.noted.iter().map(|(id, noted)| (id, noted.limit));
    limits.filter(|(_, limit)| limit.per_s.is_some())
  }

  fn noted(&self, id: &str, started_ms: Option<u64>) -> Option<&Noted> {
    self
      .noted
      .get(id)
      .filter(|noted| noted.started_ms == started_ms)
  }

  fn put(&mut self, id: &Name, started_ms: Option<u64>, limit: HeardLimit) -> LimitNews {
    let before = self.noted(id, started_ms);
    let named_ms = match (limit.per_s, before) {
      (None, Some(before)) => before.named_ms,
      _ => limit.heard_ms,
    };
    let news = LimitNews::between(before.and_then(|noted| noted.limit.per_s), limit.per_s);
    let noted = Noted {
      started_ms,
      limit,
      named_ms,
    };
    self.noted.insert(id.clone(), noted);
    news
  }
}

impl LimitNews {
  fn between(before: Option<f64>, after: Option<f64>) -> Self {
    match (before, after) {
      (None, None) => Self::Nothing,
      (None, Some(_)) => Self::Begins,
      (Some(_), None) => Self::Ends,
      (Some(before), Some(after)) if before == after => Self::Nothing,
      (Some(before), Some(_)) => Self::Changes(before),
    }
  }
}

impl Noted {
  /// Whether an answer without a limit ends it: the endpoint gave that answer after the word, and has not named one for a while.
  fn may_end(&self, sent_ms: u64, now_ms: u64) -> bool {
    sent_ms > self.named_ms && now_ms >= self.named_ms + REPEATED_MS
  }
}
