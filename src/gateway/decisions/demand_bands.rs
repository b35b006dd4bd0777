//! Which requests of an organisation are admitted first when its limit is insufficient. Free of I/O.
//!
//! Load pattern: prompts of thousands of units arrive at an organisation's limit faster than it refills, and take each unit before a
//! request of 200 units finds enough of them. A request's rank is its units x 2^priority: small and urgent requests go first. Ranks
//! are grouped into bands by powers of two, and a request leaves in the bucket what the bands before its own recently requested
//! within a second. What they don't request is not reserved, so it is lent. The reservation is at most half of the burst, so that
//! the largest prompts stay admissible.
//!
//! Without a floor, urgent requests above the limit would starve all others. Each band therefore earns credit, at somewhat over a quarter of
//! the rate that order of arrival would give it, and a request covered by credit needs no more than its own units. A request that has
//! credit but finds too few units claims them: other bands leave them in the bucket for a moment, at all
//! coordinators: they charge each other what they admit. Nothing here adds units: the bucket
//! decides as before, and only rejects more.

use {
  super::token_bucket::TokenBucket,
  crate::{gateway::edge::UsageLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::{BTreeMap, HashMap},
};

/// Number of bands: ranks of up to 2^31.
const BAND_COUNT: u32 = 32;
/// Interval of the moving average of demand, in slots: long enough for bands with a few requests per second, and short enough that a
/// reservation ends a second after its demand.
const SLOT_MS: u64 = 125;
const SLOT_COUNT: usize = 8;
/// Demand is reserved for this long: the time in which it would be requested again.
const HORIZON_S: f64 = 1.0;
/// Share of the burst that is reserved at most.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Share of what order of arrival would give a band that it earns as credit: above the quarter that it gets at least, since credit is
/// spent in whole requests and after a claim.
const FLOOR_SHARE: f64 = 0.3;
/// Share of the burst up to which a band's credit grows: a burst of one second holds four of the largest prompts.
const MAX_CREDIT_SHARE: f64 = 0.25;
/// A claim ends this long after the request: a band that keeps asking has asked again by then.
const CLAIM_MS: u64 = 300;
/// A band without requests for this long loses its credit and its state.
const IDLE_MS: u64 = 10_000;
/// Demand reported by another coordinator is valid for this long: three reports were due.
const PEER_VALIDITY_MS: u64 = 500;

/// A group of ranks: those from one power of two up to the next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DemandBand(u8);

impl DemandBand {
  /// The band of a request; priority 0 is the most urgent.
  ///
  /// ```
  /// use rillford::gateway::DemandBand;
  /// assert_eq!(DemandBand::of(200, 2), DemandBand::of(800, 0));
  /// assert!(DemandBand::of(200, 2) < DemandBand::of(4_500, 0));
  /// assert!(DemandBand::of(4_500, 0) < DemandBand::of(4_500, 1));
  /// ```
  pub fn of(units: u64, priority: u8) -> Self {
    let band = units.max(1).ilog2() + u32::from(priority);
    Self(band.min(BAND_COUNT - 1) as u8)
  }

  /// The band's number: the binary logarithm of its lowest rank.
  pub fn number(self) -> u8 {
    self.0
  }
}

/// Requested units by organisation and band.
pub type RequestedUnits = Vec<(Name, DemandBand, u64)>;
/// Demand by band.
pub type BandDemand = Vec<DemandReport>;

/// A band's demand at one coordinator.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
  pub band: DemandBand,
  /// Requested units per second.
  pub per_s: f64,
  /// Units that the band claims now.
  pub claimed: f64,
}

/// A request of a band.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BandRequest {
  pub band: DemandBand,
  pub units: u64,
}

/// The state behind the verdict on a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShareState {
  /// Units that the request had to leave in the bucket for others.
  pub reserved: f64,
  /// Units that could be reserved, but are not requested.
  pub lent: f64,
}

/// Whether a bucket has room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareVerdict {
  pub is_admitted: bool,
  /// Units that the bucket has to hold for the request.
  pub required: f64,
  pub state: ShareState,
}

/// Counts of a band's requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BandCounts {
  pub admitted: u64,
  pub rejected: u64,
}

