//! Limits as a box that is no coordinator knows them, and the usage that it has not reported yet. Free of I/O.
//!
//! Load pattern: a box gets a fraction of a request per second of each organisation, so that a fixed share of the limit per
//! box would reject callers within their limit. Far from a limit, a box admits requests and reports them afterwards in
//! batches; near it, it asks first. A box that reaches no coordinator continues at its recent rate, or at an even share of
//! the limit if that is more: all isolated boxes together use little more than before.

use {
  super::{
    demand_bands::{BandRequest, DemandBand, DemandBands, RequestedUnits},
    limit_strategy::LimitStrategy,
    recent_usage::RecentUsage,
    token_bucket::TokenBucket,
    usage_verdict::UsageVerdict,
  },
  crate::{gateway::edge::UsageLimit, ids::Name},
  std::collections::{BTreeMap, HashMap},
};

/// A box without contact to a coordinator for this long is isolated: several responses were due.
const CONTACT_TIMEOUT_MS: u64 = 1_000;
/// Time for which an organisation over its limit is rejected without asking again.
const REJECTION_CACHE_MS: u64 = 100;
/// Factor on the recent rate of an isolated box: half of the overage that is allowed.
const ISOLATED_FACTOR: f64 = 1.05;
/// Share of a burst that a box admits without a report: for some hundred boxes, a fiftieth or one request each.
const UNREPORTED_SHARE: f64 = 0.02;

/// A request of an organisation with a limit.
#[derive(Clone, Copy, Debug)]
pub struct UsageRequest<'a> {
  pub organisation: &'a Name,
  /// Its limit over all boxes.
  pub limit: UsageLimit,
  pub units: u64,
  /// Its band, where fair shares are enabled.
  pub band: Option<DemandBand>,
  pub boxes: usize,
  /// The time of its arrival.
  pub now_ms: u64,
}

/// What a box decides on a request from its local state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalVerdict {
  /// The verdict is known.
  Settled(UsageVerdict),
  /// A coordinator has to be asked.
  Ask,
}

/// The state of an organisation near its limit.
#[derive(Clone, Debug)]
struct NearLimit {
  remaining: f64,
  /// Requests of a band are rejected until then; without fair shares, all requests are of no band.
  rejected_until_ms: BTreeMap<Option<DemandBand>, u64>,
}

/// A box's own usage, and the limits as reported by coordinators.
///
/// ```
/// use rillford::gateway::{LimitStrategy, LocalVerdict, LocalUsage, UsageLimit, UsageRequest, UsageVerdict};
/// let lectures = "lectures".into();
/// let limit = UsageLimit { burst: 100.0, rate_per_s: 10.0 };
/// let mut usage = LocalUsage::default();
/// usage.record_near_limit(vec![], 0);
/// let request = UsageRequest { band: None, boxes: 10, limit, now_ms: 0, organisation: &lectures, units: 80 };
/// let verdict = usage.admit(request, LimitStrategy::AskNearLimit);
/// assert_eq!(verdict, LocalVerdict::Settled(UsageVerdict::WithinLimit));
/// assert_eq!(usage.take_unreported(), vec![("lectures".into(), 80)]);
/// usage.record_near_limit(vec![("lectures".into(), 20.0)], 100);
/// let verdict = usage.admit(UsageRequest { now_ms: 100, ..request }, LimitStrategy::AskNearLimit);
/// assert_eq!(verdict, LocalVerdict::Ask);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
  unreported: BTreeMap<Name, i64>,
  near_limit: HashMap<Name, NearLimit>,
  last_contact_ms: Option<u64>,
  /// Whether no coordinator responded at the last attempt.
  is_unreachable: bool,
  recent: HashMap<Name, RecentUsage>,
  /// Units requested since the last report, without the requests that coordinators were asked about.
  requested: BTreeMap<(Name, DemandBand), u64>,
  /// The demand at this box, for its local shares.
  demand: HashMap<Name, DemandBands>,
  /// Buckets of an isolated box, or of [`LimitStrategy::EvenSplit`].
  shares: HashMap<Name, LocalShare>,
}

/// A box's local share of a limit.
#[derive(Clone, Copy, Debug)]
struct LocalShare {
  whole: UsageLimit,
  share: UsageLimit,
  bucket: TokenBucket,
}

impl LocalUsage {
  /// Decides on a request of an organisation, and records it when it is admitted.
  pub fn admit(&mut self, request: UsageRequest, strategy: LimitStrategy) -> LocalVerdict {
    let verdict = self.decide(request, strategy);
    // Far from the limit nothing is reserved. Demand of an isolated box would be out of date when it is reported.
    if let (Some(band), LocalVerdict::Settled(_)) = (request.band, verdict)
      && self.near_limit.contains_key(request.organisation)
      && !self.is_isolated(request.now_ms)
    {
      let key = (request.organisation.clone(), band);
      *self.requested.entry(key).or_default() += request.units;
    }
    verdict
  }

