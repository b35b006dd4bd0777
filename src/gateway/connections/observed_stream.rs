//! A connection's socket, which records whether all that has arrived was read.

use {
  crate::gateway::decisions::ConnectionState,
  std::{
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    sync::LazyLock,
    task::{Context, Poll, ready},
    time::Instant,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// A steady clock, in ms since its first use.
pub(super) fn clock_ms() -> u64 {
  static START: LazyLock<Instant> = LazyLock::new(Instant::now);
  u64::try_from(START.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// A connection's socket. Its state shows whether the end of the connection would be noticed.
pub(super) struct ObservedStream {
  stream: TcpStream,
  state: Rc<ConnectionState>,
}

impl ObservedStream {
  pub(super) fn new(stream: TcpStream, state: &Rc<ConnectionState>) -> Self {
    Self {
      state: state.clone(),
      stream,
    }
  }
}

impl AsyncRead for ObservedStream {
  fn poll_read(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    let had = buffer.filled().len();
    let read = Pin::new(&mut self.stream).poll_read(context, buffer);
    if read.is_pending() {
      self.state.record_waiting();
    }
    let read = ready!(read);
    match &read {
      Ok(()) if buffer.filled().len() > had => self.state.record_bytes(),
      Ok(()) | Err(_) => self.state.record_end(),
    }
    Poll::Ready(read)
  }
}

impl AsyncWrite for ObservedStream {
  fn poll_write(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    Pin::new(&mut self.stream).poll_write(context, bytes)
  }

  fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_flush(context)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_shutdown(context)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    context: &mut Context<'_>,
    bytes: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
  }

  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }
}
