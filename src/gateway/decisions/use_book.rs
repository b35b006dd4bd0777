//! What organisations have used of their limits, counted over all boxes by the few that count. Free of I/O.
//!
//! Load pattern: an organisation sends several times its usual within milliseconds and over every box, while halls are
//! cut off from each other. Each counting box charges what it and its followers admit at once, and what the other counting
//! boxes admit as soon as they say so. Use in any window stays within rate x window + burst + the debt at its end, and the
//! debt is at most what is admitted elsewhere while a message is on its way. A counting box that is silent is taken to go on
//! using its former part of the rate: both sides of a cut do so, which leaves each its own part and keeps the sum.

use {
  super::{
    follower_list::FollowerList, peer_use::Peer, recent_use::RecentUse, use_bucket::UseBucket,
    use_verdict::UseVerdict,
  },
  crate::{gateway::edge::UsageLimit, ids::Name},
  serde::{Deserialize, Serialize},
  std::collections::HashMap,
};

/// Weight that a counting box has without any use, as a time at the limit's rate: a cut that comes before the first use
/// leaves each box a part.
const LEAST_WEIGHT_S: f64 = 0.02;
/// Part of the burst below which an organisation is short: its requests are counted before they are admitted.
const SHORT_SHARE: f64 = 0.5;

/// Part of the burst by which a total has changed when the others are told at once: with 18 boxes that count they know all but
/// a sixth of a burst, as a rule.
const CHANGE_SHARE: f64 = 0.01;

/// Which totals are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ToldSpan {
  /// All, so that what was lost on the way is made up for.
  All,
  /// Those that have changed.
  Changes,
}

/// What a counting box tells the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UseTotals {
  /// The box.
  pub box_name: Name,
  /// Tells its starts apart.
  pub incarnation: u64,
  /// How long ago it started.
  pub uptime_ms: u64,
  /// Boxes that report to it.
  pub followers: usize,
  /// Units that it has counted since then, by organisation; some may be left out.
  pub totals: Vec<(Name, i64)>,
}

/// One organisation's account.
#[derive(Clone, Debug)]
struct Account {
  limit: UsageLimit,
  bucket: UseBucket,
  /// Units that this box has counted since it started.
  total: i64,
  /// The total as it was last told.
  told: i64,
  recent: RecentUse,
  /// Up to when a part was kept back for boxes that are alone.
  kept_back_to_ms: u64,
}

/// The accounts of a counting box.
///
/// ```
/// use rillford::gateway::{UseBook, UsageLimit, UseVerdict};
/// let mut book = UseBook::default();
/// let limit = UsageLimit { burst: 100.0, rate_per_s: 10.0 };
/// let lectures = "lectures".into();
/// book.set_limits([("lectures".into(), limit)], 0);
/// assert_eq!(book.admit(&lectures, 80, 0), UseVerdict::Within);
/// let refused = book.admit(&lectures, 40, 0);
/// assert_eq!(refused, UseVerdict::Beyond { left: 20.0, wait_ms: 2_000 });
/// assert_eq!(book.admit(&lectures, 40, 2_000), UseVerdict::Within);
/// // Who has no limit is always within it.
/// assert_eq!(book.admit(&"captions".into(), 1_000_000, 0), UseVerdict::Within);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UseBook {
  accounts: HashMap<Name, Account>,
  /// Totals of organisations that have no limit any more.
  former_totals: HashMap<Name, i64>,
  peers: HashMap<Name, Peer>,
  followers: FollowerList,
  /// Part of all boxes that reports to nobody who counts.
  lone_share: f64,
}

