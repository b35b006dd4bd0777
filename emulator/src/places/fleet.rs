//! Boxes of the permit simulation.

use {
  rillford::gateway::{BoxEntry, BoxList},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

const HALLS: usize = 3;
/// Port of box 0. A box's port is this plus its number, so that an address identifies its box.
const FIRST_PORT: usize = 1_000;

/// Number of boxes, the limit that the endpoint advertises and the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceFleet {
  pub boxes: usize,
  /// The advertised limit.
  pub limit_per_s: f64,
  /// Rate of the requests that could be sent to the endpoint.
  pub requests_per_s: f64,
}

impl PlaceFleet {
  /// A fleet whose load is four times the limit.
  pub fn pressed(boxes: usize, limit_per_s: f64) -> Self {
    Self {
      boxes,
      limit_per_s,
      requests_per_s: (limit_per_s * 4.0).max(2.0),
    }
  }

  /// The requests that the endpoint may receive in a window of 4 s: the limit with its allowed overage.
  pub fn allowed(&self) -> f64 {
    self.limit_per_s * 4.0 * 1.5 + 5.0
  }

  pub(crate) fn hall(number: usize) -> String {
    format!("hall-{}", number % HALLS)
  }

  pub(crate) fn name(number: usize) -> String {
    format!("box-{number:03}")
  }

  pub(crate) fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
  }

  /// The box list, without one box if `missing` is set.
  pub(crate) fn list_without(&self, missing: Option<usize>) -> BoxList {
    let mut list = BoxList::default();
    for number in (0..self.boxes).filter(|number| Some(*number) != missing) {
      let port = u16::try_from(FIRST_PORT + number).unwrap_or(u16::MAX);
      let entry = BoxEntry {
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        hall: Self::hall(number).as_str().into(),
      };
      list.put(Self::name(number).as_str().into(), entry);
    }
    list
  }
}
