//! Asks an endpoint whether it has restarted since it was listed.

use {
  super::{
    engine_call::EngineCallError, engine_call::call_engine, purpose::Purpose,
    stage_error::StageError,
  },
  crate::gateway::{decisions::Unavailable, edge::EndpointEntry, state::Gateway},
  std::rc::Rc,
};

/// Fails when an engine reports another start than the listed one. It may have restarted under its id with another version, and
/// the list may lag. An engine that reports no start passes.
pub(crate) async fn check_incarnation(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
) -> Result<(), StageError> {
  if entry.started_ms.is_none() || entry.role.is_none() {
    return Ok(());
  }
  let call = gateway.codec.report_call();
  let body = match call_engine(gateway, entry, call, Purpose::Call).await {
    Ok(body) => body,
    Err(EngineCallError::Rejected(_)) => return Ok(()),
    Err(EngineCallError::Unavailable(unavailable)) => return Err(unavailable.into()),
    Err(EngineCallError::TimedOut | EngineCallError::Lost(_)) => {
      return Err(StageError::Unreachable);
    }
  };
  match gateway.codec.report(&body) {
    Ok(report) if report.started_ms.is_some() && report.started_ms != entry.started_ms => {
      Err(Unavailable::Restarted.into())
    }
    Ok(_) => Ok(()),
    Err(error) => {
      log::info!("E561 report not decoded: {}: {error}", entry.id);
      Ok(())
    }
  }
}
