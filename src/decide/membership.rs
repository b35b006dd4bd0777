//! Which boxes live, and which of them is home of which endpoint.

use {
  super::{BoxEntry, Heartbeat},
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::collections::{BTreeMap, BTreeSet},
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
  pub last_contact_ms: u64,
  /// Whether it says that it is stopping.
  pub leaving: bool,
  /// Whether it counts as alive.
  pub live: bool,
}

/// The boxes of the platform's list, with what heartbeats say of them.
#[derive(Clone, Debug)]
pub struct Membership {
  own_name: Name,
  own_hall: Name,
  peers: BTreeMap<Name, Peer>,
  /// Peers of the own hall that count this box among their neighbours.
  expected_senders: BTreeSet<Name>,
}

impl Membership {
  /// A box that knows only itself.
  pub fn new(own_name: Name, own_hall: Name) -> Self {
    Self {
      expected_senders: BTreeSet::new(),
      own_name,
      own_hall,
      peers: BTreeMap::new(),
    }
  }

  /// Takes in the platform's list. A box that is not listed any more stays while it is heard.
  pub fn apply_box_list(&mut self, now_ms: u64, entries: &[BoxEntry]) {
    for entry in entries.iter().filter(|entry| entry.name != self.own_name) {
      let peer = self
        .peers
        .entry(entry.name.clone())
        .or_insert_with(|| Peer {
          entry: entry.clone(),
          last_contact_ms: now_ms,
          incarnation: 0,
          leaving: entry.leaving,
          live: true,
        });
      peer.entry = entry.clone();
    }
    self.peers.retain(|name, peer| {
      peer.live && peer.incarnation > 0 || entries.iter().any(|entry| entry.name == *name)
    });
    self.expected_senders = self.compute_expected_senders();
  }

  /// Boxes of the own hall by name, this one included.
  fn hall_boxes(&self) -> Vec<Name> {
    let peers = self.peers.values();
    peers
      .filter(|peer| peer.entry.hall == self.own_hall)
      .map(|peer| peer.entry.name.clone())
      .chain([self.own_name.clone()])
      .collect()
  }

  fn compute_expected_senders(&self) -> BTreeSet<Name> {
    let hall = self.hall_boxes();
    let is_sender = |sender: &&Name| neighbours_of(sender, &hall).contains(&self.own_name);
    hall
      .iter()
      .filter(|name| **name != self.own_name)
      .filter(is_sender)
      .cloned()
      .collect()
  }

  /// Takes in a heartbeat; true when the peer counts as alive only since now.
  pub fn record_heartbeat(&mut self, now_ms: u64, from: &Name, heartbeat: &Heartbeat) -> bool {
    let Some(peer) = self.peers.get_mut(from) else {
      return false;
    };
    if heartbeat.incarnation < peer.incarnation {
      return false;
    }
    let became_live = !peer.live;
    peer.incarnation = heartbeat.incarnation;
    peer.last_contact_ms = now_ms;
    peer.leaving = heartbeat.leaving;
    peer.live = true;
    became_live
  }

  /// Marks silent peers dead and answers with them. For a box that is not expected to send anything
  /// here the platform's list alone speaks.
  pub fn expire(&mut self, now_ms: u64, silence_ms: u64) -> Vec<Peer> {
    let mut lost = Vec::new();
    for peer in self.peers.values_mut() {
      let expected = self.expected_senders.contains(&peer.entry.name);
      if peer.live && expected && now_ms.saturating_sub(peer.last_contact_ms) > silence_ms {
        peer.live = false;
        lost.push(peer.clone());
      }
    }
    lost
  }

  /// The own clock jumped: peers get a full silence again before they count as dead.
  pub fn reset_contact_times(&mut self, now_ms: u64) {
    for peer in self.peers.values_mut() {
      peer.last_contact_ms = now_ms;
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
  pub fn owner_candidates(&self, hall: &Name, own_leaving: bool) -> Vec<Name> {
    let mut names = self
      .peers
      .values()
      .filter(|peer| peer.entry.hall == *hall && peer.live && !peer.leaving)
      .map(|peer| peer.entry.name.clone())
      .collect::<Vec<_>>();
    if *hall == self.own_hall && !own_leaving {
      names.push(self.own_name.clone());
    }
    names
  }

  /// Whether the hall is small enough for all its boxes to speak with each other.
  pub fn is_full_mesh(&self) -> bool {
    let peers = self.peers.values();
    let others = peers
      .filter(|peer| peer.entry.hall == self.own_hall)
      .count();
    others < FULL_MESH_BOXES
  }

  /// The peers of the own hall that get this box's heartbeats: all while the hall is small, else
  /// fixed neighbours.
  pub fn hall_neighbours(&self) -> Vec<Name> {
    neighbours_of(&self.own_name, &self.hall_boxes())
  }

  /// One box of each other hall.
  pub fn far_neighbours(&self) -> Vec<Name> {
    let mut halls = BTreeMap::<Name, Vec<Name>>::new();
    for peer in self.peers.values() {
      if peer.entry.hall != self.own_hall && peer.live {
        halls
          .entry(peer.entry.hall.clone())
          .or_default()
          .push(peer.entry.name.clone());
      }
    }
    halls
      .into_values()
      .filter_map(|boxes| rendezvous_order(&self.own_name, &boxes).into_iter().next())
      .collect()
  }
}

/// The boxes of its hall that a box sends heartbeats to: all while the hall is small, else a fixed
/// number by rendezvous order.
fn neighbours_of(name: &Name, hall: &[Name]) -> Vec<Name> {
  let others = hall
    .iter()
    .filter(|other| *other != name)
    .cloned()
    .collect::<Vec<_>>();
  if others.len() < FULL_MESH_BOXES {
    return others;
  }
  let mut rendezvous_order = rendezvous_order(name, &others);
  rendezvous_order.truncate(FULL_MESH_BOXES - 1);
  rendezvous_order
}

/// Candidates in rendezvous order for a subject, the best first.
///
/// ```
/// use rillford::decide::rendezvous_order;
/// let boxes = ["a".into(), "b".into(), "c".into()];
/// let first = rendezvous_order(&"engine-1".into(), &boxes);
/// let fewer = boxes.iter().filter(|name| **name != first[0]).cloned().collect::<Vec<_>>();
/// assert_eq!(rendezvous_order(&"engine-1".into(), &fewer)[0], first[1]);
/// ```
pub fn rendezvous_order(subject: &Name, candidates: &[Name]) -> Vec<Name> {
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
