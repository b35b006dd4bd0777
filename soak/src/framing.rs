//! How the end of a response body is marked.

use {
  super::reply::ReplyBody,
  http::{Response, Version},
  http_body_util::{BodyExt, StreamBody},
  hyper::body::Frame,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
};

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
  /// By the last chunk.
  Chunks,
  /// By its length; that of a stream by the last chunk.
  Length,
  /// By the end of the connection.
  ConnectionEnd,
}

impl Framing {
  /// Sends a response with this framing.
  pub(crate) fn apply(self, response: Response<ReplyBody>) -> Response<ReplyBody> {
    match self {
      Self::Length => response,
      Self::Chunks => response.map(without_length),
      Self::ConnectionEnd => {
        let mut response = response.map(without_length);
        // The server sends no chunks in this version.
        *response.version_mut() = Version::HTTP_10;
        response
      }
    }
  }
}

/// The same body, of a length that the server does not know.
fn without_length(body: ReplyBody) -> ReplyBody {
  let frames = futures_util::StreamExt::map(body.into_data_stream(), |data| data.map(Frame::data));
  StreamBody::new(frames).boxed_unsync()
}

/// The framings of the responses of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framings {
  /// Streams have chunks, and other responses a length.
  Usual,
  /// Each response has chunks, a length, or ends with its connection.
  Mixed,
}

impl Framings {
  /// Draws the framing of a response.
  pub(crate) fn draw(self, random: &mut ChaCha8Rng) -> Framing {
    match self {
      Self::Usual => Framing::Length,
      Self::Mixed => {
        let framings = [Framing::Chunks, Framing::Length, Framing::ConnectionEnd];
        framings[random.random_range(0..framings.len())]
      }
    }
  }
}
