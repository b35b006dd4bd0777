//! Tells whether the process at the other end of a local connection has read what was sent to it.

use std::{
  io,
  net::{IpAddr, SocketAddr},
};

const TABLE: &str = "/proc/net/tcp";

/// Whether bytes wait unread at the far end of a connection between two sockets of this machine. Fails if the table of sockets can't be
/// read.
pub(super) fn is_unread(far: SocketAddr, near: SocketAddr) -> io::Result<bool> {
  let (Some(far), Some(near)) = (table_address(far), table_address(near)) else {
    return Ok(false);
  };
  let table = std::fs::read_to_string(TABLE)?;
  let unread = table.lines().find_map(|line| {
    let mut fields = line.split_whitespace().skip(1);
    if fields.next()? != far || fields.next()? != near {
      return None;
    }
    let (_, received) = fields.nth(1)?.split_once(':')?;
    u64::from_str_radix(received, 16).ok()
  });
  Ok(unread.is_some_and(|bytes| bytes > 0))
}

/// An address as the table writes it: in hexadecimal digits, the host in the order of bytes in memory.
fn table_address(address: SocketAddr) -> Option<String> {
  let IpAddr::V4(host) = address.ip() else {
    return None;
  };
  let host = u32::from_ne_bytes(host.octets());
  Some(format!("{host:08X}:{:04X}", address.port()))
}
