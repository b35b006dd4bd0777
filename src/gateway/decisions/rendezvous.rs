//! Rendezvous hashing of keys to boxes. Free of I/O.

use {
  super::box_list::BoxEntry,
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::{cmp::Reverse, net::SocketAddr},
};

/// Boxes in the order in which they take over a key. The order differs between keys, which spreads them; a box that joins or
/// leaves changes it for few keys.
pub(super) fn rendezvous_order<'a>(
  boxes: impl IntoIterator<Item = (&'a Name, &'a BoxEntry)>,
  key: &[u8],
) -> Vec<(Name, SocketAddr)> {
  let mut ranked: Vec<_> = boxes
    .into_iter()
    .map(|(name, entry)| (rendezvous_weight(name, key), name, entry.address))
    .collect();
  ranked.sort_by_key(|(weight, name, _)| (Reverse(*weight), *name));
  ranked
    .into_iter()
    .map(|(_, name, address)| (name.clone(), address))
    .collect()
}

/// A hash that is the same on all boxes, and has no pattern over names and keys.
pub(super) fn rendezvous_weight(name: &str, key: &[u8]) -> [u8; 8] {
  let mut hasher = Sha256::new();
  hasher.update(name.len().to_le_bytes());
  hasher.update(name);
  hasher.update(key);
  let hash = hasher.finalize();
  let mut weight = [0; 8];
  weight.copy_from_slice(&hash[..8]);
  weight
}
