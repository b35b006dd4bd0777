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

/// Endpoints' advertised and this box's permits.
#[derive(Debug, Default)]
pub struct EndpointLimits {
  advertised: AdvertisedLimits,
  cold: ColdEndpoints,
  permits: LocalPermits,
  /// Whether limits decide nothing.
  is_disabled: bool,
}

impl EndpointLimits {
  /// Limits that are written down and decide nothing.
  pub fn ignoring() -> Self {
    Self {
      is_disabled: true,
      ..Self::default()
    }
  }

  /// Whether any limit decides something.
  pub fn are_enforced(&self) -> bool {
    let has_any = !self.advertised.is_empty() || !self.cold.is_empty();
    has_any && !self.is_disabled
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
    if self.is_disabled {
      return None;
    }
    self.lowest_limit(&entry.id, entry.born_ms, now_ms)
  }

  fn lowest_limit(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<AdvertisedLimit> {
    let is_limit =
      |limit: &AdvertisedLimit| limit.per_s.is_some_and(|per_s| per_s < NO_LIMIT_PER_S);
    let named = self.advertised.advertised_by(id, born_ms).filter(is_limit);
    let cold = self.cold_period(id, born_ms, now_ms);
    let cold = cold.map(AdvertisedLimit::from);
    [named, cold].into_iter().flatten().min_by(|one, other| {
      one
        .per_s_or_infinite()
        .total_cmp(&other.per_s_or_infinite())
    })
  }

  /// The period in which a life of an endpoint is cold; nothing once it is warm.
  pub fn cold_period(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<ColdPeriod> {
    self.cold.period(id, born_ms, now_ms)
  }

  /// Takes over that a life of an endpoint is cold.
  pub fn record_cold(&mut self, id: &Name, born_ms: Option<u64>, period: ColdPeriod) {
    if period.recorded_ms < period.until_ms {
      self.cold.record(id, born_ms, period);
    }
  }

  /// A life's newest word, if it has named a limit.
  pub fn advertised(&self, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
    self.advertised.advertised(entry)
  }

  /// The newest word of a life that this box may not list.
  pub fn advertised_by(&self, id: &str, born_ms: Option<u64>) -> Option<AdvertisedLimit> {
    self.advertised.advertised_by(id, born_ms)
  }

  /// How long there is no permit for this box at an endpoint; 0 when there may be one.
  pub fn blocked_for_ms(&self, entry: &EndpointEntry, now_ms: u64) -> u64 {
    match self.per_s(entry, now_ms) {
      Some(_) => self.permits.blocked_for_ms(&entry.id, now_ms),
      None => 0,
    }
  }

  /// Takes over what an answer says, to something that was sent at a time.
  pub fn record_response(
    &mut self,
    entry: &EndpointEntry,
    said: NamedLimit,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitChange {
    let news = self
      .advertised
      .record_response(entry, said, sent_ms, now_ms);
    self.apply_change(&entry.id, news)
  }

  /// Takes over a word that another box heard, if it is newer.
  pub fn record_reported(
    &mut self,
    id: &Name,
    born_ms: Option<u64>,
    limit: AdvertisedLimit,
  ) -> LimitChange {
    let news = self.advertised.record_reported(id, born_ms, limit);
    self.apply_change(id, news)
  }

  /// This box's permits.
  pub fn permits(&mut self) -> &mut LocalPermits {
    &mut self.permits
  }

  /// Forgets what no longer counts.
  pub fn expire(&mut self, now_ms: u64) {
    self.advertised.expire(now_ms);
    self.cold.expire(now_ms);
    self.permits.expire(now_ms);
  }

  /// The endpoints that name a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, AdvertisedLimit)> {
    self.advertised.named()
  }

  /// What is known of permits is of the limit that has ended, or of an earlier life.
  fn apply_change(&mut self, id: &Name, news: LimitChange) -> LimitChange {
    if matches!(news, LimitChange::Started | LimitChange::Ended) {
      self.permits.reset(id);
    }
    news
  }
}

impl From<ColdPeriod> for AdvertisedLimit {
  fn from(period: ColdPeriod) -> Self {
    Self {
      received_ms: period.recorded_ms,
      per_s: Some(period.per_s),
      source: LimitSource::Cold,
    }
  }
}
