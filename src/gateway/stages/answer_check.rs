//! Checks that an answer is the one to the call that waits: an endpoint may send one late, in the place of the next.

use {
  super::{notice::SentCall, stage_error::StageError},
  crate::gateway::state::Gateway,
  http::HeaderMap,
};

/// Fails when an answer is the one to another call. Engines may leave out the ids of the gateway's own calls, but name no other.
pub(super) fn check_answer(
  gateway: &Gateway,
  sent: SentCall,
  headers: &HeaderMap,
) -> Result<(), StageError> {
  let SentCall {
    entry, id, purpose, ..
  } = sent;
  let received = gateway.codec.response_attributes(headers).request_id;
  if received.as_deref() == id || (received.is_none() && !purpose.is_request()) {
    return Ok(());
  }
  gateway.counters.other_answers.inc();
  gateway.record_stray_answer(entry);
  log::info!(
    "E526 answer to another call: {} sends that to {}, expected to {}, {purpose:?}",
    entry.id,
    received.as_deref().unwrap_or("-"),
    id.unwrap_or("-")
  );
  Err(StageError::Lost("response to another request".into()))
}
