//! Parses a decode engine's response stream: newline-delimited JSON chunks.

use {
  super::endpoint_client::CommandFailure,
  crate::endpoint_api::DecodeChunk,
  bytes::{Buf, BytesMut},
  http::Response,
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::time::Duration,
  tokio::time::timeout,
};

const MAX_LINE_BYTES: usize = 64 * 1024;

/// A stream of chunks, bounded in silence between reads and in line length.
pub(super) struct ChunkStream {
  body: Incoming,
  buffer: BytesMut,
  stall_timeout: Duration,
}

impl ChunkStream {
  pub(super) fn new(response: Response<Incoming>, stall_timeout: Duration) -> Self {
    Self {
      body: response.into_body(),
      buffer: BytesMut::new(),
      stall_timeout,
    }
  }

  /// The next chunk, or `None` at the end of the stream.
  pub(super) async fn next(&mut self) -> Result<Option<DecodeChunk>, CommandFailure> {
    loop {
      if let Some(line_end) = self.buffer.iter().position(|byte| *byte == b'\n') {
        let line = self.buffer.split_to(line_end);
        self.buffer.advance(1);
        if line.is_empty() {
          continue;
        }
        return serde_json::from_slice(&line)
          .map(Some)
          .map_err(|_| CommandFailure::PerhapsBegan);
      }
      if self.buffer.len() > MAX_LINE_BYTES {
        return Err(CommandFailure::PerhapsBegan);
      }
      let frame = timeout(self.stall_timeout, self.body.frame())
        .await
        .map_err(|_| CommandFailure::PerhapsBegan)?;
      match frame {
        None => return Ok(None),
        Some(Err(_)) => return Err(CommandFailure::PerhapsBegan),
        Some(Ok(frame)) => {
          if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
          }
        }
      }
    }
  }
}
