//! Organisations' usage of their limits, accounted over all boxes by a few coordinators. Free of I/O.
//!
//! Load pattern: an organisation sends several times its usual rate within milliseconds at every box, while halls are cut
//! off from each other. Each coordinator charges at once what it and its reporters admit, and what the other coordinators
//! admit as soon as they report it. Usage in any window stays within rate x window + burst + the debt at its end, and the
//! debt is at most what is admitted elsewhere while a message is in flight. A coordinator that is silent is assumed to use
//! its former share of the rate: both sides of a network cut do so, which leaves each its own share and keeps the sum within
//! the limit.

use {
  super::{
    demand_bands::{BandCounts, BandDemand, BandRequest, DemandBand, DemandBands, ShareState},
    peer_usage::Peer,
    recent_usage::RecentUsage,
    reporter_list::ReporterList,
    token_bucket::TokenBucket,
    usage_verdict::UsageVerdict,
  },
  crate::{gateway::edge::UsageLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::HashMap,
};

/// Minimum weight of a coordinator, as time at the limit's rate: a network cut before the first usage leaves each
/// coordinator a share.
const MIN_WEIGHT_S: f64 = 0.02;
/// Share of the burst below which an organisation is near its limit: its requests are charged before they are admitted.
const NEAR_LIMIT_SHARE: f64 = 0.5;

/// Share of the burst by which a total has to change to be reported at once: small enough that 18 coordinators together know
/// all but a sixth of a burst.
const REPORTED_CHANGE_SHARE: f64 = 0.01;

/// Which totals are reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportScope {
  /// All, to make up for lost messages.
  All,
  /// Only those that have changed.
  Changed,
}

/// A coordinator's report to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageTotals {
  pub box_name: Name,
  /// Distinguishes its restarts.
  pub incarnation: u64,
  /// Time since it started.
  pub uptime_ms: u64,
  /// Boxes that report to it.
  pub reporters: usize,
  /// Units that it has charged since it started, by organisation; some may be left out.
  pub totals: Vec<(Name, i64)>,
}

/// The verdict on a request by fair shares.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankedVerdict {
  pub verdict: UsageVerdict,
  pub state: ShareState,
}

#[derive(Clone, Debug)]
struct Account {
  limit: UsageLimit,
  bucket: TokenBucket,
  /// Units that this box has charged since it started.
  total: i64,
  /// The total in the last report.
  reported: i64,
  recent: RecentUsage,
  /// Time up to which the share of isolated boxes was withheld.
  withheld_until_ms: u64,
  demand: DemandBands,
}

/// The accounts of a coordinator.
///
/// ```
/// use rillford::gateway::{UsageTable, UsageLimit, UsageVerdict};
/// let mut table = UsageTable::default();
/// let limit = UsageLimit { burst: 100.0, rate_per_s: 10.0 };
/// let lectures = "lectures".into();
/// table.set_limits([("lectures".into(), limit)], 0);
/// assert_eq!(table.admit(&lectures, 80, 0), UsageVerdict::WithinLimit);
/// let rejected = table.admit(&lectures, 40, 0);
/// assert_eq!(rejected, UsageVerdict::OverLimit { remaining: 20.0, wait_ms: 2_000 });
/// assert_eq!(table.admit(&lectures, 40, 2_000), UsageVerdict::WithinLimit);
/// // Organisations without a limit are always within it.
/// assert_eq!(table.admit(&"captions".into(), 1_000_000, 0), UsageVerdict::WithinLimit);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
  accounts: HashMap<Name, Account>,
  /// Totals of organisations that no longer have a limit.
  former_totals: HashMap<Name, i64>,
  peers: HashMap<Name, Peer>,
  reporters: ReporterList,
  /// Share of boxes that report to no coordinator.
  isolated_share: f64,
}

