//! Groups of prefill engines that share a coordinator. Free of I/O.
//!
//! Load pattern: hundreds of boxes each send one prompt per second, so that each knows a fraction of an engine's queue. One box
//! per group knows all of it. A group is small enough that its coordinator handles some hundred requests per second, and
//! large enough that an idle engine is among its engines.

use {
  super::{box_list::BoxList, coordinator_order::coordinator_order},
  crate::ids::Name,
  sha2::{Digest, Sha256},
  std::net::SocketAddr,
};

/// Engines of a group, on average: at ten prompts per engine and second a coordinator handles 160 requests and as many reports
/// per second, which a box of 0.1 cores can afford.
const MAX_ENGINES_PER_SHARD: usize = 16;

/// Prefill engines of one service in one hall.
///
/// ```
/// use rillford::gateway::{PrefillGroup, prefill_shard, prefill_shard_count};
/// let shards = prefill_shard_count(17);
/// assert_eq!(shards, 2);
/// let shard = prefill_shard("e-1", shards);
/// let group = PrefillGroup { service: "chat".into(), hall: "north".into(), shard };
/// assert!(shard < shards);
/// assert_eq!(group.key(), format!("prefill/chat/north/{shard}"));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PrefillGroup {
  pub service: Name,
  pub hall: Name,
  /// From 0 to the number of shards of the service in the hall, exclusive.
  pub shard: u32,
}

impl PrefillGroup {
  /// The key by which its coordinator is determined.
  pub fn key(&self) -> String {
    format!("prefill/{}/{}/{}", self.service, self.hall, self.shard)
  }

  /// The box that coordinates it by a list of boxes; `None` when the hall has no box. It hashes the name of each box of
  /// the hall: callers keep the result until the list changes.
  pub fn coordinator(&self, boxes: &BoxList) -> Option<(Name, SocketAddr)> {
    // Without a box in the hall the order consists of boxes of other halls, which may be cut off from the engines.
    boxes.entries().find(|(_, entry)| entry.hall == self.hall)?;
    coordinator_order(boxes, &self.key(), &self.hall, 1).pop()
  }
}

/// Number of shards for a number of engines: a power of two, so that half of the engines keep their shard when it doubles.
pub fn prefill_shard_count(engines: usize) -> u32 {
  let shards = engines.div_ceil(MAX_ENGINES_PER_SHARD).next_power_of_two();
  u32::try_from(shards).unwrap_or(1 << 31)
}

/// The shard of an engine, by a hash of its id: from 0 to `shards`, exclusive.
pub fn prefill_shard(engine_id: &str, shards: u32) -> u32 {
  let hash = Sha256::digest(engine_id);
  let number = u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]);
  number % shards.max(1)
}
