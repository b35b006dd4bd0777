//! Lives of endpoints that start again under their id. Free of I/O.

use {
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
};

/// One life of an endpoint: it may start again under the id that it had.
///
/// ```
/// use rillford::gateway::EndpointLife;
/// let first = EndpointLife::of("e-1", Some(1_000));
/// assert_ne!(first, EndpointLife::of("e-1", Some(2_000)));
/// assert_eq!(EndpointLife::parse(&first.key()), Some(first));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointLife(u64);

impl EndpointLife {
  /// The life of an endpoint that started at a time; without one, all its lives are the same.
  pub fn of(id: &str, started_ms: Option<u64>) -> Self {
    let mut hasher = Sha256::new();
    hasher.update(started_ms.unwrap_or(0).to_le_bytes());
    hasher.update(id);
    let hash = hasher.finalize();
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&hash[..size_of::<u64>()]);
    Self(u64::from_be_bytes(bytes))
  }

  /// It as part of a key in the store.
  pub fn key(self) -> String {
    format!("{:016x}", self.0)
  }

  /// Reads what [`key`](Self::key) wrote; nothing when the text is no life.
  pub fn parse(text: &str) -> Option<Self> {
    if text.len() != 2 * size_of::<u64>() {
      return None;
    }
    u64::from_str_radix(text, 16).ok().map(Self)
  }
}
