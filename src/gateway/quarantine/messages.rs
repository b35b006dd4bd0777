//! Quarantine marks that a box cut off from the store has another box write there.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{read_message, send_message, status_response},
      decisions::{
        EndpointIncarnation, Fingerprint, MAX_SUSPECTS_IN_RECORD, QuarantineKey, QuarantineMark,
      },
      state::{Gateway, MarkOrigin},
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a box receives marks.
pub(crate) const MARKS_PATH: &str = "/quarantine";
/// Limit of a message body: room for 32 marks of 60 bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// The path on which a box receives segments that are suspected of a crash.
pub(crate) const SUSPECTS_PATH: &str = "/quarantine/suspects";
/// Limit of a message body: room for the segments of a record, and some bytes.
const MAX_SUSPECTS_BYTES: usize = MAX_SUSPECTS_IN_RECORD * size_of::<Fingerprint>() + 1_024;
/// A reachable box answers in milliseconds, and within 100 ms when it has used up its CPU quota.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// The segments that a box suspects of a crash.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct SuspectsMessage {
  pub(super) incarnation: EndpointIncarnation,
  pub(super) segments: Vec<Fingerprint>,
}

/// Sends suspected segments to another box.
pub(super) async fn send_suspects(
  http: &HttpClient,
  address: SocketAddr,
  message: &SuspectsMessage,
) -> Result<(), CallError> {
  send_message(http, address, SUSPECTS_PATH, message, SEND_TIMEOUT)
    .await
    .map(drop)
}

/// Records the segments that another box suspects, and queues those that are new for the store.
pub(crate) async fn handle_suspects(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<SuspectsMessage>(request, MAX_SUSPECTS_BYTES).await {
    Ok(message) => {
      record_suspects(gateway, message);
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E534 suspected segments from another box rejected: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

fn record_suspects(gateway: &Gateway, message: SuspectsMessage) {
  let now_ms = gateway.now_ms();
  let mark = QuarantineMark::Crashed(message.incarnation);
  let mut new = message.segments;
  new.retain(|fingerprint| {
    let key = QuarantineKey {
      fingerprint: *fingerprint,
      mark,
    };
    let mut registry = gateway.quarantine.registry.borrow_mut();
    registry.record(key, now_ms)
  });
  gateway.quarantine.write_suspects(message.incarnation, &new);
}

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
