//! What endpoints take of all boxes together, by their own word or while they are cold, and the permits that this box has there.
//! Free of I/O.

use {
  super::{
    cold_endpoints::{ColdEndpoints, ColdSpan},
    limit_book::{HeardLimit, LimitBook, LimitNews, LimitSource},
    permit_ledger::PermitLedger,
  },
  crate::{
    gateway::edge::{EndpointEntry, LimitHeader},
    ids::Name,
  },
};

/// From this figure on, in requests a second, it is no limit.
const NO_LIMIT_PER_S: f64 = 1e6;

/// Endpoints' words and this box's permits.
#[derive(Debug, Default)]
pub struct EndpointLimits {
  words: LimitBook,
  cold: ColdEndpoints,
  permits: PermitLedger,
  /// Whether limits decide nothing.
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

  /// Whether any limit decides something.
  pub fn are_heeded(&self) -> bool {
    let has_any = !self.words.is_empty() || !self.cold.is_empty();
    has_any && !self.is_ignoring
  }

  /// The requests a second that a life of an endpoint takes of all boxes together, if any limit that is heeded is in force.
  pub fn per_s(&self, entry: &EndpointEntry, now_ms: u64) -> Option<f64> {
    self.in_force(entry, now_ms)?.per_s
  }

  /// The same of a life that this box may not list.
  pub fn lowest_per_s(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<f64> {
    self.lowest_limit(id, started_ms, now_ms)?.per_s
  }

  /// The lower of the limits that are in force at a life of an endpoint: the one that it names, and what it carries while it
  /// is cold.
  pub fn in_force(&self, entry: &EndpointEntry, now_ms: u64) -> Option<HeardLimit> {
    if self.is_ignoring {
      return None;
    }
    self.lowest_limit(&entry.id, entry.started_ms, now_ms)
  }

  fn lowest_limit(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<HeardLimit> {
    let is_limit = |limit: &HeardLimit| limit.per_s.is_some_and(|per_s| per_s < NO_LIMIT_PER_S);
    let named = self.words.heard_of(id, started_ms).filter(is_limit);
    let cold = self.cold_span(id, started_ms, now_ms);
    let cold = cold.map(HeardLimit::from);
    [named, cold].into_iter().flatten().min_by(|one, other| {
      one
        .per_s_or_infinite()
        .total_cmp(&other.per_s_or_infinite())
    })
  }

  /// The span in which a life of an endpoint is cold; nothing once it is warm.
  pub fn cold_span(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<ColdSpan> {
    self.cold.span(id, started_ms, now_ms)
  }

  /// Takes over that a life of an endpoint is cold.
  pub fn note_cold(&mut self, id: &Name, started_ms: Option<u64>, span: ColdSpan) {
    if span.noted_ms < span.until_ms {
      self.cold.note(id, started_ms, span);
    }
  }

  /// A life's newest word, if it has named a limit.
  pub fn heard(&self, entry: &EndpointEntry) -> Option<HeardLimit> {
    self.words.heard(entry)
  }

  /// The newest word of a life that this box may not list.
  pub fn heard_of(&self, id: &str, started_ms: Option<u64>) -> Option<HeardLimit> {
    self.words.heard_of(id, started_ms)
  }

  /// How long there is no permit for this box at an endpoint; 0 when there may be one.
  pub fn closed_for_ms(&self, entry: &EndpointEntry, now_ms: u64) -> u64 {
    match self.per_s(entry, now_ms) {
      Some(_) => self.permits.closed_for_ms(&entry.id, now_ms),
      None => 0,
    }
  }

  /// Takes over what an answer says, to something that was sent at a time.
  pub fn note_answer(
    &mut self,
    entry: &EndpointEntry,
    said: LimitHeader,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitNews {
    let news = self.words.note_answer(entry, said, sent_ms, now_ms);
    self.note_news(&entry.id, news)
  }

  /// Takes over a word that another box heard, if it is newer.
  pub fn note_told(&mut self, id: &Name, started_ms: Option<u64>, limit: HeardLimit) -> LimitNews {
    let news = self.words.note_told(id, started_ms, limit);
    self.note_news(id, news)
  }

  /// This box's permits.
  pub fn permits(&mut self) -> &mut PermitLedger {
    &mut self.permits
  }

  /// Forgets what no longer counts.
  pub fn forget_old(&mut self, now_ms: u64) {
    self.words.forget_old(now_ms);
    self.cold.forget_old(now_ms);
    self.permits.forget_old(now_ms);
  }

  /// The endpoints that name a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, HeardLimit)> {
    self.words.named()
  }

  /// What is known of permits is of the limit that has ended, or of an earlier life.
  fn note_news(&mut self, id: &Name, news: LimitNews) -> LimitNews {
    if matches!(news, LimitNews::Begins | LimitNews::Ends) {
      self.permits.open(id);
    }
    news
  }
}

impl From<ColdSpan> for HeardLimit {
  fn from(span: ColdSpan) -> Self {
    Self {
      heard_ms: span.noted_ms,
      per_s: Some(span.per_s),
      source: LimitSource::Cold,
    }
  }
}
