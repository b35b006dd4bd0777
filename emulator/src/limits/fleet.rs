//! Boxes and organisations of the limits simulation.

use {
  super::pattern::BoxLocation,
  rillford::gateway::{BoxEntry, BoxList, UsageLimit},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Units charged for one request: its prompt and its longest allowed completion.
pub(super) const REQUEST_UNITS: u64 = 3_272;
/// Ratio of an organisation's limit to its normal usage.
const LIMIT_FACTOR: f64 = 1.8;
const MIN_RATE_PER_S: f64 = 47_000.0;
/// Limits of the first organisations as multiples of `MIN_RATE_PER_S`.
const LARGE_FACTORS: [f64; 4] = [7.0, 4.0, 3.0, 2.0];
/// Out of every three boxes, those that receive requests of an organisation: its callers always use the same boxes.
const BOXES_USED_OF_THREE: usize = 1;
/// Distance between the numbers of an organisation's boxes, which spreads them over all halls.
const BOX_STRIDE: usize = 7;
/// Port of box 0. A box's port is this plus its number, so that an address identifies its box.
const FIRST_PORT: usize = 1_000;

/// Number of boxes, data halls and organisations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitFleet {
  /// Boxes in all halls.
  pub boxes: usize,
  pub halls: usize,
  /// Organisations with a limit.
  pub organisations: usize,
}

impl LimitFleet {
  /// The size of a present installation.
  pub const USERS: Self = Self {
    boxes: 78,
    halls: 3,
    organisations: 16,
  };
  /// The size that installations are expected to grow to.
  pub const TARGET: Self = Self {
    boxes: 300,
    halls: 9,
    organisations: 400,
  };

  /// The limit of an organisation. Organisation 0 has the largest.
  pub(super) fn limit(self, organisation: usize) -> UsageLimit {
    let factor = LARGE_FACTORS.get(organisation).copied().unwrap_or(1.0);
    let rate_per_s = MIN_RATE_PER_S * factor;
    UsageLimit {
      burst: rate_per_s,
      rate_per_s,
    }
  }

  /// The normal request rate of an organisation.
  pub(super) fn requests_per_s(self, organisation: usize) -> f64 {
    self.limit(organisation).rate_per_s / LIMIT_FACTOR / REQUEST_UNITS as f64
  }

  pub(super) fn location(self, number: usize) -> BoxLocation {
    BoxLocation {
      hall: number % self.halls,
      number,
    }
  }

  /// The box that receives the requests of a caller; always in hall 0 if `one_hall` is set.
  pub(super) fn box_of(self, organisation: usize, caller: usize, one_hall: bool) -> usize {
    let used = (self.boxes * BOXES_USED_OF_THREE / 3).max(1);
    let number = (organisation * 5 + caller % used * BOX_STRIDE) % self.boxes;
    if one_hall {
      let in_hall = self.boxes / self.halls;
      return caller % in_hall * self.halls;
    }
    number
  }

  /// The name of a box. Names of one hall sort next to each other.
  pub(super) fn name(self, number: usize) -> String {
    format!("hall-{}-{:03}", number % self.halls, number / self.halls)
  }

  /// The box list that all boxes share.
  pub(super) fn box_list(self) -> BoxList {
    let mut list = BoxList::default();
    for number in 0..self.boxes {
      let port = u16::try_from(FIRST_PORT + number).unwrap_or(u16::MAX);
      let entry = BoxEntry {
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        hall: format!("hall-{}", number % self.halls).as_str().into(),
      };
      list.put(self.name(number).as_str().into(), entry);
    }
    list
  }

  /// The number of the box at an address.
  pub(super) fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - FIRST_PORT
  }
}
