//! A caller's socket, of which all that is read is recorded.

use {
  judge::{RawConnectionRecorder, ReadEnd},
  std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// A caller's socket.
pub(crate) struct RecordedStream {
  pub(crate) inner: TcpStream,
  pub(crate) recorder: RawConnectionRecorder,
}

impl AsyncRead for RecordedStream {
  fn poll_read(
    mut self: Pin<&mut Self>,
    context: &mut Context,
    buffer: &mut ReadBuf,
  ) -> Poll<io::Result<()>> {
    let filled_bytes = buffer.filled().len();
    let may_read = buffer.remaining() > 0;
    let result = ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
    let read = &buffer.filled()[filled_bytes..];
    match &result {
      Ok(()) if read.is_empty() && may_read => self.recorder.record_end(ReadEnd::Closed),
      Ok(()) => self.recorder.record_read(read),
      Err(_) => self.recorder.record_end(ReadEnd::Reset),
    }
    Poll::Ready(result)
  }
}

impl AsyncWrite for RecordedStream {
  fn poll_write(
    mut self: Pin<&mut Self>,
    context: &mut Context,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    Pin::new(&mut self.inner).poll_write(context, bytes)
  }

  fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.inner).poll_flush(context)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.inner).poll_shutdown(context)
  }
}
