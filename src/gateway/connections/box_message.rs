//! Messages between boxes: a call with a message, and an answer with one or with a status alone.

use {
  crate::{CallError, HttpClient},
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::{BodyExt, Full, Limited},
  hyper::body::Incoming,
  serde::{Serialize, de::DeserializeOwned},
  std::{net::SocketAddr, time::Duration},
};

/// Sends a message to a path of another box, and answers with the body of its answer.
pub(crate) async fn send_message<M: Serialize>(
  http: &HttpClient,
  address: SocketAddr,
  path: &str,
  message: &M,
  limit: Duration,
) -> Result<Bytes, CallError> {
  let body = postcard::to_stdvec(message).map_err(|error| CallError::NotSent(error.to_string()))?;
  let request = Request::post(format!("http://{address}{path}"))
    .body(Full::new(body.into()))
    .map_err(|error| CallError::NotSent(error.to_string()))?;
  http.fetch_bytes(request, limit).await
}

/// Reads a message of another box. Fails with the reason when it is too long, broke off, or is no such message.
pub(crate) async fn read_message<M: DeserializeOwned>(
  request: Request<Incoming>,
  most_bytes: usize,
) -> Result<M, String> {
  let read = Limited::new(request.into_body(), most_bytes)
    .collect()
    .await;
  let body = read.map_err(|error| error.to_string())?.to_bytes();
  postcard::from_bytes(&body).map_err(|error| error.to_string())
}

/// An answer with a message.
pub(crate) fn message_answer<M: Serialize>(message: &M) -> Response<Full<Bytes>> {
  match postcard::to_stdvec(message) {
    Ok(body) => Response::new(Full::new(body.into())),
    Err(error) => {
      log::error!("E430 an answer to a box can't be written: {error}");
      status_answer(StatusCode::INTERNAL_SERVER_ERROR)
    }
  }
}

/// An answer with a status alone.
pub(crate) fn status_answer(status: StatusCode) -> Response<Full<Bytes>> {
  let mut response = Response::new(Full::default());
  *response.status_mut() = status;
  response
}