/// An organisation's demand by band, as one box knows it.
///
/// ```
/// use rillford::gateway::{BandRequest, DemandBand, DemandBands, TokenBucket, UsageLimit};
/// let limit = UsageLimit { burst: 10_000.0, rate_per_s: 10_000.0 };
/// let mut bucket = TokenBucket::full(limit, 1_000);
/// let mut bands = DemandBands::default();
/// let small = BandRequest { band: DemandBand::of(200, 2), units: 200 };
/// let large = BandRequest { band: DemandBand::of(4_500, 1), units: 4_500 };
/// for _ in 0..10 {
///   bands.record(small, 1_000);
/// }
/// bucket.charge(limit, 4_000.0);
/// // 6,000 units are left, of which 2,000 are reserved for small requests.
/// let verdict = bands.admit(&mut bucket, limit, large, 1_000);
/// assert_eq!((verdict.is_admitted, verdict.required), (false, 6_500.0));
/// assert!(bands.admit(&mut bucket, limit, small, 1_000).is_admitted);
/// // A second later they are lent.
/// assert_eq!(bands.admit(&mut bucket, limit, large, 2_100).required, 4_500.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DemandBands {
  own: BTreeMap<DemandBand, BandState>,
  peers: HashMap<Name, PeerDemand>,
  credited_until_ms: u64,
}

/// What another coordinator reported.
#[derive(Clone, Debug)]
struct PeerDemand {
  received_ms: u64,
  demand: BandDemand,
}

#[derive(Clone, Debug, Default)]
struct BandState {
  recent: RecentDemand,
  credit: f64,
  /// Units that the other bands leave in the bucket, and until when.
  claimed: f64,
  claimed_until_ms: u64,
  requested_ms: u64,
  counts: BandCounts,
}

/// A moving sum of the requested units over one second.
#[derive(Clone, Debug, Default)]
struct RecentDemand {
  slots: [f64; SLOT_COUNT],
  /// Number of the newest slot since time 0.
  newest: u64,
}

impl RecentDemand {
  fn advance(&mut self, now_ms: u64) -> usize {
    let slot = now_ms / SLOT_MS;
    let count = SLOT_COUNT as u64;
    for number in self.newest + 1..=slot.min(self.newest + count) {
      self.slots[(number % count) as usize] = 0.0;
    }
    self.newest = self.newest.max(slot);
    (self.newest % count) as usize
  }

  fn record(&mut self, units: f64, now_ms: u64) {
    let newest = self.advance(now_ms);
    self.slots[newest] += units;
  }

  fn per_s(&mut self, now_ms: u64) -> f64 {
    self.advance(now_ms);
    self.slots.iter().sum::<f64>() * 1_000.0 / (SLOT_MS * SLOT_COUNT as u64) as f64
  }
}

impl BandState {
  fn claimed(&self, now_ms: u64) -> f64 {
    if now_ms < self.claimed_until_ms {
      self.claimed
    } else {
      0.0
    }
  }
}

impl DemandBands {
  /// Records a request, whether admitted or not.
  pub fn record(&mut self, request: BandRequest, now_ms: u64) {
    self.accrue_reset(now_ms);
    let state = self.own.entry(request.band).or_default();
    state.recent.record(request.units as f64, now_ms);
    state.requested_ms = now_ms;
  }

  /// Replaces the demand that another coordinator reported.
  pub fn set_peer(&mut self, peer: &Name, demand: BandDemand, now_ms: u64) {
    if demand.is_empty() {
      self.peers.remove(peer);
      return;
    }
    let received = PeerDemand {
      demand,
      received_ms: now_ms,
    };
    self.peers.insert(peer.clone(), received);
  }

  /// The demand that was requested of this box and its reporters.
  pub fn own_demand(&mut self, now_ms: u64) -> BandDemand {
    let demand = self.own.iter_mut().map(|(band, state)| DemandReport {
      band: *band,
      claimed: state.claimed(now_ms),
      per_s: state.recent.per_s(now_ms),
    });
    demand.filter(|report| report.per_s > 0.0).collect()
  }

  /// The counts of each band's decided requests.
  pub fn counts(&self) -> impl Iterator<Item = (DemandBand, BandCounts)> {
    self.own.iter().map(|(band, state)| (*band, state.counts))
  }

  /// Units that are reserved for all bands together, and those that could be.
  pub fn reserved(&mut self, limit: UsageLimit, now_ms: u64) -> ShareState {
    let demand = self.demand(now_ms, |_| true);
    share_state(demand * HORIZON_S, limit)
  }