  fn decide(&mut self, request: UsageRequest, strategy: LimitStrategy) -> LocalVerdict {
    match strategy {
      LimitStrategy::EvenSplit => LocalVerdict::Settled(self.admit_by_even_split(request)),
      // A box that has just started is not isolated yet.
      LimitStrategy::AskNearLimit if self.last_contact_ms.is_none() && !self.is_unreachable => {
        LocalVerdict::Ask
      }
      _ if self.is_isolated(request.now_ms) => LocalVerdict::Settled(self.admit_isolated(request)),
      LimitStrategy::ReportedTotals => {
        LocalVerdict::Settled(self.admit_by_reported_totals(request))
      }
      LimitStrategy::AskNearLimit => self.admit_or_ask(request),
    }
  }

  /// Decides by the remaining units in the last response.
  fn admit_by_reported_totals(&mut self, request: UsageRequest) -> UsageVerdict {
    let verdict = match self.near_limit.get(request.organisation) {
      Some(near_limit) => near_limit.verdict(request.limit, request.units),
      None => UsageVerdict::WithinLimit,
    };
    if verdict == UsageVerdict::WithinLimit {
      self.record_request(request);
    }
    verdict
  }

  /// Decides locally far from the limit and shortly after a rejection; asks otherwise.
  fn admit_or_ask(&mut self, request: UsageRequest) -> LocalVerdict {
    match self.near_limit.get(request.organisation) {
      None if self.has_much_unreported(request) => LocalVerdict::Ask,
      None => {
        self.record_request(request);
        LocalVerdict::Settled(UsageVerdict::WithinLimit)
      }
      Some(near_limit) => match near_limit.rejection_ms(request) {
        Some(wait_ms) => LocalVerdict::Settled(UsageVerdict::OverLimit {
          remaining: near_limit.remaining,
          wait_ms,
        }),
        None => LocalVerdict::Ask,
      },
    }
  }

  fn record_request(&mut self, request: UsageRequest) {
    self.shares.remove(request.organisation);
    self.record(request.organisation, request.units as i64, request.now_ms);
  }

  /// Whether the box has no contact to a coordinator.
  pub fn is_isolated(&self, now_ms: u64) -> bool {
    let recently_in_contact = self
      .last_contact_ms
      .is_some_and(|last_contact_ms| now_ms <= last_contact_ms + CONTACT_TIMEOUT_MS);
    self.is_unreachable || !recently_in_contact
  }

  /// Records that no coordinator responds.
  pub fn record_unreachable(&mut self) {
    self.is_unreachable = true;
  }

  /// Whether the unreported units would exceed their share of the burst with a request.
  fn has_much_unreported(&self, request: UsageRequest) -> bool {
    let unreported = self
      .unreported
      .get(request.organisation)
      .copied()
      .unwrap_or(0);
    unreported > 0
      && unreported as f64 + request.units as f64 > request.limit.burst * UNREPORTED_SHARE
  }

