//! The boxes of the deployment, and which of them read the store for their hall. Free of I/O.

use {
  super::peak_box_count::{MIN_LARGE_BOXES, PeakBoxCount},
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
  },
};

/// Store readers of a hall. The first reads the store; the second follows the first, and reads the store when it fails.
const READERS_PER_HALL: usize = 2;

/// Fallback readers of a hall, tried in turn: when both store readers fail, the next boxes take their place, and the rest
/// need not read the store.
const FALLBACK_READERS_PER_HALL: usize = 4;

/// Boxes that are remembered after their entries are gone.
const MAX_FORMER: usize = 64;

/// A box's entry in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoxEntry {
  pub hall: Name,
  /// The address for other boxes.
  pub address: SocketAddr,
}

/// The boxes with an entry, by name.
///
/// ```
/// use rillford::gateway::{BoxEntry, BoxList};
/// let mut boxes = BoxList::default();
/// for number in 10..40 {
///   let address = format!("127.0.0.1:70{number}").parse().unwrap();
///   boxes.put(format!("box-{number}").as_str().into(), BoxEntry { hall: "north".into(), address });
/// }
/// assert!(boxes.readers_for("box-10", "north").is_empty());
/// assert_eq!(boxes.readers_for("box-11", "north").len(), 1);
/// assert_eq!(boxes.readers_for("box-30", "north").len(), 4);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BoxList {
  boxes: BTreeMap<Name, BoxEntry>,
  /// Boxes whose entries are gone, the last one at the back: their leases may have expired while they serve on.
  former: VecDeque<(Name, BoxEntry)>,
  revision: u64,
}

impl BoxList {
  /// Inserts or updates an entry.
  pub fn put(&mut self, name: Name, entry: BoxEntry) {
    self.former.retain(|(former, _)| *former != name);
    if self.boxes.get(&name) != Some(&entry) {
      self.revision += 1;
    }
    self.boxes.insert(name, entry);
  }

  /// Changes with each change of the list: what is computed from the list holds while it stays the same.
  pub fn revision(&self) -> u64 {
    self.revision
  }

  /// Removes a box; returns its entry, if it had one.
  pub fn remove(&mut self, name: &str) -> Option<BoxEntry> {
    let (name, entry) = self.boxes.remove_entry(name)?;
    self.revision += 1;
    self.former.push_back((name, entry.clone()));
    if self.former.len() > MAX_FORMER {
      self.former.pop_front();
    }
    Some(entry)
  }

  /// The other boxes whose entries are gone.
  pub fn former_peers(&self, name: &str) -> Vec<SocketAddr> {
    let others = self.former.iter().filter(|(former, _)| &**former != name);
    others.map(|(_, entry)| entry.address).collect()
  }

  /// The boxes whose entries are gone, as a list of their own. They may serve their last requests.
  ///
  /// ```
  /// use rillford::gateway::{BoxEntry, BoxList};
  /// let mut boxes = BoxList::default();
  /// boxes.put("box-1".into(), BoxEntry { hall: "north".into(), address: ([127, 0, 0, 1], 7_000).into() });
  /// assert!(boxes.former().is_empty());
  /// boxes.remove("box-1");
  /// assert_eq!(boxes.former().names(), ["box-1".into()]);
  /// ```
  pub fn former(&self) -> Self {
    Self {
      boxes: self.former.iter().cloned().collect(),
      ..Self::default()
    }
  }

  pub fn names(&self) -> Vec<Name> {
    self.boxes.keys().cloned().collect()
  }

  /// All boxes, ordered by name.
  pub fn entries(&self) -> impl Iterator<Item = (&Name, &BoxEntry)> {
    self.boxes.iter()
  }

  pub fn len(&self) -> usize {
    self.boxes.len()
  }

  pub fn is_empty(&self) -> bool {
    self.boxes.is_empty()
  }

  /// Whether the deployment is so large that most boxes follow store readers: each store call is billed.
  pub fn is_large(&self) -> bool {
    self.boxes.len() >= MIN_LARGE_BOXES
  }

  /// Whether a box is a store reader that others of its hall follow.
  pub fn is_reader(&self, name: &str) -> bool {
    self
      .position_in_hall(name)
      .is_some_and(|position| self.is_large() && position < READERS_PER_HALL)
  }

  /// Whether others of its hall ask a box when their store readers fail.
  pub fn is_fallback_reader(&self, name: &str) -> bool {
    !self.is_large()
      || self
        .position_in_hall(name)
        .is_some_and(|position| position < FALLBACK_READERS_PER_HALL)
  }

  /// Whether a box tries to become leader: in a large deployment only store readers do, since each try is a store call.
  pub fn is_leader_candidate(&self, name: &str) -> bool {
    !self.is_large() || self.is_reader(name)
  }

  /// The boxes that a box asks in turn while it can't reach the store: the fallback readers of all halls, those of its own
  /// hall first.
  pub fn fallback_readers_for(&self, name: &str, hall: &str) -> Vec<SocketAddr> {
    let fallback_readers = self
      .boxes
      .iter()
      .filter(|(other, _)| &***other != name && self.is_fallback_reader(other));
    let (own, others): (Vec<_>, Vec<_>) = fallback_readers
      .map(|(_, entry)| entry)
      .partition(|entry| &*entry.hall == hall);
    let entries = own.into_iter().chain(others);
    entries.map(|entry| entry.address).collect()
  }

