//! Buffers a body whole, within a bound on its length.

use {
  bytes::{Bytes, BytesMut},
  http_body_util::BodyExt,
  hyper::body::Body,
};

/// Why a body was not buffered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError<E> {
  /// It is too long.
  #[error("longer than {0} bytes")]
  TooLong(usize),
  /// It was truncated, or its framing is invalid.
  #[error("{0}")]
  Broken(E),
}

/// Buffers a body of at most `max_bytes`. Its pieces are copied, so that many small ones take no more memory than a few large ones.
pub(crate) async fn buffer_body<B: Body<Data = Bytes> + Unpin>(
  mut body: B,
  max_bytes: usize,
) -> Result<Bytes, BodyError<B::Error>> {
  let mut buffer = BytesMut::new();
  while let Some(frame) = body.frame().await {
    let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
      continue;
    };
    if buffer.len() + data.len() > max_bytes {
      return Err(BodyError::TooLong(max_bytes));
    }
    buffer.extend_from_slice(&data);
  }
  Ok(buffer.freeze())
}
