//! What endpoints name as the requests a second that they take of all boxes together. Free of I/O.
//!
//! Load pattern: an endpoint in need names a figure below one request a second of each box, changes it with each answer, and
//! answers to many boxes cross on their way. Its word holds as long as it says so; what counts is the newest word of which the
//! order is known, of whichever box heard it.

use {
  crate::{
    gateway::edge::{EndpointEntry, NamedLimit},
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
pub struct AdvertisedLimit {
  /// Requests a second that it takes of all boxes together; nothing when it has ceased to name a limit.
  pub per_s: Option<f64>,
  /// When it was heard, by whichever box.
  pub received_ms: u64,
  /// Who heard it.
  pub source: LimitSource,
}

impl AdvertisedLimit {
  /// The figure; above all others when there is none.
  pub(super) fn per_s_or_infinite(&self) -> f64 {
    self.per_s.unwrap_or(f64::INFINITY)
  }
}

/// What is new in an endpoint's word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
  /// Nothing.
  Unchanged,
  /// It names a limit, and did not before.
  Started,
  /// It names another figure than this one.
  Changed(f64),
  /// It names none any more.
  Ended,
}

/// What one life of an endpoint has named.
#[derive(Clone, Debug)]
struct Noted {
  born_ms: Option<u64>,
  limit: AdvertisedLimit,
  /// When a limit was last heard, whatever was heard since.
  named_ms: u64,
}

/// The endpoints' advertised, by id; that of an earlier life counts for nothing.
#[derive(Debug, Default)]
pub struct AdvertisedLimits {
  noted: HashMap<Name, Noted>,
}

impl AdvertisedLimits {
  /// Whether no endpoint has named a limit.
  pub fn is_empty(&self) -> bool {
    self.noted.is_empty()
  }

  /// The newest word of a life of an endpoint, if it has named a limit.
  pub fn advertised(&self, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
    self.advertised_by(&entry.id, entry.born_ms)
  }

  /// The same of a life that may not be listed.
  pub fn advertised_by(&self, id: &str, born_ms: Option<u64>) -> Option<AdvertisedLimit> {
    self.noted(id, born_ms).map(|noted| noted.limit)
  }

  /// The limit that a life of an endpoint names.
  pub fn per_s(&self, entry: &EndpointEntry) -> Option<f64> {
    self.advertised(entry)?.per_s
  }

  /// Takes over what an answer says, to something that was sent at a time.
  pub fn record_response(
    &mut self,
    entry: &EndpointEntry,
    said: NamedLimit,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitChange {
    let before = self.noted(&entry.id, entry.born_ms).cloned();
    let per_s = match (said, before) {
      (NamedLimit::Unreadable, _) | (NamedLimit::Unsaid, None) => return LimitChange::Unchanged,
      (NamedLimit::Unsaid, Some(before)) if !before.may_end(sent_ms, now_ms) => {
        return LimitChange::Unchanged;
      }
      (NamedLimit::Unsaid, Some(_)) => None,
      // Both answers were on their way at once, and nobody knows which the endpoint gave first.
      (NamedLimit::PerS(said), Some(before)) if sent_ms < before.limit.received_ms => {
        Some(before.limit.per_s.map_or(said, |known| known.min(said)))
      }
      (NamedLimit::PerS(said), _) => Some(said),
    };
    let limit = AdvertisedLimit {
      received_ms: now_ms,
      per_s,
      source: LimitSource::Answer,
    };
    self.put(&entry.id, entry.born_ms, limit)
  }

  /// Takes over a word that another box heard, if it is newer.
  pub fn record_reported(
    &mut self,
    id: &Name,
    born_ms: Option<u64>,
    limit: AdvertisedLimit,
  ) -> LimitChange {
    let is_newer = self
      .noted(id, born_ms)
      .is_none_or(|noted| limit.received_ms > noted.limit.received_ms);
    if !is_newer {
      return LimitChange::Unchanged;
    }
    self.put(id, born_ms, limit)
  }

  /// Forgets the advertised that nobody has heard again for long.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .noted
      .retain(|_, noted| now_ms < noted.limit.received_ms + MOST_KEPT_MS);
  }

  /// The endpoints that name a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, AdvertisedLimit)> {
    let limits = self.noted.iter().map(|(id, noted)| (id, noted.limit));
    limits.filter(|(_, limit)| limit.per_s.is_some())
  }

  fn noted(&self, id: &str, born_ms: Option<u64>) -> Option<&Noted> {
    self.noted.get(id).filter(|noted| noted.born_ms == born_ms)
  }

  fn put(&mut self, id: &Name, born_ms: Option<u64>, limit: AdvertisedLimit) -> LimitChange {
    let before = self.noted(id, born_ms);
    let named_ms = match (limit.per_s, before) {
      (None, Some(before)) => before.named_ms,
      _ => limit.received_ms,
    };
    let news = LimitChange::between(before.and_then(|noted| noted.limit.per_s), limit.per_s);
    let noted = Noted {
      born_ms,
      limit,
      named_ms,
    };
    self.noted.insert(id.clone(), noted);
    news
  }
}

impl LimitChange {
  fn between(before: Option<f64>, after: Option<f64>) -> Self {
    match (before, after) {
      (None, None) => Self::Unchanged,
      (None, Some(_)) => Self::Started,
      (Some(_), None) => Self::Ended,
      (Some(before), Some(after)) if before == after => Self::Unchanged,
      (Some(before), Some(_)) => Self::Changed(before),
    }
  }
}

impl Noted {
  /// Whether an answer without a limit ends it: the endpoint gave that answer after the word, and has not named one for a while.
  fn may_end(&self, sent_ms: u64, now_ms: u64) -> bool {
    sent_ms > self.named_ms && now_ms >= self.named_ms + REPEATED_MS
  }
}
