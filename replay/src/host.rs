//! Loopback hosts of a replay.

use std::net::Ipv4Addr;

/// First port of the links between boxes, on the host of each box.
pub(crate) const BOX_LINK_PORTS: u16 = 20_000;

/// Last octet of the servers' host; no box has it.
const SERVER_OCTET: u8 = 250;

/// The loopback host of a box: it listens there, and sees servers and other boxes there. Differs between processes, so that
/// replays can run side by side. The first 249 boxes have different hosts.
pub fn box_host(index: usize) -> Ipv4Addr {
  host((index % usize::from(SERVER_OCTET - 1)) as u8 + 1)
}

/// The loopback host at which the servers of this process listen.
pub fn server_host() -> Ipv4Addr {
  host(SERVER_OCTET)
}

fn host(last: u8) -> Ipv4Addr {
  let process = std::process::id();
  Ipv4Addr::new(
    127,
    64 + (process % 128) as u8,
    (process / 128 % 256) as u8,
    last,
  )
}