  /// The other boxes: those of a hall, and the rest.
  pub fn peers(&self, name: &str, hall: &str) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let others = self.boxes.iter().filter(|(other, _)| &***other != name);
    let (own, rest): (Vec<_>, Vec<_>) = others
      .map(|(_, entry)| entry)
      .partition(|entry| &*entry.hall == hall);
    let addresses =
      |entries: Vec<&BoxEntry>| entries.into_iter().map(|entry| entry.address).collect();
    (addresses(own), addresses(rest))
  }

  /// Whether a box coordinates organisations' usage: all do in a small deployment, the store readers of each hall in a large
  /// one.
  pub fn is_coordinator(&self, name: &str, hall: &str) -> bool {
    !self.is_large() || self.before(name, hall).count() < READERS_PER_HALL
  }

  /// Whether a box coordinates organisations' usage now. While the list of a large deployment is lost nobody does: each box
  /// would take itself for a coordinator, and admit a whole burst that the real ones have already given out.
  ///
  /// ```
  /// use rillford::gateway::{BoxList, PeakBoxCount};
  /// let mut peak = PeakBoxCount::default();
  /// peak.record(24, 0);
  /// peak.record(0, 1_000);
  /// assert!(!BoxList::default().coordinates(&peak, "box-10", "north", 1_000));
  /// assert!(BoxList::default().coordinates(&peak, "box-10", "north", 11_000));
  /// ```
  pub fn coordinates(&self, peak: &PeakBoxCount, name: &str, hall: &str, now_ms: u64) -> bool {
    !peak.is_list_lost(now_ms) && self.is_coordinator(name, hall)
  }

  /// The coordinators besides one of them.
  pub fn other_coordinators(&self, name: &str) -> Vec<SocketAddr> {
    let others = self.coordinators().filter(|(other, _)| &***other != name);
    others.map(|(_, entry)| entry.address).collect()
  }

  /// The names of the coordinators.
  pub fn coordinator_names(&self) -> Vec<Name> {
    self.coordinators().map(|(name, _)| name.clone()).collect()
  }

  /// The coordinators for a box that is none, in order of preference: those of its hall first, rotated to spread the boxes
  /// of the hall over them.
  pub fn coordinators_for(&self, name: &str, hall: &str) -> Vec<SocketAddr> {
    let (mut own, others): (Vec<_>, Vec<_>) = self
      .coordinators()
      .map(|(_, entry)| entry)
      .partition(|entry| &*entry.hall == hall);
    if !own.is_empty() {
      let offset = self.before(name, hall).count() % own.len();
      own.rotate_left(offset);
    }
    own
      .into_iter()
      .chain(others)
      .map(|entry| entry.address)
      .collect()
  }

  /// The boxes that a box notifies of what it learned itself: all others in a small deployment. In a large one the
  /// coordinators, and for a store reader also its share of the boxes of its hall.
  pub fn notified_by(&self, name: &str) -> Vec<SocketAddr> {
    let mut addresses = self.other_coordinators(name);
    addresses.extend(self.forwarded_by(name));
    addresses
  }

  /// The boxes of its hall to which a box forwards notifications: the store readers of a hall share the others.
  ///
  /// ```
  /// use rillford::gateway::{BoxEntry, BoxList};
  /// let mut boxes = BoxList::default();
  /// for number in 10..40 {
  ///   let address = format!("127.0.0.1:70{number}").parse().unwrap();
  ///   boxes.put(format!("box-{number}").as_str().into(), BoxEntry { hall: "north".into(), address });
  /// }
  /// assert_eq!(boxes.forwarded_by("box-10").len(), 14);
  /// assert_eq!(boxes.notified_by("box-10").len(), 15);
  /// assert_eq!(boxes.notified_by("box-30").len(), 2);
  /// ```
  pub fn forwarded_by(&self, name: &str) -> Vec<SocketAddr> {
    let position = self.position_in_hall(name).filter(|_| self.is_reader(name));
    let Some((position, own)) = position.zip(self.boxes.get(name)) else {
      return Vec::new();
    };
    let in_hall = self.boxes.values().filter(|entry| entry.hall == own.hall);
    in_hall
      .skip(READERS_PER_HALL)
      .enumerate()
      .filter(|(index, _)| index % READERS_PER_HALL == position)
      .map(|(_, entry)| entry.address)
      .collect()
  }

  fn coordinators(&self) -> impl Iterator<Item = (&Name, &BoxEntry)> {
    self
      .boxes
      .iter()
      .filter(|(name, entry)| self.is_coordinator(name, &entry.hall))
  }

  /// The position of a box among those of its hall; `None` when it has no entry.
  fn position_in_hall(&self, name: &str) -> Option<usize> {
    let hall = &self.boxes.get(name)?.hall;
    Some(self.before(name, hall).count())
  }

  /// The boxes of a hall whose names sort before a name.
  fn before(&self, name: &str, hall: &str) -> impl Iterator<Item = &BoxEntry> {
    let in_hall = self
      .boxes
      .iter()
      .filter(move |(_, entry)| &*entry.hall == hall);
    in_hall
      .take_while(move |(other, _)| &***other < name)
      .map(|(_, entry)| entry)
  }

  /// The boxes that a box of a hall follows, in order of preference; none for a box that reads the store itself. Its own
  /// entry may be missing: it expires while the store is unreachable.
  pub fn readers_for(&self, name: &str, hall: &str) -> Vec<SocketAddr> {
    if !self.is_large() {
      return Vec::new();
    }
    let position = self.before(name, hall).count();
    let mut addresses: Vec<SocketAddr> = self
      .before(name, hall)
      .take(FALLBACK_READERS_PER_HALL)
      .map(|entry| entry.address)
      .collect();
    // Followers are spread over the two readers.
    if addresses.len() >= READERS_PER_HALL && position % READERS_PER_HALL == 1 {
      addresses.swap(0, 1);
    }
    addresses
  }
}
