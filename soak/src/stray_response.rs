//! Responses that belong to no request.

use {
  super::{connection::Connection, reply::ReplyBody},
  bytes::Bytes,
  http::{Response, Version, header::CONTENT_TYPE},
  http_body_util::BodyExt,
  hyper::body::{Body, Frame, SizeHint},
  std::{
    io,
    pin::Pin,
    task::{Context, Poll},
  },
};

/// Bytes that are not a response.
pub(crate) const NOISE: &[u8] = b"\x16\x03\x01 no response\r\n\r\n";
/// The events of a response to a stream.
const STRAY_EVENTS: &str = "id: 1\ndata: stray\n\nid: 2\ndata: stray\n\nid: 3\ndata: stray\n\n";
/// A response to a reservation or a prefill.
const STRAY_ANSWER: &str = r#"{"hold":"stray","promptHandle":"stray","tokens":1,"version":1}"#;

/// What an endpoint sends besides a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stray {
  /// A second response, at once after the first.
  AtOnce,
  /// A second response, in the place of the next one on the connection.
  Late,
  /// Bytes that are not a response, before the response.
  Noise,
}

impl Stray {
  /// Sends the stray bytes with a response, unless that ends with its connection, which would make them a part of it.
  pub(crate) fn send(
    self,
    response: Response<ReplyBody>,
    connection: &Connection,
  ) -> Response<ReplyBody> {
    if response.version() == Version::HTTP_10 {
      return response;
    }
    let bytes = second_response(&response);
    match self {
      Self::Noise => connection.send_before(NOISE.to_vec()),
      Self::Late => connection.send_before_next(bytes),
      Self::AtOnce => {
        let end = BodyEnd {
          bytes,
          connection: connection.clone(),
        };
        return response.map(|body| WatchedBody { body, _end: end }.boxed_unsync());
      }
    }
    response
  }
}

/// Another response with the id and receipt of a response.
pub(crate) fn second_response(response: &Response<ReplyBody>) -> Vec<u8> {
  let header = |name: &str| {
    let value = response.headers().get(name)?.to_str().ok()?;
    Some(format!("{name}: {value}\r\n"))
  };
  let names = ["x-request-id", "x-response-seal", CONTENT_TYPE.as_str()];
  let headers: String = names.into_iter().filter_map(header).collect();
  let body = if response.headers().contains_key(CONTENT_TYPE) {
    STRAY_EVENTS
  } else {
    STRAY_ANSWER
  };
  let length = body.len();
  format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Sends bytes when a body has ended.
struct BodyEnd {
  bytes: Vec<u8>,
  connection: Connection,
}

impl Drop for BodyEnd {
  fn drop(&mut self) {
    self.connection.send_after(std::mem::take(&mut self.bytes));
  }
}

/// A body whose end is noticed.
struct WatchedBody {
  body: ReplyBody,
  _end: BodyEnd,
}

impl Body for WatchedBody {
  type Data = Bytes;
  type Error = io::Error;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    context: &mut Context,
  ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
    Pin::new(&mut self.body).poll_frame(context)
  }

  fn is_end_stream(&self) -> bool {
    self.body.is_end_stream()
  }

  fn size_hint(&self) -> SizeHint {
    self.body.size_hint()
  }
}
