//! The boxes and organisations of a replay of limits.

use {
  super::pattern::BoxPlace,
  rillford::gateway::{BoxEntry, BoxList, UsageLimit},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Units that one request counts: a prompt and its longest answer at the users' site with limits.
pub(super) const REQUEST_UNITS: u64 = 3_272;
/// Limits are this many times the usual use.
const LIMIT_FACTOR: f64 = 1.8;
/// The least limit of an organisation there.
const LEAST_RATE_PER_S: f64 = 47_000.0;
/// The first organisations send so many times as much as the smallest.
const LARGE_FACTORS: [f64; 4] = [7.0, 4.0, 3.0, 2.0];
/// Boxes through which the callers of an organisation come, of three: callers keep to their boxes.
const BOXES_USED_OF_THREE: usize = 1;
/// Boxes of an organisation stand so far apart, in all halls.
const STRIDE: usize = 7;
/// Ports begin here; an address leads back to its box's number.
const FIRST_PORT: usize = 1_000;

/// How many there are of what.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitFleet {
  /// Boxes, over all halls.
  pub boxes: usize,
  /// Data halls.
  pub halls: usize,
  /// Organisations with a limit.
  pub organisations: usize,
}

impl LimitFleet {
  /// The users' site with limits.
  pub const USERS: Self = Self {
    boxes: 78,
    halls: 3,
    organisations: 16,
  };
  /// About what the users want to grow to.
  pub const TARGET: Self = Self {
    boxes: 300,
    halls: 9,
    organisations: 400,
  };

  /// An organisation's limit; the largest comes first.
  pub(super) fn limit(self, organisation: usize) -> UsageLimit {
    let factor = LARGE_FACTORS.get(organisation).copied().unwrap_or(1.0);
    let rate_per_s = LEAST_RATE_PER_S * factor;
    UsageLimit {
      burst: rate_per_s,
      rate_per_s,
    }
  }

  /// Requests a second that an organisation usually sends.
  pub(super) fn requests_per_s(self, organisation: usize) -> f64 {
    self.limit(organisation).rate_per_s / LIMIT_FACTOR / REQUEST_UNITS as f64
  }

  pub(super) fn place(self, number: usize) -> BoxPlace {
    BoxPlace {
      hall: number % self.halls,
      number,
    }
  }

  /// A box through which a caller of an organisation comes; all in one hall when `only_hall` says so.
  pub(super) fn box_of(self, organisation: usize, caller: usize, only_hall: bool) -> usize {
    let used = (self.boxes * BOXES_USED_OF_THREE / 3).max(1);
    let number = (organisation * 5 + caller % used * STRIDE) % self.boxes;
    if only_hall {
      let in_hall = self.boxes / self.halls;
      return caller % in_hall * self.halls;
    }
    number
  }

  /// A box's name: those of a hall follow each other.
  pub(super) fn name(self, number: usize) -> String {
    format!("hall-{}-{:03}", number % self.halls, number / self.halls)
  }

  /// The list that all boxes have.
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
