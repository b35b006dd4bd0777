//! Identifies a stream to all boxes. Free of I/O.

use {
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
  std::fmt::{self, Debug, Display, Formatter},
};

/// Length in bytes; a collision by chance is expected after some 10^19 streams.
const BYTES: usize = 16;
/// Bytes that are logged.
const LOGGED_BYTES: usize = 4;

/// A stream, by its organisation and the id of the caller's request that brought its first event. Hashed, so that an id of any
/// length takes the same memory, and no organisation can name another's stream.
///
/// ```
/// use rillford::gateway::StreamKey;
/// assert_eq!(StreamKey::of(Some("lectures"), "r-1"), StreamKey::of(Some("lectures"), "r-1"));
/// assert_ne!(StreamKey::of(Some("lectures"), "r-1"), StreamKey::of(Some("captions"), "r-1"));
/// assert_ne!(StreamKey::of(Some("lectures"), "r-1"), StreamKey::of(None, "r-1"));
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey([u8; BYTES]);

impl StreamKey {
  /// The stream of an organisation's request.
  pub fn of(organisation: Option<&str>, request_id: &str) -> Self {
    let mut hasher = Sha256::new();
    // A flag and a length keep adjacent parts from being confused.
    hasher.update([u8::from(organisation.is_some())]);
    let organisation = organisation.unwrap_or_default();
    hasher.update(organisation.len().to_le_bytes());
    hasher.update(organisation);
    hasher.update(request_id);
    let hash = hasher.finalize();
    let mut bytes = [0; BYTES];
    bytes.copy_from_slice(&hash[..BYTES]);
    Self(bytes)
  }

  pub(super) fn as_bytes(&self) -> &[u8] {
    &self.0
  }
}

impl Display for StreamKey {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0[..LOGGED_BYTES]
      .iter()
      .try_for_each(|byte| write!(f, "{byte:02x}"))
  }
}

impl Debug for StreamKey {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "StreamKey({self})")
  }
}
