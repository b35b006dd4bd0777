//! Responds to messages about the origins that are kept in the store.

use {
  super::{
    origin_messages::{FindOriginMessage, OriginsMessage},
    origin_reading::read_origin,
    origin_sending::{TakenStreams, take_streams},
  },
  crate::gateway::{
    connections::{message_response, read_message, status_response},
    state::Gateway,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
};

/// Limit of a message body.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Takes another box's streams to write them. Responds with 503 if this box's last write failed, and with 404 if it keeps no origins in
/// the store.
pub(crate) async fn handle_origins(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  if !gateway.settings.mechanisms.stored_origins {
    return status_response(StatusCode::NOT_FOUND);
  }
  match read_message::<OriginsMessage>(request, MAX_BODY_BYTES).await {
    Ok(OriginsMessage { bucket, batch }) => match take_streams(gateway, bucket, &batch) {
      TakenStreams::Taken => status_response(StatusCode::OK),
      TakenStreams::Rejected => status_response(StatusCode::SERVICE_UNAVAILABLE),
    },
    Err(error) => rejected(&error),
  }
}

/// Responds with what the store has on a stream, or with 503 if it does not answer.
pub(crate) async fn handle_find_origin(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  if !gateway.settings.mechanisms.stored_origins {
    return status_response(StatusCode::NOT_FOUND);
  }
  match read_message::<FindOriginMessage>(request, MAX_BODY_BYTES).await {
    Ok(FindOriginMessage { bucket, key }) => match read_origin(gateway, bucket, &key).await {
      Some(origin) => message_response(&origin),
      None => status_response(StatusCode::SERVICE_UNAVAILABLE),
    },
    Err(error) => rejected(&error),
  }
}

fn rejected(error: &str) -> Response<Full<Bytes>> {
  log::info!("E609 origins of streams rejected: {error}");
  status_response(StatusCode::BAD_REQUEST)
}
