//! Which box coordinates the permits of an endpoint for all boxes. Free of I/O.

use {
  super::{
    box_list::{BoxEntry, BoxList},
    lost_boxes::LostBoxes,
    rendezvous::rendezvous_order,
  },
  crate::ids::Name,
  std::net::SocketAddr,
};

/// The candidates for an endpoint's coordinator, by rendezvous hashing, the coordinator first. Boxes of the endpoint's hall
/// come before all others: a box that is cut off from them is usually cut off from the endpoint. The order differs between
/// endpoints, which spreads the work; a box that joins or leaves changes it for few endpoints.
///
/// ```
/// use rillford::gateway::{BoxEntry, BoxList, coordinator_order};
/// let mut boxes = BoxList::default();
/// for (name, hall) in [("n-1", "north"), ("n-2", "north"), ("s-1", "south")] {
///   boxes.put(name.into(), BoxEntry { address: "127.0.0.1:7001".parse().unwrap(), hall: hall.into() });
/// }
/// let order = coordinator_order(&boxes, "e-1", "south", 2);
/// assert_eq!(&*order[0].0, "s-1");
/// assert_eq!(order.len(), 2);
/// ```
pub fn coordinator_order(
  boxes: &BoxList,
  endpoint: &str,
  hall: &str,
  max: usize,
) -> Vec<(Name, SocketAddr)> {
  order(boxes.entries(), endpoint, hall, max)
}

/// The candidates by the boxes that are listed, or were before the list was lost: all boxes agree on the coordinator until they are
/// listed again.
///
/// ```
/// use rillford::gateway::{BoxEntry, BoxList, LostBoxes, last_known_order};
/// let entry = BoxEntry { address: "127.0.0.1:7001".parse().unwrap(), hall: "north".into() };
/// let mut lost = LostBoxes::default();
/// lost.record_removed("n-1".into(), entry, 0, 0);
/// let order = last_known_order(&BoxList::default(), &lost, "e-1", "north", 1, 20);
/// assert_eq!(&*order[0].0, "n-1");
/// ```
pub fn last_known_order(
  boxes: &BoxList,
  lost: &LostBoxes,
  endpoint: &str,
  hall: &str,
  max: usize,
  now_ms: u64,
) -> Vec<(Name, SocketAddr)> {
  let lost = lost.entries(boxes.len(), now_ms);
  order(boxes.entries().chain(lost), endpoint, hall, max)
}

fn order<'a>(
  boxes: impl Iterator<Item = (&'a Name, &'a BoxEntry)>,
  endpoint: &str,
  hall: &str,
  max: usize,
) -> Vec<(Name, SocketAddr)> {
  let (own, others): (Vec<_>, Vec<_>) = boxes.partition(|(_, entry)| &*entry.hall == hall);
  let mut order = rendezvous_order(own, endpoint.as_bytes());
  if order.len() < max {
    order.extend(rendezvous_order(others, endpoint.as_bytes()));
  }
  order.truncate(max);
  order
}
