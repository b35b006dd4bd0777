//! A version of a service, and its key in the store. Free of I/O.

use {
  crate::{
    gateway::edge::{EndpointEntry, SoftwareVersion},
    ids::Name,
  },
  serde::{Deserialize, Serialize},
  sha2::{Digest, Sha256},
  std::fmt::Write,
};

/// Length of a key's hash in bytes.
const KEY_BYTES: usize = 16;

/// A version of a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServiceVersion {
  pub service: Name,
  pub version: SoftwareVersion,
}

impl ServiceVersion {
  /// The version in an endpoint's entry.
  pub fn of(entry: &EndpointEntry) -> Self {
    Self {
      service: entry.service.clone(),
      version: entry.version.clone(),
    }
  }

  /// The version of a service's endpoints whose version is not known.
  pub fn unknown(service: &Name) -> Self {
    Self {
      service: service.clone(),
      version: SoftwareVersion::default(),
    }
  }

  /// The last component of its key in the store: a hash, since names may have any length.
  ///
  /// ```
  /// use rillford::gateway::{ServiceVersion, SoftwareVersion};
  /// let of = |service: &str, version| ServiceVersion { service: service.into(), version: SoftwareVersion::new(version) };
  /// assert_eq!(of("llm", "v1").key(), of("llm", "v1").key());
  /// assert_ne!(of("llm", "v1").key(), of("llmv", "1").key());
  /// ```
  pub fn key(&self) -> Name {
    let mut hasher = Sha256::new();
    hasher.update(self.service.len().to_le_bytes());
    hasher.update(&*self.service);
    if let Some(text) = self.version.text() {
      // Differs from a version without a text.
      hasher.update([1]);
      hasher.update(text);
    }
    let hash = hasher.finalize();
    let mut text = String::new();
    for byte in &hash[..KEY_BYTES] {
      // Writing to a string never fails.
      let _ = write!(text, "{byte:02x}");
    }
    text.as_str().into()
  }
}
