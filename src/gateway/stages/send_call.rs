//! Sends one call on a connection to an endpoint, and applies what the head of its answer states.

use {
  super::{
    answer_check::check_answer,
    notice::{SentCall, apply_response_notice},
    outgoing_call::OutgoingCall,
    purpose::Purpose,
    stage_error::StageError,
  },
  crate::gateway::{
    connections::Connection,
    decisions::{Displacement, Misdirected},
    edge::EndpointEntry,
    state::Gateway,
  },
  http::{Response, StatusCode},
  hyper::body::Incoming,
  std::rc::Rc,
};

/// Own calls that are logged in a second.
const MAX_LOGGED_PER_S: u32 = 100;
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
    ..
  } = call;
  if let Some(id) = &id {
    if purpose.is_request() {
      connection.record_id(id);
    } else if gateway
      .own_call_log
      .should_log(MAX_LOGGED_PER_S, gateway.now_ms())
    {
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
  if response.status() == StatusCode::MISDIRECTED_REQUEST {
    record_misdirected(gateway, sent);
  }
  Ok(apply_response_notice(gateway, sent, response))
}

/// Records that a call was rejected as misdirected.
fn record_misdirected(gateway: &Gateway, sent: SentCall) {
  let SentCall {
    entry, id, purpose, ..
  } = sent;
  gateway.counters.misdirected.inc();
  let misdirected = match purpose {
    Purpose::Report => Misdirected::Report,
    _ if gateway.has_engines(&entry.service) => Misdirected::Other,
    _ => Misdirected::PlainService,
  };
  let change =
    gateway
      .endpoints
      .borrow_mut()
      .record_misdirected(entry, misdirected, gateway.now_ms());
  match change {
    None | Some(Displacement::None | Displacement::Unconfirmed { .. }) => {}
    Some(Displacement::Suspected) => gateway.displacement_suspected.notify_one(),
    Some(Displacement::Confirmed { .. }) => {
      gateway.pool.close(&entry.id);
      log::info!(
        "E594 displaced: another endpoint answers at {}, where {} is listed, by its answer to {}",
        entry.address,
        entry.id,
        id.unwrap_or("-")
      );
    }
  }
}
