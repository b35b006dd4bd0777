//! What endpoints take of all boxes together, by their own word or while they are cold, and the permits that this box has there.
//! Free of I/O.

use {
  super::{
    advertised_limits::{AdvertisedLimit, AdvertisedLimits, LimitChange, LimitSource},
    cold_endpoints::{ColdEndpoints, ColdPeriod},
    local_permits::LocalPermits,
  },
  crate::{
    gateway::edge::{EndpointEntry, NamedLimit},
    ids::Name,
  },
};

/// From this figure on, in requests a second, it is no limit.
const NO_LIMIT_PER_S: f64 = 1e6;

/// Endpoints' words and this box's permits.
#[derive(Debug, Default)]
pub struct EndpointLimits {
  words: AdvertisedLimits,
  cold: ColdEndpoints,
  permits: LocalPermits,
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
  pub fn lowest_per_s(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<f64> {
    self.lowest_limit(id, born_ms, now_ms)?.per_s
  }

  /// The lower of the limits that are in force at a life of an endpoint: the one that it names, and what it carries while it
  /// is cold.
  pub fn in_force(&self, entry: &EndpointEntry, now_ms: u64) -> Option<AdvertisedLimit> {
    if self.is_ignoring {
      return None;
    }
    self.lowest_limit(&entry.id, entry.born_ms, now_ms)
  }

  fn lowest_limit(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<AdvertisedLimit> {
    let is_limit =
      |limit: &AdvertisedLimit| limit.per_s.is_some_and(|per_s| per_s < NO_LIMIT_PER_S);
    let named = self.words.heard_of(id, born_ms).filter(is_limit);
    let cold = self.cold_period(id, born_ms, now_ms);
    let cold = cold.map(AdvertisedLimit::from);
    [named, cold].into_iter().flatten().min_by(|one, other| {
      one
        .per_s_or_infinite()
        .total_cmp(&other.per_s_or_infinite())
    })
  }

  /// The span in which a life of an endpoint is cold; nothing once it is warm.
  pub fn cold_period(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<ColdPeriod> {
    self.cold.span(id, born_ms, now_ms)
  }

  /// Takes over that a life of an endpoint is cold.
  pub fn note_cold(&mut self, id: &Name, born_ms: Option<u64>, span: ColdPeriod) {
    if span.noted_ms < span.until_ms {
      self.cold.note(id, born_ms, span);
    }
  }

  /// A life's newest word, if it has named a limit.
  pub fn heard(&self, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
    self.words.heard(entry)
  }

  /// The newest word of a life that this box may not list.
  pub fn heard_of(&self, id: &str, born_ms: Option<u64>) -> Option<AdvertisedLimit> {
    self.words.heard_of(id, born_ms)
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
    said: NamedLimit,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitChange {
    let news = self.words.note_answer(entry, said, sent_ms, now_ms);
    self.note_news(&entry.id, news)
  }

  /// Takes over a word that another box heard, if it is newer.
  pub fn note_told(
    &mut self,
    id: &Name,
    born_ms: Option<u64>,
    limit: AdvertisedLimit,
  ) -> LimitChange {
    let news = self.words.note_told(id, born_ms, limit);
    self.note_news(id, news)
  }

  /// This box's permits.
  pub fn permits(&mut self) -> &mut LocalPermits {
    &mut self.permits
  }

  /// Forgets what no longer counts.
  pub fn forget_old(&mut self, now_ms: u64) {
    self.words.forget_old(now_ms);
    self.cold.forget_old(now_ms);
    self.permits.forget_old(now_ms);
  }

  /// The endpoints that name a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, AdvertisedLimit)> {
    self.words.named()
  }

  /// What is known of permits is of the limit that has ended, or of an earlier life.
  fn note_news(&mut self, id: &Name, news: LimitChange) -> LimitChange {
    if matches!(news, LimitChange::Started | LimitChange::Ended) {
      self.permits.open(id);
    }
    news
  }
}

impl From<ColdPeriod> for AdvertisedLimit {
  fn from(span: ColdPeriod) -> Self {
    Self {
      heard_ms: span.noted_ms,
      per_s: Some(span.per_s),
      source: LimitSource::Cold,
    }
  }
}
