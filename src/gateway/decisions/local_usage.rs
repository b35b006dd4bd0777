//! What a box that does not count knows of the limits, and what it has not told yet. Free of I/O.
//!
//! Load pattern: a box has a fraction of a request a second of each organisation, so that a share of the limit for each box
//! would refuse callers who are inside it. While a limit is far off, a box admits and tells it afterwards, for many
//! requests at once; when it is near, it asks first. A box that reaches nobody who counts goes on at the rate that it had,
//! or at an even share of the limit where that is more: all boxes that are alone together use little more than before.

use {
  super::{
    limit_strategy::LimitStrategy, recent_usage::RecentUsage, token_bucket::TokenBucket,
    usage_verdict::UsageVerdict,
  },
  crate::{gateway::edge::UseLimit, ids::Name},
  std::collections::{BTreeMap, HashMap},
};

/// A box that has not heard from one that counts for this long is alone: several answers were due.
const CONTACT_TIMEOUT_MS: u64 = 1_000;
/// For this long an organisation that is beyond its limit is refused without asking again.
const REJECTION_CACHE_MS: u64 = 100;
/// A box that is alone goes on at the rate that it had times this: half of what the users' bound allows beyond a limit.
const ISOLATED_FACTOR: f64 = 1.05;
/// Part of a burst that a box admits before it has told: a fiftieth, or one request, for each of some hundred boxes.
const UNREPORTED_SHARE: f64 = 0.02;

/// A request of an organisation that has a limit.
#[derive(Clone, Copy, Debug)]
pub struct UsageRequest<'a> {
  /// The organisation.
  pub organisation: &'a Name,
  /// Its limit over all boxes.
  pub limit: UseLimit,
  /// What the request counts.
  pub units: u64,
  /// How many boxes there are.
  pub boxes: usize,
  /// When it came.
  pub now_ms: u64,
}

/// What a box makes of a request by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalVerdict {
  /// It knows enough.
  Settled(UsageVerdict),
  /// A box that counts has to be asked.
  Ask,
}

/// What was heard of an organisation that is near_limit.
#[derive(Clone, Copy, Debug)]
struct NearLimit {
  left: f64,
  /// Until then nothing more is admitted.
  rejected_until_ms: u64,
}

/// The limits as a box that does not count sees them.
///
/// ```
/// use rillford::gateway::{LimitStrategy, LocalVerdict, LocalUsage, UseLimit, UsageRequest, UsageVerdict};
/// let lectures = "lectures".into();
/// let limit = UseLimit { burst: 100.0, rate_per_s: 10.0 };
/// let mut ledger = LocalUsage::default();
/// ledger.record_near_limit(vec![], 0);
/// let request = UsageRequest { boxes: 10, limit, now_ms: 0, organisation: &lectures, units: 80 };
/// let verdict = ledger.admit(request, LimitStrategy::AskNearLimit);
/// assert_eq!(verdict, LocalVerdict::Settled(UsageVerdict::WithinLimit));
/// assert_eq!(ledger.take_unreported(), vec![("lectures".into(), 80)]);
/// ledger.record_near_limit(vec![("lectures".into(), 20.0)], 100);
/// let verdict = ledger.admit(UsageRequest { now_ms: 100, ..request }, LimitStrategy::AskNearLimit);
/// assert_eq!(verdict, LocalVerdict::Ask);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
  unreported: BTreeMap<Name, i64>,
  near_limit: HashMap<Name, NearLimit>,
  last_contact_ms: Option<u64>,
  /// Whether the boxes that count did not answer at the last try.
  is_unreachable: bool,
  recent: HashMap<Name, RecentUsage>,
  /// Buckets of a box that is alone, or of the way that needs no others.
  local: HashMap<Name, LocalShare>,
}

/// A box's local share of a limit.
#[derive(Clone, Copy, Debug)]
struct LocalShare {
  /// The limit that it is a share of.
  of: UseLimit,
  share: UseLimit,
  bucket: TokenBucket,
}

