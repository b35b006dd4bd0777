//! Opens connections to endpoints, and records which endpoints can be reached.

use {
  super::stage_error::StageError,
  crate::gateway::{connections::Connection, edge::EndpointEntry, state::Gateway},
};

/// Opens a connection to an endpoint.
pub(super) async fn open_connection(
  gateway: &Gateway,
  entry: &EndpointEntry,
) -> Result<Connection, StageError> {
  gateway.counters.connections.inc();
  let opened = Connection::open(
    entry.id.clone(),
    entry.address,
    gateway.held_memory.socket_buffer_bytes(),
  )
  .await;
  match &opened {
    Ok(_) => gateway.record_reached(entry),
    Err(_) => gateway.record_unreached(entry),
  }
  Ok(opened?)
}