impl UsageTable {
  /// Applies limits. Totals of organisations that no longer have one are kept, since other coordinators charge their growth.
  pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Name, UsageLimit)>, now_ms: u64) {
    let mut accounts = HashMap::new();
    for (name, limit) in limits {
      let account = match self.accounts.remove(&name) {
        Some(known) => known.with_limit(limit, now_ms),
        None => Account::new(limit, self.former_totals.remove(&name), now_ms),
      };
      accounts.insert(name, account);
    }
    let removed = std::mem::replace(&mut self.accounts, accounts);
    let totals = removed
      .into_iter()
      .map(|(name, account)| (name, account.total));
    self.former_totals.extend(totals);
  }

  /// Whether no organisation has a limit.
  pub fn is_empty(&self) -> bool {
    self.accounts.is_empty()
  }

  /// An organisation's limit, if any.
  pub fn limit(&self, organisation: &str) -> Option<UsageLimit> {
    self.accounts.get(organisation).map(|account| account.limit)
  }

  /// Charges a request if it is within its organisation's limit.
  pub fn admit(&mut self, organisation: &Name, units: u64, now_ms: u64) -> UsageVerdict {
    self.charge_unreachable(organisation, now_ms);
    let Some(account) = self.accounts.get_mut(organisation) else {
      return UsageVerdict::WithinLimit;
    };
    let remaining = account.bucket.level(account.limit, now_ms);
    // A request larger than the bucket is admitted when the bucket is full.
    let wanted = (units as f64).min(account.limit.burst);
    if remaining < wanted {
      let wait_ms = account.bucket.wait_ms(account.limit, wanted, now_ms);
      return UsageVerdict::OverLimit { remaining, wait_ms };
    }
    account.charge(units as i64, now_ms);
    UsageVerdict::WithinLimit
  }

  /// Charges a request if it is within its organisation's limit and leaves the units that are reserved for others.
  ///
  /// ```
  /// use rillford::gateway::{BandRequest, DemandBand, UsageLimit, UsageTable, UsageVerdict};
  /// let mut table = UsageTable::default();
  /// let limit = UsageLimit { burst: 1_000.0, rate_per_s: 100.0 };
  /// table.set_limits([("lectures".into(), limit)], 0);
  /// let small = BandRequest { band: DemandBand::of(10, 0), units: 10 };
  /// let large = BandRequest { band: DemandBand::of(600, 0), units: 600 };
  /// let lectures: rillford::ids::Name = "lectures".into();
  /// table.charge("lectures", 100, 0);
  /// table.record_demand(&lectures, BandRequest { units: 450, ..small }, 0);
  /// let first = table.admit_ranked(&lectures, large, 0);
  /// assert!(matches!(first.verdict, UsageVerdict::OverLimit { .. }));
  /// assert_eq!((first.state.reserved, first.state.lent), (450.0, 50.0));
  /// assert_eq!(table.admit_ranked(&lectures, small, 0).verdict, UsageVerdict::WithinLimit);
  /// ```
  pub fn admit_ranked(
    &mut self,
    organisation: &Name,
    request: BandRequest,
    now_ms: u64,
  ) -> RankedVerdict {
    self.charge_unreachable(organisation, now_ms);
    let Some(account) = self.accounts.get_mut(organisation) else {
      return RankedVerdict {
        state: ShareState::default(),
        verdict: UsageVerdict::WithinLimit,
      };
    };
    account.demand.record(request, now_ms);
    let limit = account.limit;
    let share = account
      .demand
      .admit(&mut account.bucket, limit, request, now_ms);
    let verdict = if share.is_admitted {
      account.charge(request.units as i64, now_ms);
      UsageVerdict::WithinLimit
    } else {
      UsageVerdict::OverLimit {
        remaining: account.bucket.level(limit, now_ms),
        wait_ms: account.bucket.wait_ms(limit, share.required, now_ms),
      }
    };
    RankedVerdict {
      state: share.state,
      verdict,
    }
  }

  /// Records units that were requested of a reporter, admitted or not.
  pub fn record_demand(&mut self, organisation: &str, request: BandRequest, now_ms: u64) {
    if let Some(account) = self.accounts.get_mut(organisation) {
      account.demand.record(request, now_ms);
    }
  }

  /// The demand that was requested of this box and its reporters, by organisation near its limit: far from it nothing is reserved, and
  /// messages would grow with the number of organisations.
  pub fn own_demand(&mut self, now_ms: u64) -> Vec<(Name, BandDemand)> {
    let near_limit = self.accounts.iter_mut().filter_map(|(name, account)| {
      let remaining = account.bucket.level(account.limit, now_ms);
      let is_near = remaining < account.limit.burst * NEAR_LIMIT_SHARE;
      is_near.then_some((name, account))
    });
    let demand =
      near_limit.map(|(name, account)| (name.clone(), account.demand.own_demand(now_ms)));
    demand.filter(|(_, bands)| !bands.is_empty()).collect()
  }

  /// Replaces the demand that another coordinator reported; organisations that it leaves out have none.
  pub fn set_peer_demand(&mut self, peer: &Name, demand: Vec<(Name, BandDemand)>, now_ms: u64) {
    let mut demand: HashMap<Name, BandDemand> = demand.into_iter().collect();
    for (name, account) in &mut self.accounts {
      let bands = demand.remove(name).unwrap_or_default();
      account.demand.set_peer(peer, bands, now_ms);
    }
  }

  /// An organisation's reserved and lent units, and the counts of its bands.
  pub fn shares(
    &mut self,
    organisation: &str,
    now_ms: u64,
  ) -> Option<(ShareState, Vec<(DemandBand, BandCounts)>)> {
    let account = self.accounts.get_mut(organisation)?;
    let state = account.demand.reserved(account.limit, now_ms);
    Some((state, account.demand.counts().collect()))
  }

  /// Charges units that a reporter has admitted, or refunds them when negative.
  pub fn charge(&mut self, organisation: &str, units: i64, now_ms: u64) {
    if let Some(account) = self.accounts.get_mut(organisation) {
      account.bucket.level(account.limit, now_ms);
      account.charge(units, now_ms);
    }
  }

  /// The organisations near their limits, with their remaining units.
  pub fn near_limit(&mut self, now_ms: u64) -> Vec<(Name, f64)> {
    let balances = self.balances(now_ms);
    let near_limit = balances
      .into_iter()
      .filter(|(_, remaining, limit)| *remaining < limit.burst * NEAR_LIMIT_SHARE);
    near_limit
      .map(|(name, remaining, _)| (name, remaining))
      .collect()
  }

  /// Remaining units of an organisation and its limit, if it has one.
  pub fn remaining(&mut self, organisation: &str, now_ms: u64) -> Option<(f64, UsageLimit)> {
    let account = self.accounts.get_mut(organisation)?;
    let remaining = account.bucket.level(account.limit, now_ms);
    Some((remaining, account.limit))
  }

  /// All organisations with a limit, each with its remaining units and limit.
  pub fn balances(&mut self, now_ms: u64) -> Vec<(Name, f64, UsageLimit)> {
    let names: Vec<Name> = self.accounts.keys().cloned().collect();
    let mut balances = Vec::new();
    for name in names {
      self.charge_unreachable(&name, now_ms);
      if let Some((remaining, limit)) = self.remaining(&name, now_ms) {
        balances.push((name, remaining, limit));
      }
    }
    balances
  }

  /// The totals to report: all, or those that have changed enough to matter to other coordinators.
  pub fn totals_to_report(&mut self, scope: ReportScope) -> Vec<(Name, i64)> {
    let mut totals = Vec::new();
    for (name, account) in &mut self.accounts {
      let unreported = (account.total - account.reported).abs() as f64;
      let is_reported = match scope {
        ReportScope::All => account.total != 0,
        ReportScope::Changed => unreported > account.limit.burst * REPORTED_CHANGE_SHARE,
      };
      if is_reported {
        account.reported = account.total;
        totals.push((name.clone(), account.total));
      }
    }
    totals
  }

  /// Charges what another coordinator has charged since its last report.
  pub fn merge_totals(&mut self, from: &UsageTotals, own_uptime_ms: u64, now_ms: u64) {
    let is_new = match self.peers.get(&from.box_name) {
      Some(peer) => peer.incarnation != from.incarnation,
      None => true,
    };
    if is_new {
      // What an older box charged before this one started is ignored: the time of that usage is unknown.
      let is_charged_from_start = from.uptime_ms <= own_uptime_ms;
      let peer = Peer::new(from.incarnation, is_charged_from_start);
      self.peers.insert(from.box_name.clone(), peer);
    }
    let Some(peer) = self.peers.get_mut(&from.box_name) else {
      return;
    };
    peer.last_contact_ms = now_ms;
    peer.reporters = from.reporters;
    for (name, total) in &from.totals {
      let units = peer.record_total(name, *total, now_ms);
      if let Some(account) = self.accounts.get_mut(name) {
        account.bucket.level(account.limit, now_ms);
        account.bucket.charge(account.limit, units);
      }
    }
  }

  /// Records a report of a box.
  pub fn record_reporter(&mut self, name: &Name, now_ms: u64) {
    self.reporters.record(name, now_ms);
  }

  /// The number of boxes that report to this one.
  pub fn reporter_count(&mut self, now_ms: u64) -> usize {
    self.reporters.count(now_ms)
  }

  /// Computes the share of boxes that report to no coordinator: they admit requests in isolation, and their share of each
  /// limit is withheld.
  pub fn set_box_count(&mut self, boxes: usize, now_ms: u64) {
    let coordinators = self.peers.values().filter(|peer| peer.is_coordinator);
    let of_peers: usize = coordinators.map(|peer| peer.reporters + 1).sum();
    let in_contact = of_peers + self.reporters.count(now_ms) + 1;
    self.isolated_share = boxes.saturating_sub(in_contact) as f64 / boxes.max(1) as f64;
  }

  /// Sets the coordinators. Totals of former coordinators are kept: they continue when the boxes become coordinators again.
  pub fn set_coordinators(&mut self, is_coordinator: impl Fn(&str) -> bool) {
    for (name, peer) in &mut self.peers {
      peer.is_coordinator = is_coordinator(name);
    }
  }

  /// Charges the assumed usage of unreachable coordinators: their shares of the rate.
  fn charge_unreachable(&mut self, organisation: &Name, now_ms: u64) {
    let Some(account) = self.accounts.get_mut(organisation) else {
      return;
    };
    account.withhold(self.isolated_share, now_ms);
    if !self.peers.values().any(|peer| peer.is_unreachable(now_ms)) {
      return;
    }
    let min_weight = account.limit.rate_per_s * MIN_WEIGHT_S;
    let weight = |peer: &Peer| peer.recent(organisation, now_ms) + min_weight;
    let own = account.recent.before_outage(now_ms) + min_weight;
    let coordinators = self.peers.values().filter(|peer| peer.is_coordinator);
    let total = own + coordinators.map(weight).sum::<f64>();
    account.bucket.level(account.limit, now_ms);
    for peer in self.peers.values_mut() {
      if peer.is_unreachable(now_ms) {
        let share = weight(peer) / total;
        let units = peer.assume(organisation, share, account.limit.rate_per_s, now_ms);
        account.bucket.charge(account.limit, units);
      }
    }
  }
}

impl Account {
  fn new(limit: UsageLimit, former_total: Option<i64>, now_ms: u64) -> Self {
    let total = former_total.unwrap_or(0);
    Self {
      bucket: TokenBucket::full(limit, now_ms),
      demand: DemandBands::default(),
      withheld_until_ms: now_ms,
      limit,
      recent: RecentUsage::default(),
      reported: total,
      total,
    }
  }

  fn with_limit(mut self, limit: UsageLimit, now_ms: u64) -> Self {
    if limit != self.limit {
      self.bucket.change(self.limit, limit, now_ms);
      self.limit = limit;
    }
    self
  }

  /// Charges the share of isolated boxes.
  fn withhold(&mut self, share: f64, now_ms: u64) {
    let passed_s = now_ms.saturating_sub(self.withheld_until_ms) as f64 / 1_000.0;
    self.withheld_until_ms = now_ms;
    if share > 0.0 {
      self.bucket.level(self.limit, now_ms);
      let units = self.limit.rate_per_s * share * passed_s;
      self.bucket.charge(self.limit, units);
    }
  }

  fn charge(&mut self, units: i64, now_ms: u64) {
    self.bucket.charge(self.limit, units as f64);
    self.total += units;
    self.recent.record(units as f64, now_ms);
  }
}
