//! Which box coordinates the permits of an endpoint for all boxes. Free of I/O.

use {
  super::box_list::{BoxEntry, BoxList},
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::{cmp::Reverse, net::SocketAddr},
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
  let (own, others): (Vec<_>, Vec<_>) =
    boxes.entries().partition(|(_, entry)| &*entry.hall == hall);
  let mut order = by_weight(own, endpoint);
  if order.len() < max {
    order.extend(by_weight(others, endpoint));
  }
  order.truncate(max);
  order
}

fn by_weight(boxes: Vec<(&Name, &BoxEntry)>, endpoint: &str) -> Vec<(Name, SocketAddr)> {
  let mut ranked: Vec<_> = boxes
    .into_iter()
    .map(|(name, entry)| (weight(name, endpoint), name, entry.address))
    .collect();
  ranked.sort_by_key(|(weight, name, _)| (Reverse(*weight), *name));
  ranked
    .into_iter()
    .map(|(_, name, address)| (name.clone(), address))
    .collect()
}

/// A hash that is the same on all boxes, and has no pattern over boxes and endpoints.
fn weight(name: &str, endpoint: &str) -> [u8; 8] {
  let mut hasher = Sha256::new();
  hasher.update(name.len().to_le_bytes());
  hasher.update(name);
  hasher.update(endpoint);
  let hash = hasher.finalize();
  let mut weight = [0; 8];
  weight.copy_from_slice(&hash[..8]);
  weight
}
