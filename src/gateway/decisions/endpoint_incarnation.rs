//! Incarnations of endpoints that restart under their id. Free of I/O.

use {
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
};

/// One incarnation of an endpoint, from start to exit: it may restart under the same id.
///
/// ```
/// use rillford::gateway::EndpointIncarnation;
/// let first = EndpointIncarnation::of("e-1", Some(1_000));
/// assert_ne!(first, EndpointIncarnation::of("e-1", Some(2_000)));
/// assert_eq!(EndpointIncarnation::parse(&first.key()), Some(first));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointIncarnation(u64);

impl EndpointIncarnation {
  /// The incarnation of an endpoint that started at a time; without a time, all its incarnations are the same.
  pub fn of(id: &str, started_ms: Option<u64>) -> Self {
    let mut hasher = Sha256::new();
    hasher.update(started_ms.unwrap_or(0).to_le_bytes());
    hasher.update(id);
    let hash = hasher.finalize();
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&hash[..size_of::<u64>()]);
    Self(u64::from_be_bytes(bytes))
  }

  /// The text that stands for it in a store key.
  pub fn key(self) -> String {
    format!("{:016x}", self.0)
  }

  /// Parses the text of [`key`](Self::key); `None` when it is malformed.
  pub fn parse(text: &str) -> Option<Self> {
    if text.len() != 2 * size_of::<u64>() {
      return None;
    }
    u64::from_str_radix(text, 16).ok().map(Self)
  }
}
