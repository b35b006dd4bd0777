//! The store as a box sees it: servers and other boxes are at the addresses of its own links to them.

use {
  super::host::{BOX_LINK_PORTS, box_host},
  std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Prefixes of store entries.
const SERVER_PREFIX: &str = "servers/";
const BOX_PREFIX: &str = "rillford/boxes/";

/// Shows the values of the store to a box.
pub(crate) fn view_of_box(viewer: usize) -> impl Fn(&str, Vec<u8>) -> Vec<u8> {
  move |key, value| {
    if key.starts_with(SERVER_PREFIX) {
      let text = String::from_utf8_lossy(&value);
      let host = box_host(viewer).to_string();
      text
        .replace(&Ipv4Addr::LOCALHOST.to_string(), &host)
        .into_bytes()
    } else if key.starts_with(BOX_PREFIX) {
      linked_box_entry(viewer, &value).unwrap_or(value)
    } else {
      value
    }
  }
}

/// The entry of another box with the address of the viewer's link to it. The viewer's own entry stays, and what is no entry.
fn linked_box_entry(viewer: usize, value: &[u8]) -> Option<Vec<u8>> {
  let (hall, address): (String, SocketAddr) = postcard::from_bytes(value).ok()?;
  let index = box_index(address.ip())?;
  if index == viewer {
    return None;
  }
  let port = BOX_LINK_PORTS + u16::try_from(index).ok()?;
  let linked = SocketAddr::from((box_host(viewer), port));
  postcard::to_stdvec(&(hall, linked)).ok()
}

/// The index of the box that has a loopback host.
fn box_index(host: IpAddr) -> Option<usize> {
  let IpAddr::V4(host) = host else { return None };
  let index = usize::from(host.octets()[3]).checked_sub(1)?;
  (box_host(index) == host).then_some(index)
}
