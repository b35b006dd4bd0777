//! The record of a service's version in the store. Free of I/O.

use {
  super::service_version::ServiceVersion,
  serde::{Deserialize, Serialize},
};

/// Whether streams may begin at a recorded version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RecordState {
  /// They may.
  Active,
  /// They may not; those that have begun may still be resumed.
  Retired,
}

/// The record of a service's version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VersionRecord {
  /// Comes first: boxes of older builds read only this.
  pub subject: ServiceVersion,
  pub state: RecordState,
  /// How long a stream may be resumed after it has begun.
  pub lifetime_ms: u64,
}

impl VersionRecord {
  /// Whether a stream may begin under it that may be resumed for a time.
  pub fn covers(&self, resumable_ms: u64) -> bool {
    self.state == RecordState::Active && resumable_ms <= self.lifetime_ms
  }

  /// The value in the store. Fails if it can't be encoded.
  pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(self)
  }

  /// Decodes a value of the store. One that an older build wrote names the version alone, and covers no stream.
  ///
  /// ```
  /// use rillford::gateway::{RecordState, ServiceVersion, SoftwareVersion, VersionRecord};
  /// let subject = ServiceVersion { service: "llm".into(), version: SoftwareVersion::new("v1") };
  /// let record = VersionRecord { subject, state: RecordState::Retired, lifetime_ms: 24_000 };
  /// assert_eq!(VersionRecord::decode(&record.encode().unwrap()).unwrap(), record);
  /// let older = postcard::to_stdvec(&record.subject).unwrap();
  /// assert_eq!(VersionRecord::decode(&older).unwrap().lifetime_ms, 0);
  /// assert!(VersionRecord::decode(b"").is_err());
  /// ```
  pub fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
    postcard::from_bytes(value).or_else(|_| {
      postcard::from_bytes(value).map(|subject| Self {
        subject,
        state: RecordState::Active,
        lifetime_ms: 0,
      })
    })
  }
}
