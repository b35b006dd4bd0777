//! What a box that does not reach the store asks another one to write there.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      decisions::QuarantineKey,
      state::{Gateway, MarkOrigin},
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::{BodyExt, Full, Limited},
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
  let body = postcard::to_stdvec(&texts).map_err(|error| CallError::NotSent(error.to_string()))?;
  let request = Request::post(format!("http://{address}{MARKS_PATH}"))
    .body(Full::new(body.into()))
    .map_err(|error| CallError::NotSent(error.to_string()))?;
  http.bytes(request, TELL_LIMIT).await.map(drop)
}

/// Takes over another box's marks, and has them written.
pub(crate) async fn answer_marks(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let mut response = Response::new(Full::default());
  match read(request).await {
    Ok(keys) => {
      let now_ms = gateway.now_ms();
      for key in &keys {
        gateway.quarantine.book.borrow_mut().note(*key, now_ms);
      }
      gateway.quarantine.write(&keys, MarkOrigin::Told, true);
    }
    Err(error) => {
      log::info!("E534 marks of another box not read: {error}");
      *response.status_mut() = StatusCode::BAD_REQUEST;
    }
  }
  response
}

async fn read(request: Request<Incoming>) -> Result<Vec<QuarantineKey>, String> {
  let read = Limited::new(request.into_body(), MOST_BYTES)
    .collect()
    .await;
  let body = read.map_err(|error| error.to_string())?.to_bytes();
  let texts: Vec<Name> = postcard::from_bytes(&body).map_err(|error| error.to_string())?;
  Ok(
    texts
      .iter()
      .filter_map(|text| QuarantineKey::parse(text))
      .collect(),
  )
}
