//! An endpoint, as listed in the store.

use {
  super::software_version::SoftwareVersion,
  crate::{decide::Role, ids::Name},
  std::net::SocketAddr,
};

/// One incarnation of an endpoint. Its address may be reused by another one soon after it has terminated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointEntry {
  /// The incarnation's id.
  pub id: Name,
  /// When it started, as Unix milliseconds, if listed. An endpoint may restart under the same id.
  pub started_ms: Option<u64>,
  /// The service that it belongs to.
  pub service: Name,
  /// Where it listens.
  pub address: SocketAddr,
  /// Its data hall.
  pub hall: Name,
  /// The version of its software. What two versions stream does not fit together.
  pub version: SoftwareVersion,
  /// Requests that it runs at once.
  pub slots: u32,
  /// Remaining time of its cold start when the entry was written.
  pub cold_ms: u64,
  /// Whether it is shutting down.
  pub leaving: bool,
  /// An engine's role; plain services have none.
  pub role: Option<Role>,
}

impl EndpointEntry {
  /// Whether two entries list the same endpoint: the same start of the same software, at the same address, for the same service.
  ///
  /// ```
  /// use rillford::gateway::{EndpointEntry, SoftwareVersion};
  /// let entry = EndpointEntry {
  ///   address: "10.0.0.1:80".parse().unwrap(),
  ///   cold_ms: 0,
  ///   hall: "north".into(),
  ///   id: "p-1".into(),
  ///   leaving: false,
  ///   role: None,
  ///   service: "portal".into(),
  ///   slots: 8,
  ///   started_ms: None,
  ///   version: SoftwareVersion::new("v1"),
  /// };
  /// assert!(entry.is_same_endpoint(&EndpointEntry { leaving: true, ..entry.clone() }));
  /// assert!(!entry.is_same_endpoint(&EndpointEntry { service: "llm".into(), ..entry.clone() }));
  /// ```
  pub fn is_same_endpoint(&self, other: &Self) -> bool {
    let identity = |entry: &Self| {
      (
        entry.id.clone(),
        entry.address,
        entry.started_ms,
        entry.service.clone(),
        entry.version.clone(),
        // An engine may change its role.
        entry.role.is_some(),
      )
    };
    identity(self) == identity(other)
  }

  /// Whether its process can confirm the listed start: an engine reports it.
  pub(crate) fn confirms_start(&self) -> bool {
    self.role.is_some() && self.started_ms.is_some()
  }

  /// When it started, for logs: Unix milliseconds, or `-` when that is not listed.
  pub(crate) fn start_text(&self) -> String {
    self
      .started_ms
      .map_or_else(|| "-".into(), |started_ms| started_ms.to_string())
  }
}