impl UseBook {
  /// Puts limits in force. Of organisations that have none any more the totals are kept, since others go by their growth.
  pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Name, UsageLimit)>, now_ms: u64) {
    let mut accounts = HashMap::new();
    for (name, limit) in limits {
      let account = match self.accounts.remove(&name) {
        Some(known) => known.with_limit(limit, now_ms),
        None => Account::new(limit, self.former_totals.remove(&name), now_ms),
      };
      accounts.insert(name, account);
    }
    let gone = std::mem::replace(&mut self.accounts, accounts);
    let totals = gone
      .into_iter()
      .map(|(name, account)| (name, account.total));
    self.former_totals.extend(totals);
  }

  /// Whether no organisation is limited.
  pub fn is_empty(&self) -> bool {
    self.accounts.is_empty()
  }

  /// An organisation's limit; nothing when it has none.
  pub fn limit(&self, organisation: &str) -> Option<UsageLimit> {
    self.accounts.get(organisation).map(|account| account.limit)
  }

  /// Counts a request if it is within its organisation's limit.
  pub fn admit(&mut self, organisation: &Name, units: u64, now_ms: u64) -> UseVerdict {
    self.settle_unheard(organisation, now_ms);
    let Some(account) = self.accounts.get_mut(organisation) else {
      return UseVerdict::Within;
    };
    let left = account.bucket.left(account.limit, now_ms);
    // A request larger than the bucket is admitted when the bucket is full.
    let wanted = (units as f64).min(account.limit.burst);
    if left < wanted {
      let wait_ms = account.bucket.wait_ms(account.limit, wanted, now_ms);
      return UseVerdict::Beyond { left, wait_ms };
    }
    account.count(units as i64, now_ms);
    UseVerdict::Within
  }

  /// Counts what a follower has admitted, or given back.
  pub fn count(&mut self, organisation: &str, units: i64, now_ms: u64) {
    if let Some(account) = self.accounts.get_mut(organisation) {
      account.bucket.left(account.limit, now_ms);
      account.count(units, now_ms);
    }
  }

  /// The organisations that are short, each with the units that are left.
  pub fn short(&mut self, now_ms: u64) -> Vec<(Name, f64)> {
    let standings = self.standings(now_ms);
    let short = standings
      .into_iter()
      .filter(|(_, left, limit)| *left < limit.burst * SHORT_SHARE);
    short.map(|(name, left, _)| (name, left)).collect()
  }

  /// Units that are left of an organisation's limit; nothing when it has none.
  pub fn left(&mut self, organisation: &str, now_ms: u64) -> Option<(f64, UsageLimit)> {
    let account = self.accounts.get_mut(organisation)?;
    let left = account.bucket.left(account.limit, now_ms);
    Some((left, account.limit))
  }

  /// All organisations that are limited, each with the units that are left.
  pub fn standings(&mut self, now_ms: u64) -> Vec<(Name, f64, UsageLimit)> {
    let names: Vec<Name> = self.accounts.keys().cloned().collect();
    let mut standings = Vec::new();
    for name in names {
      self.settle_unheard(&name, now_ms);
      if let Some((left, limit)) = self.left(&name, now_ms) {
        standings.push((name, left, limit));
      }
    }
    standings
  }

  /// What this box has counted since it started, by organisation: all of it, or what has changed enough to matter to others.
  pub fn totals_to_tell(&mut self, span: ToldSpan) -> Vec<(Name, i64)> {
    let mut totals = Vec::new();
    for (name, account) in &mut self.accounts {
      let untold = (account.total - account.told).abs() as f64;
      let is_due = match span {
        ToldSpan::All => account.total != 0,
        ToldSpan::Changes => untold > account.limit.burst * CHANGE_SHARE,
      };
      if is_due {
        account.told = account.total;
        totals.push((name.clone(), account.total));
      }
    }
    totals
  }

  /// Charges what another counting box has counted since it was last heard.
  pub fn hear(&mut self, from: &UseTotals, own_uptime_ms: u64, now_ms: u64) {
    let is_new = match self.peers.get(&from.box_name) {
      Some(peer) => peer.incarnation != from.incarnation,
      None => true,
    };
    if is_new {
      // What an older box counted before this one started is not charged: it is not known when that was.
      let counts_from_start = from.uptime_ms <= own_uptime_ms;
      let peer = Peer::new(from.incarnation, counts_from_start);
      self.peers.insert(from.box_name.clone(), peer);
    }
    let Some(peer) = self.peers.get_mut(&from.box_name) else {
      return;
    };
    peer.heard_ms = now_ms;
    peer.followers = from.followers;
    for (name, total) in &from.totals {
      let units = peer.note(name, *total, now_ms);
      if let Some(account) = self.accounts.get_mut(name) {
        account.bucket.left(account.limit, now_ms);
        account.bucket.charge(account.limit, units);
      }
    }
  }

  /// A box has reported.
  pub fn note_follower(&mut self, name: &Name, now_ms: u64) {
    self.followers.note(name, now_ms);
  }

  /// How many boxes report to this one.
  pub fn follower_count(&mut self, now_ms: u64) -> usize {
    self.followers.count(now_ms)
  }

  /// Works out how many of all boxes report to nobody who counts: those go on by themselves, and a part of each limit is kept
  /// back for them.
  pub fn set_box_count(&mut self, boxes: usize, now_ms: u64) {
    let counting = self.peers.values().filter(|peer| peer.is_counting);
    let of_peers: usize = counting.map(|peer| peer.followers + 1).sum();
    let heard = of_peers + self.followers.count(now_ms) + 1;
    self.lone_share = boxes.saturating_sub(heard) as f64 / boxes.max(1) as f64;
  }

  /// Says which boxes count now. What the others told is kept for when they are back: their totals go on.
  pub fn set_counting(&mut self, is_counting: impl Fn(&str) -> bool) {
    for (name, peer) in &mut self.peers {
      peer.is_counting = is_counting(name);
    }
  }

  /// Takes boxes that are not heard to go on using their parts of the rate.
  fn settle_unheard(&mut self, organisation: &Name, now_ms: u64) {
    let Some(account) = self.accounts.get_mut(organisation) else {
      return;
    };
    account.keep_back(self.lone_share, now_ms);
    if !self.peers.values().any(|peer| peer.is_cut_off(now_ms)) {
      return;
    }
    let least = account.limit.rate_per_s * LEAST_WEIGHT_S;
    let weight = |peer: &Peer| peer.recent(organisation, now_ms) + least;
    let own = account.recent.before_cut(now_ms) + least;
    let counting = self.peers.values().filter(|peer| peer.is_counting);
    let all = own + counting.map(weight).sum::<f64>();
    account.bucket.left(account.limit, now_ms);
    for peer in self.peers.values_mut() {
      if peer.is_cut_off(now_ms) {
        let share = weight(peer) / all;
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
      bucket: UseBucket::full(limit, now_ms),
      kept_back_to_ms: now_ms,
      limit,
      recent: RecentUse::default(),
      told: total,
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

  /// Keeps back what boxes that are alone may use.
  fn keep_back(&mut self, share: f64, now_ms: u64) {
    let passed_s = now_ms.saturating_sub(self.kept_back_to_ms) as f64 / 1_000.0;
    self.kept_back_to_ms = now_ms;
    if share > 0.0 {
      self.bucket.left(self.limit, now_ms);
      let units = self.limit.rate_per_s * share * passed_s;
      self.bucket.charge(self.limit, units);
    }
  }

  fn count(&mut self, units: i64, now_ms: u64) {
    self.bucket.charge(self.limit, units as f64);
    self.total += units;
    self.recent.note(units as f64, now_ms);
  }
}
