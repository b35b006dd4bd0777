//! Which box coordinates the permits of an endpoint for all boxes. Free of I/O.

use {
  super::{box_list::BoxList, rendezvous::rendezvous_order},
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
  let (own, others): (Vec<_>, Vec<_>) =
    boxes.entries().partition(|(_, entry)| &*entry.hall == hall);
  let mut order = rendezvous_order(own, endpoint.as_bytes());
  if order.len() < max {
    order.extend(rendezvous_order(others, endpoint.as_bytes()));
  }
  order.truncate(max);
  order
}
