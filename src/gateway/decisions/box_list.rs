//! The boxes of the deployment, and which of them read the store for their hall. Free of I/O.

use {
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  std::{collections::BTreeMap, net::SocketAddr},
};

/// From this many boxes on, a hall's boxes follow its readers: each call to the store is priced.
const RELAY_FROM_BOXES: usize = 16;
/// Readers of a hall. The first reads the store; the second follows it, and reads the store when it fails.
const READERS: usize = 2;

/// Boxes of a hall that its others ask in turn: when both readers fail, the next boxes read the store in their place, and the
/// rest need not.
const ASKED: usize = 4;

/// What a box says of itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoxEntry {
  /// Its data hall.
  pub hall: Name,
  /// Where the other boxes reach it.
  pub address: SocketAddr,
}

/// The boxes that have an entry, by name.
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
}

impl BoxList {
  /// Takes over an entry.
  pub fn put(&mut self, name: Name, entry: BoxEntry) {
    self.boxes.insert(name, entry);
  }

  /// Forgets a box.
  pub fn remove(&mut self, name: &str) {
    self.boxes.remove(name);
  }

  /// The boxes' names.
  pub fn names(&self) -> Vec<Name> {
    self.boxes.keys().cloned().collect()
  }

  /// All boxes, in the order of their names.
  pub fn entries(&self) -> impl Iterator<Item = (&Name, &BoxEntry)> {
    self.boxes.iter()
  }

  /// How many boxes there are.
  pub fn len(&self) -> usize {
    self.boxes.len()
  }

  /// Whether no box is known.
  pub fn is_empty(&self) -> bool {
    self.boxes.is_empty()
  }

  /// Whether the boxes are so many that most follow others.
  pub fn is_large(&self) -> bool {
    self.boxes.len() >= RELAY_FROM_BOXES
  }

  /// Whether other boxes of its hall follow a box.
  pub fn is_reader(&self, name: &str) -> bool {
    self
      .place_in_hall(name)
      .is_some_and(|place| self.is_large() && place < READERS)
  }

  /// Whether others of its hall ask a box when their readers fail.
  pub fn is_fallback_reader(&self, name: &str) -> bool {
    !self.is_large() || self.place_in_hall(name).is_some_and(|place| place < ASKED)
  }

  /// Whether a box tries to become steward: in a large deployment only the readers do, since each try is a call.
  pub fn is_leader_candidate(&self, name: &str) -> bool {
    !self.is_large() || self.is_reader(name)
  }

  /// The boxes that a box asks in turn when it doesn't reach the store itself: of each hall those that others ask, the own hall's
  /// first.
  pub fn fallback_readers_for(&self, name: &str, hall: &str) -> Vec<SocketAddr> {
    let asked = self
      .boxes
      .iter()
      .filter(|(other, _)| &***other != name && self.is_fallback_reader(other));
    let (own, others): (Vec<_>, Vec<_>) = asked
      .map(|(_, entry)| entry)
      .partition(|entry| &*entry.hall == hall);
    let entries = own.into_iter().chain(others);
    entries.map(|entry| entry.address).collect()
  }

  /// Whether a box counts organisations' use for others: all do in a small deployment, and the readers of each hall in a large
  /// one.
  pub fn is_coordinator(&self, name: &str, hall: &str) -> bool {
    !self.is_large() || self.before(name, hall).count() < READERS
  }

  /// The boxes that count besides one of them.
  pub fn other_coordinators(&self, name: &str) -> Vec<SocketAddr> {
    let others = self.counting().filter(|(other, _)| &***other != name);
    others.map(|(_, entry)| entry.address).collect()
  }

  /// The names of the boxes that count.
  pub fn coordinator_names(&self) -> Vec<Name> {
    self.counting().map(|(name, _)| name.clone()).collect()
  }

  /// The boxes that count, for one that does not: those of its hall come first, and the boxes of a hall share them.
  pub fn coordinators_for(&self, name: &str, hall: &str) -> Vec<SocketAddr> {
    let (mut own, others): (Vec<_>, Vec<_>) = self
      .counting()
      .map(|(_, entry)| entry)
      .partition(|entry| &*entry.hall == hall);
    if !own.is_empty() {
      let turn = self.before(name, hall).count() % own.len();
      own.rotate_left(turn);
    }
    own
      .into_iter()
      .chain(others)
      .map(|entry| entry.address)
      .collect()
  }

  /// The boxes that one of them tells of what it heard first: all others in a small deployment. In a large one those that read the
  /// store for their halls, and for these also the part of their hall's boxes that is theirs.
  pub fn notified_by(&self, name: &str) -> Vec<SocketAddr> {
    let mut addresses = self.other_coordinators(name);
    addresses.extend(self.forwarded_by(name));
    addresses
  }

  /// The boxes of its hall that a box tells on what it was told: the readers of a hall share the others.
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
    let place = self.place_in_hall(name).filter(|_| self.is_reader(name));
    let Some((place, own)) = place.zip(self.boxes.get(name)) else {
      return Vec::new();
    };
    let of_hall = self.boxes.values().filter(|entry| entry.hall == own.hall);
    of_hall
      .skip(READERS)
      .enumerate()
      .filter(|(at, _)| at % READERS == place)
      .map(|(_, entry)| entry.address)
      .collect()
  }

  fn counting(&self) -> impl Iterator<Item = (&Name, &BoxEntry)> {
    self
      .boxes
      .iter()
      .filter(|(name, entry)| self.is_coordinator(name, &entry.hall))
  }

  /// How many boxes of its hall come before a box; nothing when it has no entry.
  fn place_in_hall(&self, name: &str) -> Option<usize> {
    let hall = &self.boxes.get(name)?.hall;
    Some(self.before(name, hall).count())
  }

  /// The boxes of a hall whose names come before a name.
  fn before(&self, name: &str, hall: &str) -> impl Iterator<Item = &BoxEntry> {
    let of_hall = self
      .boxes
      .iter()
      .filter(move |(_, entry)| &*entry.hall == hall);
    of_hall
      .take_while(move |(other, _)| &***other < name)
      .map(|(_, entry)| entry)
  }

  /// The boxes that a box of a hall follows, the preferred one first; none for a box that reads the store itself. Its own
  /// entry may be missing: it lapses while the store is out of reach.
  pub fn readers_for(&self, name: &str, hall: &str) -> Vec<SocketAddr> {
    if !self.is_large() {
      return Vec::new();
    }
    let place = self.before(name, hall).count();
    let mut addresses: Vec<SocketAddr> = self
      .before(name, hall)
      .take(ASKED)
      .map(|entry| entry.address)
      .collect();
    // Followers share the two readers.
    if addresses.len() >= READERS && place % READERS == 1 {
      addresses.swap(0, 1);
    }
    addresses
  }
}