  /// Time since the last contact to a coordinator, if there was any.
  pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
    self
      .last_contact_ms
      .map(|last_contact_ms| now_ms.saturating_sub(last_contact_ms))
  }

  /// Records units that were admitted here, or refunded when negative.
  pub fn record(&mut self, organisation: &Name, units: i64, now_ms: u64) {
    *self.unreported.entry(organisation.clone()).or_default() += units;
    if let Some(near_limit) = self.near_limit.get_mut(organisation) {
      near_limit.remaining -= units as f64;
    }
    self.record_recent(organisation, units as f64, now_ms);
  }

  /// Records that a coordinator has admitted a request of this box.
  pub fn record_admitted(&mut self, organisation: &Name, units: u64, now_ms: u64) {
    self.record_recent(organisation, units as f64, now_ms);
  }

  /// Records that a coordinator has rejected a request of this box, of a band where fair shares are enabled.
  pub fn record_rejected(
    &mut self,
    organisation: &Name,
    band: Option<DemandBand>,
    remaining: f64,
    wait_ms: u64,
    now_ms: u64,
  ) {
    let near_limit = self
      .near_limit
      .entry(organisation.clone())
      .or_insert_with(|| NearLimit::new(remaining));
    near_limit.remaining = remaining;
    near_limit
      .rejected_until_ms
      .insert(band, now_ms + wait_ms.min(REJECTION_CACHE_MS));
  }

  /// Records a coordinator's response: the organisations near their limits, with their remaining units.
  pub fn record_near_limit(&mut self, near_limit: Vec<(Name, f64)>, now_ms: u64) {
    self.last_contact_ms = Some(now_ms);
    self.is_unreachable = false;
    let mut before = std::mem::take(&mut self.near_limit);
    for (name, remaining) in near_limit {
      let known = before.remove(&name);
      let mut limit = known.unwrap_or_else(|| NearLimit::new(remaining));
      limit.remaining = remaining;
      self.near_limit.insert(name, limit);
    }
  }

  /// Whether a report is due soon: units are unreported, or an organisation is near its limit.
  pub fn is_busy(&self) -> bool {
    !self.unreported.is_empty() || !self.near_limit.is_empty()
  }

  /// Takes the unreported units; the caller returns them by [`Self::restore_unreported`] when the report fails.
  pub fn take_unreported(&mut self) -> Vec<(Name, i64)> {
    std::mem::take(&mut self.unreported).into_iter().collect()
  }

  /// Returns the units of a report that failed.
  pub fn restore_unreported(&mut self, unreported: Vec<(Name, i64)>) {
    for (name, units) in unreported {
      *self.unreported.entry(name).or_default() += units;
    }
  }

  /// Takes the units requested since the last report; they are not returned when it fails, since demand is of the last second.
  pub fn take_requested(&mut self) -> RequestedUnits {
    let requested = std::mem::take(&mut self.requested);
    requested
      .into_iter()
      .map(|((name, band), units)| (name, band, units))
      .collect()
  }

  fn record_recent(&mut self, organisation: &Name, units: f64, now_ms: u64) {
    let recent = self.recent.entry(organisation.clone()).or_default();
    recent.record(units, now_ms);
  }

  /// Decides without a coordinator: by this box's recent rate, fixed when it is first needed.
  pub fn admit_isolated(&mut self, request: UsageRequest) -> UsageVerdict {
    let UsageRequest { limit, now_ms, .. } = request;
    let even = limit.rate_per_s / request.boxes.max(1) as f64;
    let before = self.recent.get(request.organisation);
    let as_before = before.map_or(0.0, |before| before.per_s(now_ms) * ISOLATED_FACTOR);
    let share = share_of(request, as_before.clamp(even, limit.rate_per_s));
    let local = match self.shares.get(request.organisation) {
      Some(local) if local.whole == limit => *local,
      _ => LocalShare::new(limit, share, now_ms),
    };
    self.charge_share(local, request)
  }

  /// Decides by an even share of the limit.
  fn admit_by_even_split(&mut self, request: UsageRequest) -> UsageVerdict {
    let UsageRequest { limit, now_ms, .. } = request;
    let share = share_of(request, limit.rate_per_s / request.boxes.max(1) as f64);
    let mut local = match self.shares.get(request.organisation) {
      Some(local) => *local,
      None => LocalShare::new(limit, share, now_ms),
    };
    local.bucket.change(local.share, share, now_ms);
    local.share = share;
    self.charge_share(local, request)
  }

  /// Charges a request to a share of the limit if it fits, and stores the share.
  fn charge_share(&mut self, mut local: LocalShare, request: UsageRequest) -> UsageVerdict {
    let UsageRequest { now_ms, units, .. } = request;
    let remaining = local.bucket.level(local.share, now_ms);
    let required = self.required(&mut local, request);
    let verdict = if remaining < required {
      let wait_ms = local.bucket.wait_ms(local.share, required, now_ms);
      UsageVerdict::OverLimit { remaining, wait_ms }
    } else {
      local.bucket.charge(local.share, units as f64);
      UsageVerdict::WithinLimit
    };
    self.shares.insert(request.organisation.clone(), local);
    verdict
  }

  /// Units that a local share has to hold for a request.
  fn required(&mut self, local: &mut LocalShare, request: UsageRequest) -> f64 {
    let UsageRequest { now_ms, units, .. } = request;
    let Some(band) = request.band else {
      // A request larger than the bucket is admitted when the bucket is full.
      return (units as f64).min(local.share.burst);
    };
    let of_band = BandRequest { band, units };
    let demand = self.demand.entry(request.organisation.clone()).or_default();
    demand.record(of_band, now_ms);
    demand
      .admit(&mut local.bucket, local.share, of_band, now_ms)
      .required
  }
}

/// The share of a limit at a rate; its burst fits at least one request.
fn share_of(request: UsageRequest, rate_per_s: f64) -> UsageLimit {
  let UsageLimit {
    burst,
    rate_per_s: limit_per_s,
  } = request.limit;
  UsageLimit {
    burst: (burst * rate_per_s / limit_per_s).max(request.units as f64),
    rate_per_s,
  }
}

impl LocalShare {
  fn new(whole: UsageLimit, share: UsageLimit, now_ms: u64) -> Self {
    Self {
      bucket: TokenBucket::full(share, now_ms),
      whole,
      share,
    }
  }
}

impl NearLimit {
  fn new(remaining: f64) -> Self {
    Self {
      rejected_until_ms: BTreeMap::new(),
      remaining,
    }
  }

  /// Time for which requests of a request's band are still rejected.
  fn rejection_ms(&self, request: UsageRequest) -> Option<u64> {
    let until_ms = self.rejected_until_ms.get(&request.band)?;
    (request.now_ms < *until_ms).then(|| until_ms - request.now_ms)
  }

  /// The verdict on a request by the remaining units in the last response, less what was admitted since.
  fn verdict(&self, limit: UsageLimit, units: u64) -> UsageVerdict {
    let wanted = (units as f64).min(limit.burst);
    if self.remaining >= wanted {
      return UsageVerdict::WithinLimit;
    }
    let missing_s = (wanted - self.remaining) / limit.rate_per_s;
    UsageVerdict::OverLimit {
      remaining: self.remaining,
      wait_ms: (missing_s * 1_000.0) as u64,
    }
  }
}
