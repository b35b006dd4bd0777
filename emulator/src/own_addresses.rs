//! Loopback addresses that are unique among processes and among calls in one process.

use std::{
  net::{Ipv4Addr, SocketAddr},
  sync::atomic::{AtomicU32, Ordering},
};

/// Usable addresses of a block of 256, without the first and last.
const HOSTS_PER_BLOCK: u32 = 254;
/// First port of the first round over a block; each later round starts `PORTS_PER_ADDRESS` higher.
const FIRST_PORT: u16 = 11_000;
/// Exceeds the number of ports that any process listens on.
const PORTS_PER_ADDRESS: u16 = 10;

/// Addresses for a process that is about to start, all on a loopback IP of their own. They are not found by binding and closing a
/// socket: a child that another thread is forking inherits the socket until it executes its program, so that the address could
/// still be in use.
pub fn own_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
  static CALLS: AtomicU32 = AtomicU32::new(0);
  let call = CALLS.fetch_add(1, Ordering::Relaxed);
  let process = std::process::id();
  let ip = Ipv4Addr::new(
    127,
    64 + (process % 64) as u8,
    (process / 64 % 256) as u8,
    (call % HOSTS_PER_BLOCK) as u8 + 1,
  );
  let round = (call / HOSTS_PER_BLOCK) as u16;
  let mut port = FIRST_PORT + round * PORTS_PER_ADDRESS;
  [(); COUNT].map(|()| {
    port += 1;
    SocketAddr::from((ip, port))
  })
}