impl LocalUsage {
  /// Decides on a request of an organisation, and notes it when it is within the limit.
  pub fn admit(&mut self, request: UsageRequest, way: LimitStrategy) -> LocalVerdict {
    match way {
      LimitStrategy::EvenSplit => LocalVerdict::Settled(self.admit_by_even_split(request)),
      // A box that has just started is not alone yet.
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

  /// Decides by what was left when it was heard.
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

  /// Decides where the limit is far off, or where a refusal was heard just now.
  fn admit_or_ask(&mut self, request: UsageRequest) -> LocalVerdict {
    match self.near_limit.get(request.organisation) {
      None if self.has_much_unreported(request) => LocalVerdict::Ask,
      None => {
        self.record_request(request);
        LocalVerdict::Settled(UsageVerdict::WithinLimit)
      }
      Some(near_limit) if request.now_ms < near_limit.rejected_until_ms => {
        LocalVerdict::Settled(UsageVerdict::OverLimit {
          left: near_limit.left,
          wait_ms: near_limit.rejected_until_ms - request.now_ms,
        })
      }
      Some(_) => LocalVerdict::Ask,
    }
  }

  fn record_request(&mut self, request: UsageRequest) {
    self.local.remove(request.organisation);
    self.record(request.organisation, request.units as i64, request.now_ms);
  }

  /// Whether no box that counts is heard.
  pub fn is_isolated(&self, now_ms: u64) -> bool {
    let recently_in_contact = self
      .last_contact_ms
      .is_some_and(|last_contact_ms| now_ms <= last_contact_ms + CONTACT_TIMEOUT_MS);
    self.is_unreachable || !recently_in_contact
  }

  /// No box that counts answers.
  pub fn record_unreachable(&mut self) {
    self.is_unreachable = true;
  }

  /// Whether a request comes on top of so much that others have not heard of that it is asked for.
  fn has_much_unreported(&self, request: UsageRequest) -> bool {
    let unreported = self
      .unreported
      .get(request.organisation)
      .copied()
      .unwrap_or(0);
    unreported > 0
      && unreported as f64 + request.units as f64 > request.limit.burst * UNREPORTED_SHARE
  }

  /// How old what it knows is; nothing when it knows nothing.
  pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
    self
      .last_contact_ms
      .map(|last_contact_ms| now_ms.saturating_sub(last_contact_ms))
  }

  /// Notes units that were admitted here, or given back when there are less than none.
  pub fn record(&mut self, organisation: &Name, units: i64, now_ms: u64) {
    *self.unreported.entry(organisation.clone()).or_default() += units;
    if let Some(near_limit) = self.near_limit.get_mut(organisation) {
      near_limit.left -= units as f64;
    }
    self.record_recent(organisation, units as f64, now_ms);
  }

  /// A box that counts has admitted a request of this box.
  pub fn record_admitted(&mut self, organisation: &Name, units: u64, now_ms: u64) {
    self.record_recent(organisation, units as f64, now_ms);
  }

  /// A box that counts has refused a request of this box.
  pub fn record_rejected(&mut self, organisation: &Name, left: f64, wait_ms: u64, now_ms: u64) {
    let refused = NearLimit {
      left,
      rejected_until_ms: now_ms + wait_ms.min(REJECTION_CACHE_MS),
    };
    self.near_limit.insert(organisation.clone(), refused);
  }

  /// A box that counts has told which organisations are near_limit.
  pub fn record_near_limit(&mut self, near_limit: Vec<(Name, f64)>, now_ms: u64) {
    self.last_contact_ms = Some(now_ms);
    self.is_unreachable = false;
    let before = std::mem::take(&mut self.near_limit);
    for (name, left) in near_limit {
      let rejected_until_ms = before.get(&name).map_or(0, |known| known.rejected_until_ms);
      let limit = NearLimit {
        left,
        rejected_until_ms,
      };
      self.near_limit.insert(name, limit);
    }
  }

  /// Whether there is something to tell, or to hear soon.
  pub fn is_busy(&self) -> bool {
    !self.unreported.is_empty() || !self.near_limit.is_empty()
  }

  /// What has not been told yet; the caller gives it back by [`Self::restore_unreported`] when it can't be told.
  pub fn take_unreported(&mut self) -> Vec<(Name, i64)> {
    std::mem::take(&mut self.unreported).into_iter().collect()
  }

  /// What was taken to be told was not heard.
  pub fn restore_unreported(&mut self, unreported: Vec<(Name, i64)>) {
    for (name, units) in unreported {
      *self.unreported.entry(name).or_default() += units;
    }
  }

  fn record_recent(&mut self, organisation: &Name, units: f64, now_ms: u64) {
    let recent = self.recent.entry(organisation.clone()).or_default();
    recent.record(units, now_ms);
  }

  /// Decides without any other box, when none answers: by the rate that this box had, fixed when it is first needed.
  pub fn admit_isolated(&mut self, request: UsageRequest) -> UsageVerdict {
    let UsageRequest { limit, now_ms, .. } = request;
    let even = limit.rate_per_s / request.boxes.max(1) as f64;
    let before = self.recent.get(request.organisation);
    let as_before = before.map_or(0.0, |before| before.per_s(now_ms) * ISOLATED_FACTOR);
    let share = share_of(request, as_before.clamp(even, limit.rate_per_s));
    let local = match self.local.get(request.organisation) {
      Some(local) if local.of == limit => *local,
      _ => LocalShare::new(limit, share, now_ms),
    };
    self.charge_share(local, request)
  }

  /// Decides by an even share of the limit.
  fn admit_by_even_split(&mut self, request: UsageRequest) -> UsageVerdict {
    let UsageRequest { limit, now_ms, .. } = request;
    let share = share_of(request, limit.rate_per_s / request.boxes.max(1) as f64);
    let mut local = match self.local.get(request.organisation) {
      Some(local) => *local,
      None => LocalShare::new(limit, share, now_ms),
    };
    local.bucket.change(local.share, share, now_ms);
    local.share = share;
    self.charge_share(local, request)
  }

  /// Takes a request from a share of the limit, if it is there, and keeps the share.
  fn charge_share(&mut self, mut local: LocalShare, request: UsageRequest) -> UsageVerdict {
    let UsageRequest { now_ms, units, .. } = request;
    // Where the share is smaller than a request, one goes when the bucket is full.
    let wanted = (units as f64).min(local.share.burst);
    let left = local.bucket.level(local.share, now_ms);
    let verdict = if left < wanted {
      let wait_ms = local.bucket.wait_ms(local.share, wanted, now_ms);
      UsageVerdict::OverLimit { left, wait_ms }
    } else {
      local.bucket.charge(local.share, units as f64);
      UsageVerdict::WithinLimit
    };
    self.local.insert(request.organisation.clone(), local);
    verdict
  }
}

/// The share of a limit with a rate; it holds one request at least.
fn share_of(request: UsageRequest, rate_per_s: f64) -> UseLimit {
  let UseLimit {
    burst,
    rate_per_s: whole_per_s,
  } = request.limit;
  UseLimit {
    burst: (burst * rate_per_s / whole_per_s).max(request.units as f64),
    rate_per_s,
  }
}

impl LocalShare {
  fn new(of: UseLimit, share: UseLimit, now_ms: u64) -> Self {
    Self {
      bucket: TokenBucket::full(share, now_ms),
      of,
      share,
    }
  }
}

impl NearLimit {
  /// Whether a request is within what was left when it was heard, less what was admitted since.
  fn verdict(&self, limit: UseLimit, units: u64) -> UsageVerdict {
    let wanted = (units as f64).min(limit.burst);
    if self.left >= wanted {
      return UsageVerdict::WithinLimit;
    }
    let missing_s = (wanted - self.left) / limit.rate_per_s;
    UsageVerdict::OverLimit {
      left: self.left,
      wait_ms: (missing_s * 1_000.0) as u64,
    }
  }
}
