//! What a box that does not reach the store asks another one to write there.

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

/// The path on which a box is told of marks.
pub(crate) const MARKS_PATH: &str = "/quarantine";
/// The longest message: 32 marks of 60 bytes, with room.
const MOST_BYTES: usize = 16 * 1024;
/// A box in reach answers within milliseconds, and within 100 ms when it has used up its share of a core.
const TELL_LIMIT: Duration = Duration::from_millis(200);

/// Tells another box of marks.
pub(super) async fn tell_marks(
  http: &HttpClient,
  address: SocketAddr,
  keys: &[QuarantineKey],
) -> Result<(), CallError> {
  let texts: Vec<Name> = keys.iter().map(QuarantineKey::text).collect();
  send_message(http, address, MARKS_PATH, &texts, TELL_LIMIT)
    .await
    .map(drop)
}

/// Takes over another box's marks, and has them written.
pub(crate) async fn answer_marks(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message::<Vec<Name>>(request, MOST_BYTES).await {
    Ok(texts) => {
      note_marks(gateway, &texts);
      status_response(StatusCode::OK)
    }
    Err(error) => {
      log::info!("E534 marks of another box not read: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

fn note_marks(gateway: &Gateway, texts: &[Name]) {
  let now_ms = gateway.now_ms();
  let keys: Vec<QuarantineKey> = texts
    .iter()
    .filter_map(|text| QuarantineKey::parse(text))
    .collect();
  for key in &keys {
    gateway.quarantine.book.borrow_mut().record(*key, now_ms);
  }
  gateway.quarantine.write(&keys, MarkOrigin::Told, true);
}
