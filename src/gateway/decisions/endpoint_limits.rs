//! The request rates that endpoints accept over all boxes, advertised or while cold, and this box's permits there. Free of
//! I/O.

use {
  super::{
    advertised_limits::{AdvertisedLimit, AdvertisedLimits, LimitChange, LimitSource},
    cold_endpoints::{ColdEndpoints, ColdPeriod},
    local_permits::LocalPermits,
  },
  crate::{
    gateway::edge::{EndpointEntry, LimitHeader},
    ids::Name,
  },
};

/// A rate from here on, in requests per second, is no limit.
const NO_LIMIT_PER_S: f64 = 1e6;

/// The limits of endpoints, and this box's permits within them.
#[derive(Debug, Default)]
pub struct EndpointLimits {
  advertised: AdvertisedLimits,
  cold: ColdEndpoints,
  permits: LocalPermits,
  /// Whether limits are recorded and not enforced.
  is_disabled: bool,
}

impl EndpointLimits {
  /// Limits that are recorded and not enforced.
  pub fn ignoring() -> Self {
    Self {
      is_disabled: true,
      ..Self::default()
    }
  }

  /// Whether any limit is enforced.
  pub fn are_enforced(&self) -> bool {
    let has_any = !self.advertised.is_empty() || !self.cold.is_empty();
    has_any && !self.is_disabled
  }

  /// The requests per second that an incarnation of an endpoint accepts over all boxes, if an enforced limit is in force.
  pub fn per_s(&self, entry: &EndpointEntry, now_ms: u64) -> Option<f64> {
    self.in_force(entry, now_ms)?.per_s
  }

  /// The lowest rate of an incarnation that may be unlisted, whether limits are enforced or not.
  pub fn lowest_per_s(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<f64> {
    self.lowest_limit(id, started_ms, now_ms)?.per_s
  }

  /// The limit in force at an incarnation of an endpoint: the lower of the advertised one and the rate while it is cold.
  pub fn in_force(&self, entry: &EndpointEntry, now_ms: u64) -> Option<AdvertisedLimit> {
    if self.is_disabled {
      return None;
    }
    self.lowest_limit(&entry.id, entry.started_ms, now_ms)
  }

  fn lowest_limit(
    &self,
    id: &str,
    started_ms: Option<u64>,
    now_ms: u64,
  ) -> Option<AdvertisedLimit> {
    let is_limit =
      |limit: &AdvertisedLimit| limit.per_s.is_some_and(|per_s| per_s < NO_LIMIT_PER_S);
    let named = self
      .advertised
      .advertised_by(id, started_ms)
      .filter(is_limit);
    let cold = self.cold_period(id, started_ms, now_ms);
    let cold = cold.map(AdvertisedLimit::from);
    [named, cold].into_iter().flatten().min_by(|one, other| {
      one
        .per_s_or_infinite()
        .total_cmp(&other.per_s_or_infinite())
    })
  }

  /// The period in which an incarnation of an endpoint is cold; `None` once it is warm.
  pub fn cold_period(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<ColdPeriod> {
    self.cold.period(id, started_ms, now_ms)
  }

  /// Records that an incarnation of an endpoint is cold.
  pub fn record_cold(&mut self, id: &Name, started_ms: Option<u64>, period: ColdPeriod) {
    if period.recorded_ms < period.until_ms {
      self.cold.record(id, started_ms, period);
    }
  }

  /// What an incarnation of an endpoint advertised last.
  pub fn advertised(&self, entry: &EndpointEntry) -> Option<AdvertisedLimit> {
    self.advertised.advertised(entry)
  }

  /// Like [`advertised`](Self::advertised), for an incarnation that may be unlisted.
  pub fn advertised_by(&self, id: &str, started_ms: Option<u64>) -> Option<AdvertisedLimit> {
    self.advertised.advertised_by(id, started_ms)
  }

  /// How long this box gets no permit at an endpoint; 0 when it may get one.
  pub fn blocked_for_ms(&self, entry: &EndpointEntry, now_ms: u64) -> u64 {
    match self.per_s(entry, now_ms) {
      Some(_) => self.permits.blocked_for_ms(&entry.id, now_ms),
      None => 0,
    }
  }

  /// Applies the limit in a response to a request that was sent at `sent_ms`.
  pub fn record_response(
    &mut self,
    entry: &EndpointEntry,
    limit: LimitHeader,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitChange {
    let change = self
      .advertised
      .record_response(entry, limit, sent_ms, now_ms);
    self.apply_change(&entry.id, change)
  }

  /// Applies a limit that another box reported, if it is newer.
  pub fn record_reported(
    &mut self,
    id: &Name,
    started_ms: Option<u64>,
    limit: AdvertisedLimit,
  ) -> LimitChange {
    let change = self.advertised.record_reported(id, started_ms, limit);
    self.apply_change(id, change)
  }

  /// This box's permits.
  pub fn permits(&mut self) -> &mut LocalPermits {
    &mut self.permits
  }

  /// Evicts expired limits and unused permits.
  pub fn expire(&mut self, now_ms: u64) {
    self.advertised.expire(now_ms);
    self.cold.expire(now_ms);
    self.permits.expire(now_ms);
  }

  /// The endpoints that advertise a limit, with it.
  pub fn named(&self) -> impl Iterator<Item = (&Name, AdvertisedLimit)> {
    self.advertised.named()
  }

  /// Resets the permits when a limit starts or ends: they belong to the former limit or to an earlier incarnation.
  fn apply_change(&mut self, id: &Name, change: LimitChange) -> LimitChange {
    if matches!(change, LimitChange::Started | LimitChange::Ended) {
      self.permits.reset(id);
    }
    change
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
