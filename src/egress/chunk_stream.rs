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

/// What a stream of chunks gave next.
pub(super) enum Next {
  Chunk(DecodeChunk),
  /// Nothing for another stall timeout; the silence so far.
  Silent(Duration),
  End,
}

/// A stream of chunks, bounded in line length.
pub(super) struct ChunkStream {
  body: Incoming,
  buffer: BytesMut,
  silence: Duration,
  stall_timeout: Duration,
}

impl ChunkStream {
  pub(super) fn new(response: Response<Incoming>, stall_timeout: Duration) -> Self {
    Self {
      body: response.into_body(),
      buffer: BytesMut::new(),
      silence: Duration::ZERO,
      stall_timeout,
    }
  }

  /// The next chunk, unless the stream is silent or at its end. Cancel safe.
  pub(super) async fn next(&mut self) -> Result<Next, CommandFailure> {
    loop {
      if let Some(line_end) = self.buffer.iter().position(|byte| *byte == b'\n') {
        let line = self.buffer.split_to(line_end);
        self.buffer.advance(1);
        if line.is_empty() {
          continue;
        }
        return serde_json::from_slice(&line)
          .map(Next::Chunk)
          .map_err(|_| CommandFailure::PerhapsBegan);
      }
      if self.buffer.len() > MAX_LINE_BYTES {
        return Err(CommandFailure::PerhapsBegan);
      }
      let Ok(frame) = timeout(self.stall_timeout, self.body.frame()).await else {
        self.silence += self.stall_timeout;
        return Ok(Next::Silent(self.silence));
      };
      self.silence = Duration::ZERO;
      match frame {
        None => return Ok(Next::End),
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
