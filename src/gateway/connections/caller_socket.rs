//! The socket of a caller's connection. If only the connection's end tells that a response is complete, an early end is a reset, also
//! when the process is killed.

use {
  socket2::SockRef,
  std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// Whether a response on a connection has neither a length nor chunks, so that it ends with the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndsWithConnection(Rc<Cell<bool>>);

impl EndsWithConnection {
  /// The response that is written now ends with the connection.
  pub(crate) fn set(&self) {
    self.0.set(true);
  }
}

/// The socket of a caller's connection.
pub(crate) struct CallerSocket {
  stream: TcpStream,
  ends_with_connection: EndsWithConnection,
  /// Whether closing the socket resets the connection.
  resets: bool,
}

impl CallerSocket {
  pub(crate) fn new(stream: TcpStream, ends_with_connection: EndsWithConnection) -> Self {
    Self {
      ends_with_connection,
      resets: false,
      stream,
    }
  }

  /// Has the kernel reset the connection when the socket is closed, or send what is left and close it in order.
  fn set_resets(&mut self, resets: bool) -> io::Result<()> {
    if self.resets != resets {
      let linger = resets.then_some(Duration::ZERO);
      SockRef::from(&self.stream).set_linger(linger)?;
      self.resets = resets;
    }
    Ok(())
  }

  /// Called before each write: the head of a response that ends with the connection is not sent before the socket resets.
  fn prepare_write(&mut self) -> io::Result<()> {
    self.set_resets(self.ends_with_connection.0.get())
  }
}

impl AsyncRead for CallerSocket {
  fn poll_read(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_read(context, buffer)
  }
}

impl AsyncWrite for CallerSocket {
  fn poll_write(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    self.prepare_write()?;
    Pin::new(&mut self.stream).poll_write(context, bytes)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    slices: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.prepare_write()?;
    Pin::new(&mut self.stream).poll_write_vectored(context, slices)
  }

  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }

  fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_flush(context)
  }

  /// The response is complete: what is left is sent before the connection ends.
  fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
    Poll::Ready(self.set_resets(false))
  }
}
