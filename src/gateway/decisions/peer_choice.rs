//! The boxes to which a request is forwarded when this one can't reach its endpoints. Free of I/O.
//!
//! Load pattern: one box, most boxes of a hall, or a whole hall are cut off from endpoints, and their requests go to boxes
//! that are not, evenly and within a few tries.

use std::net::SocketAddr;

/// Boxes that are tried for a request.
const MAX_PEERS: usize = 3;

/// Boxes to try in turn: one of the own hall, since traffic between halls is billed, then others. When a whole hall is cut off,
/// its boxes must not use up the tries. `draw` yields numbers in `[0, 1)`.
///
/// ```
/// use rillford::gateway::choose_peers;
/// let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
/// let peers = choose_peers(vec![address(1), address(2)], vec![address(3), address(4)], || 0.0);
/// assert_eq!(peers, [address(1), address(3), address(4)]);
/// let peers = choose_peers(vec![address(1), address(2)], vec![], || 0.0);
/// assert_eq!(peers, [address(1), address(2)]);
/// ```
pub fn choose_peers(
  mut own_hall: Vec<SocketAddr>,
  mut other_halls: Vec<SocketAddr>,
  mut draw: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
  let mut peers = Vec::new();
  peers.extend(take_random(&mut own_hall, &mut draw));
  while peers.len() < MAX_PEERS {
    let next = take_random(&mut other_halls, &mut draw);
    let Some(peer) = next.or_else(|| take_random(&mut own_hall, &mut draw)) else {
      break;
    };
    peers.push(peer);
  }
  peers
}

fn take_random(
  addresses: &mut Vec<SocketAddr>,
  draw: &mut impl FnMut() -> f64,
) -> Option<SocketAddr> {
  if addresses.is_empty() {
    return None;
  }
  let index = (draw() * addresses.len() as f64) as usize;
  Some(addresses.remove(index.min(addresses.len() - 1)))
}