  /// Decides on a request that was recorded. The caller charges the bucket when it is admitted.
  pub fn admit(
    &mut self,
    bucket: &mut TokenBucket,
    limit: UsageLimit,
    request: BandRequest,
    now_ms: u64,
  ) -> ShareVerdict {
    self.accrue(limit, now_ms);
    let level = bucket.level(limit, now_ms);
    // A request larger than the bucket is admitted when the bucket is full.
    let wanted = (request.units as f64).min(limit.burst);
    let before = self.demand(now_ms, |band| band < request.band) * HORIZON_S;
    let claimed = self.claimed_by_others(request.band, now_ms);
    let state = share_state(before + claimed, limit);
    let max_credit = limit.burst * MAX_CREDIT_SHARE;
    let own = self.own.entry(request.band).or_default();
    own.requested_ms = now_ms;
    let has_credit = own.credit >= wanted.min(max_credit);
    let unreserved = (wanted + state.reserved).min(limit.burst);
    let required = if has_credit { wanted } else { unreserved };
    let is_admitted = level >= required;
    if is_admitted {
      own.counts.admitted += 1;
      own.claimed_until_ms = 0;
      // A band that gets its share anyway needs no credit; a prompt above the maximum credit is paid off later.
      let lowest = if level >= unreserved {
        0.0
      } else {
        -limit.burst
      };
      own.credit = (own.credit - wanted).max(lowest.min(own.credit));
    } else {
      own.counts.rejected += 1;
      if has_credit {
        own.claimed = wanted;
        own.claimed_until_ms = now_ms + CLAIM_MS;
      }
    }
    ShareVerdict {
      is_admitted,
      required,
      state,
    }
  }

  /// The demand of some bands, in units per second over all coordinators.
  fn demand(&mut self, now_ms: u64, includes: impl Fn(DemandBand) -> bool) -> f64 {
    let own = self
      .own
      .iter_mut()
      .filter(|(band, _)| includes(**band))
      .map(|(_, state)| state.recent.per_s(now_ms))
      .sum::<f64>();
    let of_peers = self
      .peer_reports(now_ms)
      .filter(|report| includes(report.band));
    own + of_peers.map(|report| report.per_s.max(0.0)).sum::<f64>()
  }

  fn peer_reports(&self, now_ms: u64) -> impl Iterator<Item = &DemandReport> {
    let peers = self.peers.values();
    let valid = peers.filter(move |peer| now_ms <= peer.received_ms + PEER_VALIDITY_MS);
    valid.flat_map(|peer| &peer.demand)
  }

  /// The largest claim of other bands over all coordinators: they are served one after the other.
  fn claimed_by_others(&self, band: DemandBand, now_ms: u64) -> f64 {
    let own = self.own.iter().filter(|(other, _)| **other != band);
    let own = own.map(|(_, state)| state.claimed(now_ms));
    let peers = self
      .peer_reports(now_ms)
      .filter(|report| report.band != band);
    own
      .chain(peers.map(|report| report.claimed))
      .fold(0.0, f64::max)
  }

  /// Adds the credit that the bands have earned since the last request.
  fn accrue(&mut self, limit: UsageLimit, now_ms: u64) {
    let passed_s = now_ms.saturating_sub(self.credited_until_ms) as f64 / 1_000.0;
    self.credited_until_ms = self.credited_until_ms.max(now_ms);
    if passed_s <= 0.0 {
      return;
    }
    self
      .own
      .retain(|_, state| now_ms <= state.requested_ms + IDLE_MS);
    let total = self.demand(now_ms, |_| true).max(limit.rate_per_s);
    let max_credit = limit.burst * MAX_CREDIT_SHARE;
    for state in self.own.values_mut() {
      let by_arrival = limit.rate_per_s * state.recent.per_s(now_ms) / total;
      state.credit = (state.credit + by_arrival * FLOOR_SHARE * passed_s).min(max_credit);
    }
  }

  /// The time before the first request earns no credit.
  fn accrue_reset(&mut self, now_ms: u64) {
    if self.own.is_empty() {
      self.credited_until_ms = now_ms;
    }
  }
}

fn share_state(requested: f64, limit: UsageLimit) -> ShareState {
  let most = limit.burst * MAX_RESERVED_SHARE;
  let reserved = requested.min(most);
  ShareState {
    lent: most - reserved,
    reserved,
  }
}
