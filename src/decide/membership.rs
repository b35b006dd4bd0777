//! Which boxes live, and which of them is home of which endpoint.

use {
  super::{BoxEntry, Heartbeat},
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::collections::BTreeMap,
};

/// Boxes that exchange heartbeats with all others of their hall; above, each has so many neighbours.
pub const FULL_MESH_BOXES: usize = 8;

/// A peer as this box sees it.
#[derive(Clone, Debug)]
pub struct Peer {
  /// Its entry in the platform's box list.
  pub entry: BoxEntry,
  /// Its start, from its heartbeats; 0 before the first.
  pub incarnation: u64,
  /// When it was last heard.
  pub heard_ms: u64,
  /// Whether it says that it is stopping.
  pub leaving: bool,
  /// Whether it counts as alive.
  pub live: bool,
}

/// The boxes of the platform's list, with what heartbeats say of them.
#[derive(Clone, Debug)]
pub struct Membership {
  own: Name,
  own_hall: Name,
  peers: BTreeMap<Name, Peer>,
}

impl Membership {
  /// A box that knows only itself.
  pub fn new(own: Name, own_hall: Name) -> Self {
    Self {
      own,
      own_hall,
      peers: BTreeMap::new(),
    }
  }

  /// Takes in the platform's list. A box that is not listed any more stays while it is heard.
  pub fn list(&mut self, now_ms: u64, entries: &[BoxEntry]) {
    for entry in entries.iter().filter(|entry| entry.name != self.own) {
      let peer = self
        .peers
        .entry(entry.name.clone())
        .or_insert_with(|| Peer {
          entry: entry.clone(),
          heard_ms: now_ms,
          incarnation: 0,
          leaving: entry.leaving,
          live: true,
        });
      peer.entry = entry.clone();
    }
    self.peers.retain(|name, peer| {
      peer.live && peer.incarnation > 0 || entries.iter().any(|entry| entry.name == *name)
    });
  }

  /// Takes in a heartbeat; true when the peer counts as alive only since now.
  pub fn heard(&mut self, now_ms: u64, from: &Name, heartbeat: &Heartbeat) -> bool {
    let Some(peer) = self.peers.get_mut(from) else {
      return false;
    };
    if heartbeat.incarnation < peer.incarnation {
      return false;
    }
    let news = !peer.live;
    peer.incarnation = heartbeat.incarnation;
    peer.heard_ms = now_ms;
    peer.leaving = heartbeat.leaving;
    peer.live = true;
    news
  }

  /// Marks silent peers dead and answers with them. A box of another hall that never sent anything
  /// here is not expected to: the platform's list alone speaks for it.
  pub fn expire(&mut self, now_ms: u64, silence_ms: u64) -> Vec<Peer> {
    let mut lost = Vec::new();
    for peer in self.peers.values_mut() {
      let expected = peer.incarnation > 0 || peer.entry.hall == self.own_hall;
      if peer.live && expected && now_ms.saturating_sub(peer.heard_ms) > silence_ms {
        peer.live = false;
        lost.push(peer.clone());
      }
    }
    lost
  }

  /// The own clock jumped: peers get a full silence again before they count as dead.
  pub fn forgive(&mut self, now_ms: u64) {
    for peer in self.peers.values_mut() {
      peer.heard_ms = now_ms;
    }
  }

  /// All peers.
  pub fn peers(&self) -> impl Iterator<Item = &Peer> {
    self.peers.values()
  }

  /// A peer by name.
  pub fn peer(&self, name: &Name) -> Option<&Peer> {
    self.peers.get(name)
  }

  /// Boxes of a hall that can be home: alive and not leaving.
  pub fn candidates(&self, hall: &Name, own_leaving: bool) -> Vec<Name> {
    let mut names = self
      .peers
      .values()
      .filter(|peer| peer.entry.hall == *hall && peer.live && !peer.leaving)
      .map(|peer| peer.entry.name.clone())
      .collect::<Vec<_>>();
    if *hall == self.own_hall && !own_leaving {
      names.push(self.own.clone());
    }
    names
  }

  /// The peers that get this box's heartbeats: the whole hall while it is small, else fixed
  /// neighbours; and one box of each other hall.
  pub fn neighbours(&self) -> Vec<Name> {
    let hall = self
      .peers
      .values()
      .filter(|peer| peer.entry.hall == self.own_hall)
      .map(|peer| peer.entry.name.clone())
      .collect::<Vec<_>>();
    let mut names = if hall.len() < FULL_MESH_BOXES {
      hall
    } else {
      ranked(&self.own, &hall)
        .into_iter()
        .take(FULL_MESH_BOXES - 1)
        .collect()
    };
    let mut halls = BTreeMap::<Name, Vec<Name>>::new();
    for peer in self.peers.values() {
      if peer.entry.hall != self.own_hall && peer.live {
        halls
          .entry(peer.entry.hall.clone())
          .or_default()
          .push(peer.entry.name.clone());
      }
    }
    names.extend(
      halls
        .into_values()
        .filter_map(|boxes| ranked(&self.own, &boxes).into_iter().next()),
    );
    names
  }
}

/// Candidates in rendezvous order for a subject, the best first.
///
/// ```
/// use rillford::decide::ranked;
/// let boxes = ["a".into(), "b".into(), "c".into()];
/// let first = ranked(&"engine-1".into(), &boxes);
/// let fewer = boxes.iter().filter(|name| **name != first[0]).cloned().collect::<Vec<_>>();
/// assert_eq!(ranked(&"engine-1".into(), &fewer)[0], first[1]);
/// ```
pub fn ranked(subject: &Name, candidates: &[Name]) -> Vec<Name> {
  let mut scored = candidates
    .iter()
    .map(|name| (score(subject, name), name.clone()))
    .collect::<Vec<_>>();
  scored.sort_by(|a, b| b.cmp(a));
  scored.into_iter().map(|(_, name)| name).collect()
}

fn score(subject: &str, candidate: &str) -> u64 {
  let digest = Sha256::new()
    .chain_update(subject)
    .chain_update([0])
    .chain_update(candidate)
    .finalize();
  let mut bytes = [0; 8];
  bytes.copy_from_slice(&digest[..8]);
  u64::from_be_bytes(bytes)
}
