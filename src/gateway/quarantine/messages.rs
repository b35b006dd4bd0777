//! Quarantine marks that a box cut off from the store has another box write there.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{read_message, send_message, status_response},
      decisions::QuarantineKey,
      state::{Gateway, MarkOrigin},
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a box receives marks.
pub(crate) const MARKS_PATH: &str = "/quarantine";
/// Limit of a message body: room for 32 marks of 60 bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// A reachable box answers in milliseconds, and within 100 ms when it has used up its CPU quota.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends marks to another box.
pub(super) async fn send_marks(
  http: &HttpClient,
  address: SocketAddr,
  keys: &[QuarantineKey],
) -> Result<(), CallError> {
  let texts: Vec<Name> = keys.iter().map(QuarantineKey::text).collect();
  send_message(http, address, MARKS_PATH, &texts, SEND_TIMEOUT)
    .await
    .map(drop)
}

/// Records another box's marks, and queues them for the store.
pub(crate) async fn handle_marks(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<Vec<Name>>(request, MAX_BODY_BYTES).await {
    Ok(texts) => {
      record_marks(gateway, &texts);
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E534 marks from another box rejected: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

fn record_marks(gateway: &Gateway, texts: &[Name]) {
  let now_ms = gateway.now_ms();
  let keys: Vec<QuarantineKey> = texts
    .iter()
    .filter_map(|text| QuarantineKey::parse(text))
    .collect();
  for key in &keys {
    gateway
      .quarantine
      .registry
      .borrow_mut()
      .record(*key, now_ms);
  }
  gateway.quarantine.write(&keys, MarkOrigin::Peer, true);
}
