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
/// assert!(boxes.readers_for("box-10").is_empty());
/// assert_eq!(boxes.readers_for("box-11").len(), 1);
/// assert_eq!(boxes.readers_for("box-30").len(), 2);
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

  /// Keeps the boxes for which the test holds.
  pub fn retain(&mut self, mut keep: impl FnMut(&Name) -> bool) {
    self.boxes.retain(|name, _| keep(name));
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

  /// How many boxes of its hall come before a box; nothing when it has no entry.
  fn place_in_hall(&self, name: &str) -> Option<usize> {
    let hall = &self.boxes.get(name)?.hall;
    let of_hall = self.boxes.iter().filter(|(_, entry)| entry.hall == *hall);
    Some(of_hall.take_while(|(other, _)| &***other < name).count())
  }

  /// The boxes that a box follows, the preferred one first; none for a box that reads the store itself.
  pub fn readers_for(&self, name: &str) -> Vec<SocketAddr> {
    let Some(own) = self.boxes.get(name).filter(|_| self.is_large()) else {
      return Vec::new();
    };
    let of_hall = || {
      self
        .boxes
        .iter()
        .filter(|(_, entry)| entry.hall == own.hall)
    };
    let place = self.place_in_hall(name).unwrap_or(0);
    let mut addresses: Vec<SocketAddr> = of_hall()
      .take(READERS.min(place))
      .map(|(_, entry)| entry.address)
      .collect();
    let preferred = place % addresses.len().max(1);
    addresses.rotate_left(preferred);
    addresses
  }
}
