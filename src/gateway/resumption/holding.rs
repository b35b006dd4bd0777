//! Holds records of streams that other boxes are about to begin at processes of unknown version.

use {
  crate::gateway::{
    connections::{read_message, status_response},
    decisions::StreamHold,
    stages::{BeginMessage, HoldMessage, watch_process},
    state::Gateway,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  std::rc::Rc,
};

/// Limit of a message body.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Longest lifetime of a record that another box may set.
const MAX_TTL_MS: u64 = 3_600_000;

/// Observes the process at which another box is about to begin a stream, and responds once it does. A failure is 409.
pub(crate) async fn handle_hold(
  gateway: &Rc<Gateway>,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<HoldMessage>(request, MAX_BODY_BYTES).await {
    Ok(message) => match hold(gateway, message).await {
      true => status_response(StatusCode::OK),
      false => status_response(StatusCode::CONFLICT),
    },
    Err(error) => rejected(&error),
  }
}

async fn hold(gateway: &Rc<Gateway>, message: HoldMessage) -> bool {
  let entry = gateway
    .endpoints
    .borrow()
    .entry(&message.endpoint)
    .filter(|entry| entry.service == message.service)
    .cloned();
  let Some(entry) = entry else {
    return false;
  };
  // An engine names itself on the connection; boxes may reach it at several addresses.
  if entry.address != message.address && !gateway.has_engines(&entry.service) {
    return false;
  }
  let watched = match watch_process(gateway, &entry).await {
    Ok(watched) => watched,
    Err(error) => {
      log::info!("E597 not observed: {}: {error}", entry.id);
      return false;
    }
  };
  let expires_ms = gateway.now_ms() + message.ttl_ms.min(MAX_TTL_MS);
  let hold = StreamHold {
    has_begun: false,
    send: message.send,
    service: message.service,
    watched,
  };
  let mut records = gateway.stream_records.borrow_mut();
  records.hold(message.key, hold, expires_ms);
  true
}

/// Records that a stream which this box holds has begun.
pub(crate) async fn handle_begin(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<BeginMessage>(request, MAX_BODY_BYTES).await {
    Ok(BeginMessage { key, send }) => {
      gateway.stream_records.borrow_mut().begin_held(&key, send);
      status_response(StatusCode::OK)
    }
    Err(error) => rejected(&error),
  }
}

fn rejected(error: &str) -> Response<Full<Bytes>> {
  log::info!("E609 record of a stream rejected: {error}");
  status_response(StatusCode::BAD_REQUEST)
}
