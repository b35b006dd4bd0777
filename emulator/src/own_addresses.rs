//! Loopback addresses that no other process, and no other call of this one, has.

use std::{
  net::{Ipv4Addr, SocketAddr},
  sync::atomic::{AtomicU32, Ordering},
};

/// Addresses that one block of 256 leaves, without its first and last.
const HOSTS: u32 = 254;
/// Ports of the first round over a block; later rounds go up.
const FIRST_PORT: u16 = 11_000;
/// Ports of one address: more than any process listens on.
const PORTS: u16 = 10;

/// Addresses of one process that is about to start, all on a loopback IP of its own. Nothing is bound to find out that they are free: a
/// process that another thread is starting holds every socket of this one until it runs its own program, so that an address
/// which was bound and left may still be taken (410 of 20,000 times beside eight threads that start processes, never without).
pub fn own_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
  static CALLS: AtomicU32 = AtomicU32::new(0);
  let call = CALLS.fetch_add(1, Ordering::Relaxed);
  let process = std::process::id();
  let ip = Ipv4Addr::new(
    127,
    64 + (process % 64) as u8,
    (process / 64 % 256) as u8,
    (call % HOSTS) as u8 + 1,
  );
  let round = (call / HOSTS) as u16;
  let mut port = FIRST_PORT + round * PORTS;
  [(); COUNT].map(|()| {
    port += 1;
    SocketAddr::from((ip, port))
  })
}
