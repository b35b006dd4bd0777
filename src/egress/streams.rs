//! Reading a decode engine's stream of chunks, a JSON object a line.

use {
  super::endpoint_client::OrderFailure,
  crate::endpoint_api::DecodeChunk,
  bytes::{Buf, BytesMut},
  http::Response,
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::time::Duration,
  tokio::time::timeout,
};

const MOST_LINE_BYTES: usize = 64 * 1024;

/// A stream of chunks with a bound on silence and on the length of a line.
pub(super) struct ChunkStream {
  body: Incoming,
  buffer: BytesMut,
  stall: Duration,
}

impl ChunkStream {
  pub(super) fn new(response: Response<Incoming>, stall: Duration) -> Self {
    Self {
      body: response.into_body(),
      buffer: BytesMut::new(),
      stall,
    }
  }

  /// The next chunk; none at the end of the stream.
  pub(super) async fn next(&mut self) -> Result<Option<DecodeChunk>, OrderFailure> {
    loop {
      if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        if line.is_empty() {
          continue;
        }
        return serde_json::from_slice(&line)
          .map(Some)
          .map_err(|_| OrderFailure::PerhapsBegan);
      }
      if self.buffer.len() > MOST_LINE_BYTES {
        return Err(OrderFailure::PerhapsBegan);
      }
      let frame = timeout(self.stall, self.body.frame())
        .await
        .map_err(|_| OrderFailure::PerhapsBegan)?;
      match frame {
        None => return Ok(None),
        Some(Err(_)) => return Err(OrderFailure::PerhapsBegan),
        Some(Ok(frame)) => {
          if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
          }
        }
      }
    }
  }
}
