//! Sends one call on a connection to an endpoint, and applies what the head of its answer states.

use {
  super::{
    answer_check::check_answer,
    notice::{SentCall, apply_response_notice},
    outgoing_call::OutgoingCall,
    stage_error::StageError,
  },
  crate::gateway::{connections::Connection, edge::EndpointEntry, state::Gateway},
  http::Response,
  hyper::body::Incoming,
  std::rc::Rc,
};

/// Logged characters of a call's path, which may hold text from an endpoint.
const MAX_PATH_CHARS: usize = 60;

/// Sends a call on a connection, and returns its answer. Fails with [`StageError::Lost`] if the answer is the one to another call.
pub(super) async fn send_call(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  connection: &mut Connection,
  call: OutgoingCall,
) -> Result<Response<Incoming>, StageError> {
  let OutgoingCall {
    id,
    purpose,
    request,
  } = call;
  if let Some(id) = &id {
    if purpose.is_request() {
      connection.record_id(id);
    } else {
      log::info!(
        "E593 own call: {id} {} {:.MAX_PATH_CHARS$} to {} at {}, after {} calls on its connection",
        request.method(),
        request.uri().path(),
        entry.id,
        entry.address,
        connection.calls()
      );
    }
  }
  let sent = SentCall {
    entry,
    id: id.as_deref(),
    purpose,
    sent_ms: gateway.now_ms(),
  };
  let response = connection.send(request).await?;
  check_answer(gateway, sent, response.headers())?;
  Ok(apply_response_notice(gateway, sent, response))
}
