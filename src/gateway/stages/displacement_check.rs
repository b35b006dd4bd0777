//! Finds out whether another endpoint has the address of an engine that rejected a request as misdirected.

use {
  super::{engine_call::call_engine, purpose::Purpose},
  crate::gateway::{edge::EndpointEntry, state::Gateway},
  futures_util::future::join_all,
  std::rc::Rc,
};

/// Requests the reports of engines that may be displaced, until the process exits.
pub(crate) async fn check_displacements(gateway: Rc<Gateway>) {
  loop {
    gateway.displacement_suspected.notified().await;
    let suspects = gateway.endpoints.borrow().suspected_displacements();
    join_all(suspects.iter().map(|entry| check(&gateway, entry))).await;
  }
}

/// A rejection of the report is recorded where any answer is.
async fn check(gateway: &Rc<Gateway>, entry: &EndpointEntry) {
  let call = gateway.codec.report_call();
  if let Err(error) = call_engine(gateway, entry, call, Purpose::Report).await {
    log::info!("E595 displacement checked: {}: {error}", entry.id);
  }
  let mut endpoints = gateway.endpoints.borrow_mut();
  endpoints.record_displacement_check(&entry.id, gateway.now_ms());
}
