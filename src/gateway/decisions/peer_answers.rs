//! Which boxes are asked to serve requests whose endpoints this box can't reach, and what they answered before. Free of I/O.
//!
//! Load pattern: from one box to all but a few are cut off from the endpoints of a service at once, in one hall or in all. Each
//! of them has a few requests a second, and can't know which of the others are cut off too. What a box answered to one
//! request holds for the next ones.
//!
//! Limits: a box that declined is not asked again for a second, and then after those that were not asked for longer, so that a
//! search gets to all boxes. While none of the asked boxes accepts, searches pause for longer and longer, so that a service that
//! is down for all boxes costs them little.

use {
  crate::ids::Name,
  std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
  },
};

/// Boxes that are asked for a request.
const MAX_PEERS: usize = 8;
/// Accepting boxes that a box looks for, so that those which are not cut off share the load.
const WANTED_ACCEPTING: usize = 3;
/// Share of requests for which another accepting box is looked for.
const SEARCH_SHARE: f64 = 0.25;
/// Accepting boxes that are remembered for a service.
const MAX_ACCEPTING: usize = 16;
/// How long a box that declined is not asked again.
const DECLINED_MS: u64 = 1_000;
/// Boxes that declined that are remembered for a service.
const MAX_DECLINED: usize = 2_048;
/// Searches in vain from which on they pause.
const MIN_FRUITLESS: u32 = 3;
/// First pause; doubled with each further search in vain.
const MIN_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 1_000;

/// The boxes that a request may be forwarded to.
#[derive(Clone, Debug, Default)]
pub struct PeerList {
  pub own_hall: Vec<SocketAddr>,
  pub other_halls: Vec<SocketAddr>,
  /// Boxes whose entries have expired.
  pub former: Vec<SocketAddr>,
}

impl PeerList {
  fn contains(&self, address: SocketAddr) -> bool {
    let all = [&self.own_hall, &self.other_halls, &self.former];
    all.into_iter().any(|boxes| boxes.contains(&address))
  }
}

/// What boxes answered to requests for one service.
#[derive(Clone, Debug, Default)]
struct ServiceAnswers {
  accepting: BTreeSet<SocketAddr>,
  /// When boxes declined that did not accept since.
  declined_ms: HashMap<SocketAddr, u64>,
  /// Searches in a row in which no box accepted.
  fruitless: u32,
  paused_until_ms: u64,
}

/// What other boxes answered to requests that this box forwarded.
///
/// ```
/// use rillford::gateway::{PeerAnswers, PeerList};
/// let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
/// let peers = PeerList { own_hall: vec![address(1)], other_halls: vec![address(2)], ..PeerList::default() };
/// let mut answers = PeerAnswers::default();
/// assert_eq!(answers.next("llm", &peers, &[], 0, || 0.5), Some(address(1)));
/// answers.record_declined("llm", address(1), 0);
/// assert_eq!(answers.next("llm", &peers, &[address(1)], 3, || 0.5), Some(address(2)));
/// answers.record_accepted("llm", address(2));
/// assert_eq!(answers.next("llm", &peers, &[], 200, || 0.5), Some(address(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerAnswers {
  services: HashMap<Name, ServiceAnswers>,
}

impl PeerAnswers {
  /// The box to ask next for a request that the boxes in `tried` did not accept; `None` when it is to be rejected. `draw` yields
  /// numbers in `[0, 1)`.
  pub fn next(
    &self,
    service: &str,
    peers: &PeerList,
    tried: &[SocketAddr],
    now_ms: u64,
    mut draw: impl FnMut() -> f64,
  ) -> Option<SocketAddr> {
    if tried.len() >= MAX_PEERS {
      return None;
    }
    let unknown = ServiceAnswers::default();
    let answers = self.services.get(service).unwrap_or(&unknown);
    let accepting = answers.accepting(peers, tried);
    let searches = tried.is_empty()
      && accepting.len() < WANTED_ACCEPTING
      && (accepting.is_empty() || draw() < SEARCH_SHARE);
    if !searches && let Some(peer) = random(&accepting, &mut draw) {
      return Some(peer);
    }
    answers
      .unknown(peers, tried, now_ms, &mut draw)
      .or_else(|| random(&accepting, &mut draw))
  }

  /// Records that a box accepted a request.
  pub fn record_accepted(&mut self, service: &str, address: SocketAddr) {
    let answers = self.answers(service);
    answers.fruitless = 0;
    answers.paused_until_ms = 0;
    answers.declined_ms.remove(&address);
    answers.add_accepting(address);
  }

