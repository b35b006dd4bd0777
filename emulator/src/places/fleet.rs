//! The boxes of a replay of places.

use {
  rillford::gateway::{BoxEntry, BoxList},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Data halls.
const HALLS: usize = 3;
/// Ports begin here; an address leads back to its box's number.
const FIRST_PORT: usize = 1_000;

/// Boxes before an endpoint that names a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceFleet {
  /// Boxes.
  pub boxes: usize,
  /// Requests a second that the endpoint names.
  pub limit_per_s: f64,
  /// Requests a second that could go there.
  pub requests_per_s: f64,
}

impl PlaceFleet {
  /// A fleet with enough requests for its limit.
  pub fn pressed(boxes: usize, limit_per_s: f64) -> Self {
    Self {
      boxes,
      limit_per_s,
      requests_per_s: (limit_per_s * 4.0).max(2.0),
    }
  }

  /// What the users allow in a window of four seconds.
  pub fn allowed(&self) -> f64 {
    self.limit_per_s * 4.0 * 1.5 + 5.0
  }

  pub(super) fn hall(number: usize) -> String {
    format!("hall-{}", number % HALLS)
  }

  pub(super) fn name(number: usize) -> String {
    format!("box-{number:03}")
  }

  pub(super) fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
  }

  /// The list of all boxes but one.
  pub(super) fn list_without(&self, missing: Option<usize>) -> BoxList {
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
