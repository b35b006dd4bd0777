//! Boxes of the stream simulation.

use {
  rillford::gateway::{BoxEntry, BoxList},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Port of box 0. A box's port is this plus its number, so that an address identifies its box.
const FIRST_PORT: usize = 1_000;

/// Number of boxes and their load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamFleet {
  pub boxes: usize,
  pub halls: usize,
  /// Streams that begin a second at one box, of services with two versions.
  pub streams_per_s: f64,
}

impl StreamFleet {
  /// The smallest deployment.
  pub const SMALL: Self = Self {
    boxes: 8,
    halls: 3,
    streams_per_s: 1.3,
  };

  pub(super) fn hall_of(&self, number: usize) -> usize {
    number % self.halls
  }

  pub(super) fn hall(&self, number: usize) -> String {
    format!("hall-{}", self.hall_of(number))
  }

  pub(super) fn name(number: usize) -> String {
    format!("box-{number:04}")
  }

  pub(super) fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
  }

  pub(super) fn list(&self) -> BoxList {
    let mut list = BoxList::default();
    for number in 0..self.boxes {
      let port = u16::try_from(FIRST_PORT + number).unwrap_or(u16::MAX);
      let entry = BoxEntry {
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        hall: self.hall(number).as_str().into(),
      };
      list.put(Self::name(number).as_str().into(), entry);
    }
    list
  }
}
