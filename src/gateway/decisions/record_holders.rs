//! The boxes that hold the record of a stream. Free of I/O.
//!
//! Load pattern: boxes are killed, restarted or cut off by halls while callers of their streams return to any other box, mostly
//! of the same hall. Records in two halls outlast the loss of one.

use {
  super::{
    box_list::{BoxEntry, BoxList},
    rendezvous::{rendezvous_order, rendezvous_weight},
    stream_key::StreamKey,
  },
  crate::ids::Name,
  std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr},
};

/// Boxes besides the own one that a stream is recorded at.
pub const RECORD_COPIES: usize = 4;
/// Of these, boxes of other halls, each of another one.
const OTHER_HALL_COPIES: usize = 2;
/// Boxes of each other hall that are asked for a record.
const ASKED_PER_OTHER_HALL: usize = 2;

/// The boxes that record a stream, apart from the one that began it, in order of importance: the first two are of different halls.
///
/// ```
/// use rillford::gateway::{BoxEntry, BoxList, StreamKey, record_holders, record_sources};
/// let mut boxes = BoxList::default();
/// for number in 0..12_u16 {
///   let hall = ["north", "south", "west"][usize::from(number % 3)].into();
///   boxes.put(format!("box-{number}").as_str().into(), BoxEntry { address: ([127, 0, 0, 1], number).into(), hall });
/// }
/// let key = StreamKey::of(None, "r-1");
/// let holders = record_holders(&boxes, &key, "box-0", "north");
/// assert_eq!(holders.len(), 4);
/// // A box of any hall asks some of them.
/// let asked = record_sources(&boxes, &key, "box-1", "south");
/// assert!(holders.iter().filter(|holder| asked.contains(holder)).count() >= 2);
/// ```
pub fn record_holders(boxes: &BoxList, key: &StreamKey, name: &str, hall: &str) -> Vec<SocketAddr> {
  let halls = halls_in_order(boxes, key, hall);
  let count = OTHER_HALL_COPIES.min(halls.others.len());
  let other_halls = halls.others.iter().take(count);
  let others = other_halls.filter_map(|boxes| boxes.first());
  let own = without(&halls.own, name).take(RECORD_COPIES - count);
  interleave(own, others)
}

/// The boxes that a box asks where a stream began that its caller resumes.
pub fn record_sources(boxes: &BoxList, key: &StreamKey, name: &str, hall: &str) -> Vec<SocketAddr> {
  let halls = halls_in_order(boxes, key, hall);
  let own = without(&halls.own, name).take(RECORD_COPIES);
  let others = halls.others.iter();
  let others = others.flat_map(|boxes| boxes.iter().take(ASKED_PER_OTHER_HALL));
  interleave(own, others)
}

/// The boxes that are asked for a record by boxes of all halls: the first ones of each hall.
///
/// ```
/// use rillford::gateway::{BoxEntry, BoxList, StreamKey, asked_by_all_halls, record_sources};
/// let mut boxes = BoxList::default();
/// for number in 0..12_u16 {
///   let hall = ["north", "south"][usize::from(number % 2)].into();
///   boxes.put(format!("box-{number}").as_str().into(), BoxEntry { address: ([127, 0, 0, 1], number).into(), hall });
/// }
/// let key = StreamKey::of(None, "r-1");
/// let asked = asked_by_all_halls(&boxes, &key);
/// assert_eq!(asked.len(), 4);
/// let by_other = record_sources(&boxes, &key, "", "");
/// assert!(asked.iter().all(|(_, address)| by_other.contains(address)));
/// ```
pub fn asked_by_all_halls(boxes: &BoxList, key: &StreamKey) -> Vec<(Name, SocketAddr)> {
  let halls = halls_in_order(boxes, key, "").others.into_iter();
  halls
    .flat_map(|boxes| boxes.into_iter().take(ASKED_PER_OTHER_HALL))
    .collect()
}

/// The boxes of each hall in the order for a key.
struct HallsInOrder {
  own: Vec<(Name, SocketAddr)>,
  others: Vec<Vec<(Name, SocketAddr)>>,
}

fn halls_in_order(boxes: &BoxList, key: &StreamKey, hall: &str) -> HallsInOrder {
  let mut halls: BTreeMap<&Name, Vec<(&Name, &BoxEntry)>> = BTreeMap::new();
  for (name, entry) in boxes.entries() {
    halls.entry(&entry.hall).or_default().push((name, entry));
  }
  let own = halls.remove(&Name::from(hall)).unwrap_or_default();
  let mut others: Vec<_> = halls.into_iter().collect();
  others.sort_by_key(|(other, _)| Reverse(rendezvous_weight(other, key.as_bytes())));
  let order = |boxes| rendezvous_order(boxes, key.as_bytes());
  HallsInOrder {
    others: others.into_iter().map(|(_, boxes)| order(boxes)).collect(),
    own: order(own),
  }
}

fn without<'a>(
  boxes: &'a [(Name, SocketAddr)],
  name: &'a str,
) -> impl Iterator<Item = &'a (Name, SocketAddr)> {
  boxes.iter().filter(move |(other, _)| &**other != name)
}

/// Takes a box of each in turn.
fn interleave<'a>(
  mut one: impl Iterator<Item = &'a (Name, SocketAddr)>,
  mut other: impl Iterator<Item = &'a (Name, SocketAddr)>,
) -> Vec<SocketAddr> {
  let mut addresses = Vec::new();
  loop {
    let pair = [one.next(), other.next()];
    if pair == [None, None] {
      return addresses;
    }
    let boxes = pair.into_iter().flatten();
    addresses.extend(boxes.map(|(_, address)| *address));
  }
}
