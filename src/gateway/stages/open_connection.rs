//! Opens connections to endpoints, and records which endpoints can be reached.

use {
  super::{
    incarnation_check::{AfterReport, learn_reported_start},
    stage_error::StageError,
  },
  crate::gateway::{connections::Connection, edge::EndpointEntry, state::Gateway},
  std::rc::Rc,
};

/// Opens a connection to an endpoint.
pub(super) async fn open_connection(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
) -> Result<Connection, StageError> {
  let mut connection = connect(gateway, entry).await?;
  connection.process = Some(gateway.record_connection(entry, &connection.state));
  Ok(connection)
}

/// Opens a connection that alone shows whether the process at its other end runs.
pub(super) async fn open_lone_connection(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
) -> Result<Connection, StageError> {
  let mut connection = connect(gateway, entry).await?;
  connection.process = Some(gateway.record_lone_connection(entry, &connection.state));
  Ok(connection)
}

async fn connect(gateway: &Rc<Gateway>, entry: &EndpointEntry) -> Result<Connection, StageError> {
  gateway.counters.connections.inc();
  let opened = Connection::open(
    entry.id.clone(),
    entry.address,
    gateway.held_memory.socket_buffer_bytes(),
    on_stray_bytes(gateway, entry),
  )
  .await;
  match &opened {
    Ok(_) => gateway.record_reached(entry),
    Err(_) => gateway.record_unreached(entry),
  }
  Ok(opened?)
}

/// Opens a connection that shows whether the endpoint's process goes on.
pub(crate) async fn observe_endpoint(gateway: &Rc<Gateway>, entry: &EndpointEntry) {
  let opened = open_connection(gateway, entry).await;
  let observed = match opened {
    Ok(mut connection) => {
      let learned = learn_reported_start(gateway, entry, &mut connection).await;
      learned.map(|after| (connection, after))
    }
    Err(error) => Err(error),
  };
  match observed {
    Ok((connection, AfterReport::Open)) => gateway.keep_unused(connection),
    Ok(_) => {}
    Err(error) => log::info!("E597 not observed: {}: {error}", entry.id),
  }
}

/// Records that bytes came on a connection to an endpoint while no call waited on it.
fn on_stray_bytes(gateway: &Rc<Gateway>, entry: &EndpointEntry) -> impl FnOnce() + 'static {
  let gateway = gateway.clone();
  let entry = entry.clone();
  move || {
    gateway.counters.stray_answers.inc();
    log::info!("E590 bytes that belong to no call: {}", entry.id);
    gateway.record_stray_answer(&entry);
  }
}
