//! One endpoint as the store's list shows it.

use {
  crate::{decide::Role, ids::Name},
  std::net::SocketAddr,
};

/// One incarnation of an endpoint. Its address may belong to another one soon after it has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointEntry {
  /// The incarnation.
  pub id: Name,
  /// When it started, as Unix milliseconds; nothing when it does not say. It may start again under its id.
  pub born_ms: Option<u64>,
  /// The service that it belongs to.
  pub service: Name,
  /// Where it listens.
  pub address: SocketAddr,
  /// Its data hall.
  pub hall: Name,
  /// Requests that it works on at once.
  pub seats: u32,
  /// How much longer it was cold when the entry was written.
  pub cold_ms: u64,
  /// Whether it is leaving.
  pub leaving: bool,
  /// An engine's role; plain services have none.
  pub role: Option<Role>,
}
