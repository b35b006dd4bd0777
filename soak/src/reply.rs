//! Responses of endpoints.

use {
  bytes::Bytes,
  futures_util::stream,
  http::{HeaderMap, HeaderValue, Response, StatusCode, header::RETRY_AFTER},
  http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
  hyper::body::Frame,
  serde_json::Value,
  std::{io, time::Duration},
};

/// Response body.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body in one piece.
pub(crate) fn full_body(text: &str) -> ReplyBody {
  Full::new(Bytes::copy_from_slice(text.as_bytes()))
    .map_err(|never| match never {})
    .boxed_unsync()
}

/// A body in several pieces; one in a single piece has a length.
pub(crate) fn parted_body(parts: &'static [&'static str]) -> ReplyBody {
  if let [text] = parts {
    return full_body(text);
  }
  let frames = parts
    .iter()
    .map(|part| Ok(Frame::data(Bytes::from_static(part.as_bytes()))));
  StreamBody::new(stream::iter(frames)).boxed_unsync()
}

/// Half of a text, followed by an error.
pub(crate) fn cut_body(text: &str) -> ReplyBody {
  let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
  let parts = stream::iter([Ok(Frame::data(half)), Err(io::Error::other("cut"))]);
  StreamBody::new(parts).boxed_unsync()
}

/// A response without a body.
pub(crate) fn status(status: StatusCode) -> Response<ReplyBody> {
  let mut response = Response::new(full_body(""));
  *response.status_mut() = status;
  response
}

/// A JSON response to a box's call.
pub(crate) fn json_response(value: Value) -> Response<ReplyBody> {
  Response::new(full_body(&value.to_string()))
}

/// A rejection that states that the request did not run.
pub(crate) fn not_run(headers: &HeaderMap, code: StatusCode) -> Response<ReplyBody> {
  let mut response = status(code);
  if let Some(id) = headers.get("x-request-id") {
    response.headers_mut().insert("x-request-id", id.clone());
  }
  response
    .headers_mut()
    .insert("x-not-executed", HeaderValue::from_static("1"));
  response
}

/// Adds a retry-after delay to a rejection.
pub(crate) fn with_retry_after(
  mut rejection: Response<ReplyBody>,
  delay: Duration,
) -> Response<ReplyBody> {
  rejection
    .headers_mut()
    .insert(RETRY_AFTER, HeaderValue::from(delay.as_secs()));
  rejection
}