  /// Records that a box declined a request, could not be reached or lost it.
  pub fn record_declined(&mut self, service: &str, address: SocketAddr, now_ms: u64) {
    let answers = self.answers(service);
    answers.accepting.remove(&address);
    if answers.declined_ms.len() >= MAX_DECLINED {
      answers.forget_oldest();
    }
    answers.declined_ms.insert(address, now_ms);
  }

  /// Records that no box accepted a request.
  pub fn record_fruitless(&mut self, service: &str, now_ms: u64) {
    let answers = self.answers(service);
    answers.fruitless += 1;
    let Some(further) = answers.fruitless.checked_sub(MIN_FRUITLESS) else {
      return;
    };
    // Four doublings exceed the maximum.
    let pause_ms = (MIN_PAUSE_MS << further.min(4)).min(MAX_PAUSE_MS);
    answers.paused_until_ms = now_ms + pause_ms;
  }

  fn answers(&mut self, service: &str) -> &mut ServiceAnswers {
    self.services.entry(service.into()).or_default()
  }
}

impl ServiceAnswers {
  /// Whether a box declined so lately that it is not asked again.
  fn has_declined(&self, address: SocketAddr, now_ms: u64) -> bool {
    let declined_ms = self.declined_ms.get(&address);
    declined_ms.is_some_and(|declined_ms| now_ms < declined_ms + DECLINED_MS)
  }

  fn forget_oldest(&mut self) {
    let oldest = self.declined_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
    if let Some(address) = oldest.map(|(address, _)| *address) {
      self.declined_ms.remove(&address);
    }
  }

  fn add_accepting(&mut self, address: SocketAddr) {
    if self.accepting.len() < MAX_ACCEPTING {
      self.accepting.insert(address);
    }
  }

  /// The accepting boxes that were not tried; those of the own hall alone if they are enough, since traffic between halls is
  /// billed.
  fn accepting(&self, peers: &PeerList, tried: &[SocketAddr]) -> Vec<SocketAddr> {
    let untried = |address: &&SocketAddr| !tried.contains(address);
    let accepting = self.accepting.iter().filter(untried).copied();
    let accepting: Vec<SocketAddr> = accepting
      .filter(|address| peers.contains(*address))
      .collect();
    let in_own_hall = |address: &SocketAddr| peers.own_hall.contains(address);
    let own: Vec<SocketAddr> = accepting.iter().copied().filter(in_own_hall).collect();
    if own.len() >= WANTED_ACCEPTING {
      return own;
    }
    accepting
  }

  /// A box that may have come to accept: one that was never asked, first of the own hall, then of others, since a whole hall may
  /// be cut off; else the one that declined the longest ago.
  fn unknown(
    &self,
    peers: &PeerList,
    tried: &[SocketAddr],
    now_ms: u64,
    draw: &mut impl FnMut() -> f64,
  ) -> Option<SocketAddr> {
    if now_ms < self.paused_until_ms {
      return None;
    }
    let is_unknown = |address: &SocketAddr| {
      !tried.contains(address)
        && !self.accepting.contains(address)
        && !self.has_declined(*address, now_ms)
    };
    let groups = if tried.is_empty() {
      [&peers.own_hall, &peers.other_halls, &peers.former]
    } else {
      [&peers.other_halls, &peers.own_hall, &peers.former]
    };
    let unknown: Vec<Vec<SocketAddr>> = groups
      .into_iter()
      .map(|boxes| boxes.iter().copied().filter(is_unknown).collect())
      .collect();
    let never_asked = |boxes: &Vec<SocketAddr>| {
      let is_new = |address: &SocketAddr| !self.declined_ms.contains_key(address);
      let new: Vec<SocketAddr> = boxes.iter().copied().filter(is_new).collect();
      random(&new, draw)
    };
    let declined_ms = |address: &SocketAddr| self.declined_ms.get(address).copied();
    unknown
      .iter()
      .find_map(never_asked)
      .or_else(|| unknown.into_iter().flatten().min_by_key(declined_ms))
  }
}

/// A random address.
fn random(addresses: &[SocketAddr], draw: &mut impl FnMut() -> f64) -> Option<SocketAddr> {
  let index = (draw() * addresses.len() as f64) as usize;
  addresses
    .get(index.min(addresses.len().saturating_sub(1)))
    .copied()
}
