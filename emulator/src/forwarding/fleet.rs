//! Boxes of the forwarding simulation.

use {
  rillford::gateway::PeerList,
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Port of box 0. A box's port is this plus its number, so that an address identifies its box.
const FIRST_PORT: usize = 1_000;

/// Number of boxes and their load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardingFleet {
  pub boxes: usize,
  pub halls: usize,
  /// Requests a second of one box's callers.
  pub requests_per_s: f64,
}

impl ForwardingFleet {
  pub(super) fn hall_of(&self, number: usize) -> usize {
    number % self.halls
  }

  pub(super) fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(FIRST_PORT + number).unwrap_or(u16::MAX);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
  }

  pub(super) fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
  }

  /// The boxes that a box may forward requests to.
  pub(super) fn peers(&self, number: usize) -> PeerList {
    let others = (0..self.boxes).filter(|other| *other != number);
    let hall = self.hall_of(number);
    let (own, rest): (Vec<usize>, Vec<usize>) =
      others.partition(|other| self.hall_of(*other) == hall);
    let addresses = |numbers: Vec<usize>| numbers.into_iter().map(Self::address).collect();
    PeerList {
      former: Vec::new(),
      other_halls: addresses(rest),
      own_hall: addresses(own),
    }
  }
}
