//! Confirms that an engine is the listed incarnation: one that restarts under its id may have another version, and the list lags.

use {
  super::{
    engine_call::{CALL_TIMEOUT, MAX_RESPONSE_BYTES, build_request},
    notice::SentCall,
    purpose::Purpose,
    stage::apply_response_notice,
    stage_error::StageError,
  },
  crate::{
    bounded_body::buffer_body,
    gateway::{
      connections::Connection, decisions::Unavailable, edge::EndpointEntry, state::Gateway,
    },
  },
  http::StatusCode,
  std::rc::Rc,
  tokio::time::timeout,
};

/// Whether nothing is left to confirm on a connection. Entries without a start, and plain services, confirm nothing.
pub(super) fn has_confirmed_start(connection: &Connection, entry: &EndpointEntry) -> bool {
  entry.role.is_none()
    || entry.started_ms.is_none()
    || connection.confirmed_start_ms == entry.started_ms
}

/// Has an engine report its start on the connection that is used next, so that it can't restart in between. Fails when it reports
/// another start than the listed one, or nothing in time. An engine that reports no start passes.
pub(super) async fn confirm_start(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  connection: &mut Connection,
) -> Result<(), StageError> {
  let Ok(reported) = timeout(CALL_TIMEOUT, reported_start_ms(gateway, entry, connection)).await
  else {
    gateway.record_unreached(entry);
    return Err(StageError::Unreachable);
  };
  let reported_ms = reported?;
  if reported_ms.is_some() && reported_ms != entry.started_ms {
    log::info!(
      "E518 endpoint has restarted: {} reports its start at {reported_ms:?}, listed {}",
      entry.id,
      entry.start_text()
    );
    return Err(Unavailable::Restarted.into());
  }
  connection.confirmed_start_ms = entry.started_ms;
  Ok(())
}

/// The start that an engine reports on a connection; `None` when it reports none.
async fn reported_start_ms(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  connection: &mut Connection,
) -> Result<Option<u64>, StageError> {
  let unsent = |error: &dyn std::fmt::Display| StageError::Unsent(error.to_string());
  let call = build_request(entry, gateway.codec.report_call()).map_err(|error| unsent(&error))?;
  let sent = SentCall {
    entry,
    purpose: Purpose::Call,
    sent_ms: gateway.now_ms(),
  };
  let response = connection
    .send(call)
    .await
    .map_err(|error| unsent(&error))?;
  let (head, body) = apply_response_notice(gateway, sent, response).into_parts();
  let read = buffer_body(body, MAX_RESPONSE_BYTES).await;
  let body = read.map_err(|error| unsent(&error))?;
  if head.status != StatusCode::OK {
    return Ok(None);
  }
  match gateway.codec.report(&body) {
    Ok(report) => Ok(report.started_ms),
    Err(error) => {
      log::info!("E561 report not decoded: {}: {error}", entry.id);
      Ok(None)
    }
  }
}
