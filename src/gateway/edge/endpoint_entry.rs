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
  /// When it started, for logs: Unix milliseconds, or `-` when that is not listed.
  pub(crate) fn start_text(&self) -> String {
    self
      .started_ms
      .map_or_else(|| "-".into(), |started_ms| started_ms.to_string())
  }
}
