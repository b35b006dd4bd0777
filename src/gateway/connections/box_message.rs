//! Messages between boxes, as the postcard-encoded bodies of HTTP requests and responses.

use {
  crate::{CallError, HttpClient, bounded_body::buffer_body},
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Serialize, de::DeserializeOwned},
  std::{net::SocketAddr, time::Duration},
};

/// Sends a message to a path of another box and returns the response's body.
pub(crate) async fn send_message<M: Serialize>(
  http: &HttpClient,
  address: SocketAddr,
  path: &str,
  message: &M,
  timeout: Duration,
) -> Result<Bytes, CallError> {
  let body = postcard::to_stdvec(message).map_err(|error| CallError::NotSent(error.to_string()))?;
  let request = Request::post(format!("http://{address}{path}"))
    .body(Full::new(body.into()))
    .map_err(|error| CallError::NotSent(error.to_string()))?;
  http.fetch_bytes(request, timeout).await
}

/// Reads a message from another box. Fails with the reason when it is too long, truncated, or can't be decoded.
pub(crate) async fn read_message<M: DeserializeOwned>(
  request: Request<Incoming>,
  max_bytes: usize,
) -> Result<M, String> {
  let read = buffer_body(request.into_body(), max_bytes).await;
  let body = read.map_err(|error| error.to_string())?;
  postcard::from_bytes(&body).map_err(|error| error.to_string())
}

/// A response with a message.
pub(crate) fn message_response<M: Serialize>(message: &M) -> Response<Full<Bytes>> {
  match postcard::to_stdvec(message) {
    Ok(body) => Response::new(Full::new(body.into())),
    Err(error) => {
      log::error!("E430 response to a box not encoded: {error}");
      status_response(StatusCode::INTERNAL_SERVER_ERROR)
    }
  }
}

/// A response with a status and no body.
pub(crate) fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
  let mut response = Response::new(Full::default());
  *response.status_mut() = status;
  response
}
