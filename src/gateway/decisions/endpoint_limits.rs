//! The limits that endpoints name, and the places that this box has there. Free of I/O.

use {
  super::{
    limit_book::{HeardLimit, LimitBook, LimitNews},
    place_ledger::PlaceLedger,
  },
  crate::{
    gateway::edge::{EndpointEntry, NamedLimit},
    ids::Name,
  },
};

/// From this figure on, in requests a second, it is no limit.
const NO_LIMIT_PER_S: f64 = 1e6;

/// Endpoints' words and this box's places.
#[derive(Debug, Default)]
pub struct EndpointLimits {
  words: LimitBook,
  places: PlaceLedger,
  /// Whether the words decide nothing.
  is_ignoring: bool,
}

impl EndpointLimits {
  /// Limits that are written down and decide nothing.
  pub fn ignoring() -> Self {
    Self {
      is_ignoring: true,
      ..Self::default()
    }
  }

  /// Whether any word decides something.
  pub fn are_heeded(&self) -> bool {
    !self.is_ignoring && !self.words.is_empty()
  }

  /// The requests a second that a life of an endpoint takes of all boxes together, if it names a limit that is heeded.
  pub fn per_s(&self, entry: &EndpointEntry) -> Option<f64> {
    if self.is_ignoring {
      return None;
    }
    self
      .words
      .per_s(entry)
      .filter(|per_s| *per_s < NO_LIMIT_PER_S)
  }

  /// A life's newest word, if it has named a limit.
  pub fn heard(&self, entry: &EndpointEntry) -> Option<HeardLimit> {
    self.words.heard(entry)
  }

  /// The newest word of a life that this box may not list.
  pub fn heard_of(&self, id: &str, born_ms: Option<u64>) -> Option<HeardLimit> {
    self.words.heard_of(id, born_ms)
  }

  /// How long there is no place for this box at an endpoint; 0 when there may be one.
  pub fn closed_for_ms(&self, entry: &EndpointEntry, now_ms: u64) -> u64 {
    match self.per_s(entry) {
      Some(_) => self.places.closed_for_ms(&entry.id, now_ms),
      None => 0,
    }
  }

  /// Takes over what an answer says, to something that was sent at a time.
  pub fn note_answer(
    &mut self,
    entry: &EndpointEntry,
    said: NamedLimit,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitNews {
    let news = self.words.note_answer(entry, said, sent_ms, now_ms);
    self.note_news(&entry.id, news)
  }

  /// Takes over a word that another box heard, if it is newer.
  pub fn note_told(&mut self, id: &Name, born_ms: Option<u64>, limit: HeardLimit) -> LimitNews {
    let news = self.words.note_told(id, born_ms, limit);
    self.note_news(id, news)
  }

  /// This box's places.
  pub fn places(&mut self) -> &mut PlaceLedger {
    &mut self.places
  }

  /// Forgets what no longer counts.
  pub fn forget_old(&mut self, now_ms: u64) {
    self.words.forget_old(now_ms);
    self.places.forget_old(now_ms);
  }

  /// The endpoints that name a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, HeardLimit)> {
    self.words.named()
  }

  /// What is known of places is of the limit that has ended, or of an earlier life.
  fn note_news(&mut self, id: &Name, news: LimitNews) -> LimitNews {
    if matches!(news, LimitNews::Begins | LimitNews::Ends) {
      self.places.open(id);
    }
    news
  }
}
