//! Which boxes are live, and rendezvous hashing over them.

use {
  super::{BoxEntry, Heartbeat},
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::collections::{BTreeMap, BTreeSet},
};

/// Largest hall in which each box sends heartbeats to all others; in larger ones each has a fixed set of neighbours.
pub const FULL_MESH_BOXES: usize = 8;

/// This box's view of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
  /// The peer's entry in the platform's box list.
  pub entry: BoxEntry,
  /// The incarnation of its last heartbeat; 0 before the first.
  pub incarnation: u64,
  /// When its last heartbeat arrived.
  pub last_contact_ms: u64,
  /// Whether it reports that it is stopping.
  pub leaving: bool,
  pub live: bool,
}

/// The boxes of the platform's list, with the state that their heartbeats report.
#[derive(Clone, Debug)]
pub struct Membership {
  own_name: Name,
  own_hall: Name,
  peers: BTreeMap<Name, Peer>,
  /// Peers of this hall that send their heartbeats to this box.
  expected_senders: BTreeSet<Name>,
}

impl Membership {
  pub fn new(own_name: Name, own_hall: Name) -> Self {
    Self {
      expected_senders: BTreeSet::new(),
      own_name,
      own_hall,
      peers: BTreeMap::new(),
    }
  }

  /// Applies the platform's list. A box that is no longer listed stays while its heartbeats arrive.
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

  /// Names of this hall's boxes, including this one.
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

  /// Records a heartbeat; true if the peer was not live before.
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

  /// Marks peers as lost from which no heartbeat has arrived within the timeout, and returns them. Peers that are not
  /// expected to send heartbeats to this box are removed by the platform's list alone.
  pub fn expire(&mut self, now_ms: u64, timeout_ms: u64) -> Vec<Peer> {
    let mut lost = Vec::new();
    for peer in self.peers.values_mut() {
      let is_expected = self.expected_senders.contains(&peer.entry.name);
      if peer.live && is_expected && now_ms.saturating_sub(peer.last_contact_ms) > timeout_ms {
        peer.live = false;
        lost.push(peer.clone());
      }
    }
    lost
  }

  /// After a jump of this box's clock: gives each peer a full timeout again.
  pub fn reset_contact_times(&mut self, now_ms: u64) {
    for peer in self.peers.values_mut() {
      peer.last_contact_ms = now_ms;
    }
  }

  pub fn peers(&self) -> impl Iterator<Item = &Peer> {
    self.peers.values()
  }

  pub fn peer(&self, name: &Name) -> Option<&Peer> {
    self.peers.get(name)
  }

  /// Boxes of a hall that may own endpoints: live and not leaving.
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

  /// Whether each box of this hall sends heartbeats to all others.
  pub fn is_full_mesh(&self) -> bool {
    let peers = self.peers.values();
    let others = peers
      .filter(|peer| peer.entry.hall == self.own_hall)
      .count();
    others < FULL_MESH_BOXES
  }

  /// The peers of this hall that get this box's heartbeats.
  pub fn hall_neighbours(&self) -> Vec<Name> {
    neighbours_of(&self.own_name, &self.hall_boxes())
  }

  /// One live box of each other hall.
  pub fn other_hall_neighbours(&self) -> Vec<Name> {
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

/// The boxes of its hall to which a box sends heartbeats: all in a small hall, else a fixed number in rendezvous order.
fn neighbours_of(name: &Name, hall: &[Name]) -> Vec<Name> {
  let others = hall
    .iter()
    .filter(|other| *other != name)
    .cloned()
    .collect::<Vec<_>>();
  if others.len() < FULL_MESH_BOXES {
    return others;
  }
  let mut ordered = rendezvous_order(name, &others);
  ordered.truncate(FULL_MESH_BOXES - 1);
  ordered
}

/// Candidates by rendezvous hashing with a subject, best first.
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
