//! A connection to an endpoint, on which the endpoint may also send bytes that belong to no response.

use {
  super::garble::GarbledAnswer,
  socket2::SockRef,
  std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// What an endpoint does on a connection besides its responses.
#[derive(Clone, Default)]
pub(crate) struct Connection(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
  /// Bytes that are sent before the next response.
  before_next: Vec<u8>,
  /// The answer that they were sent with, if it is garbled.
  late: Option<GarbledAnswer>,
  /// Bytes that are sent once all that was written has been sent.
  at_flush: Vec<u8>,
  /// Bytes that are sent before all others.
  at_write: Vec<u8>,
  resets: bool,
  /// Bytes that are sent in place of the response.
  instead: Vec<u8>,
  /// Whether the response itself is not sent.
  is_replaced: bool,
}

impl Connection {
  fn state(&self) -> MutexGuard<'_, State> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// A request has arrived; bytes that wait for its response are sent now. Returns the garbled answer that they belong to.
  pub(crate) fn begin_request(&self) -> Option<GarbledAnswer> {
    let mut state = self.state();
    let mut late = std::mem::take(&mut state.before_next);
    state.at_write.append(&mut late);
    state.is_replaced = false;
    state.late.take()
  }

  /// Sends bytes before the current response.
  pub(crate) fn send_before(&self, bytes: Vec<u8>) {
    self.state().at_write = bytes;
  }

  /// Sends bytes in place of the current response.
  pub(crate) fn send_instead(&self, bytes: Vec<u8>) {
    let mut state = self.state();
    state.instead = bytes;
    state.is_replaced = true;
  }

  /// Sends bytes after the current response, which has ended.
  pub(crate) fn send_after(&self, bytes: Vec<u8>) {
    self.state().at_flush = bytes;
  }

  /// Sends bytes in the place of the next response, before it.
  pub(crate) fn send_before_next(&self, bytes: Vec<u8>) {
    self.state().before_next = bytes;
  }

  /// Sends a second answer in the place of the next response.
  pub(crate) fn send_late(&self, answer: GarbledAnswer, bytes: Vec<u8>) {
    self.send_before_next(bytes);
    self.state().late = Some(answer);
  }

  /// The connection ends with a reset.
  pub(crate) fn reset(&self) {
    self.state().resets = true;
  }
}

/// The socket of a connection.
pub(crate) struct EndpointSocket {
  connection: Connection,
  stream: TcpStream,
}

impl EndpointSocket {
  pub(crate) fn new(stream: TcpStream, connection: &Connection) -> Self {
    Self {
      connection: connection.clone(),
      stream,
    }
  }

  /// Sends the stray bytes that `select` names.
  fn poll_stray(
    &mut self,
    context: &mut Context,
    select: fn(&mut State) -> &mut Vec<u8>,
  ) -> Poll<io::Result<()>> {
    let mut state = self.connection.state();
    let bytes = select(&mut state);
    while !bytes.is_empty() {
      let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
      bytes.drain(..count);
    }
    Poll::Ready(Ok(()))
  }
}

impl Drop for EndpointSocket {
  fn drop(&mut self) {
    if self.connection.state().resets {
      // The socket may already be closed.
      let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
  }
}

impl AsyncRead for EndpointSocket {
  fn poll_read(
    mut self: Pin<&mut Self>,
    context: &mut Context,
    buffer: &mut ReadBuf,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_read(context, buffer)
  }
}

impl AsyncWrite for EndpointSocket {
  fn poll_write(
    mut self: Pin<&mut Self>,
    context: &mut Context,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    ready!(self.poll_stray(context, |state| &mut state.at_write))?;
    ready!(self.poll_stray(context, |state| &mut state.instead))?;
    if self.connection.state().is_replaced {
      return Poll::Ready(Ok(bytes.len()));
    }
    Pin::new(&mut self.stream).poll_write(context, bytes)
  }

  fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
    ready!(self.poll_stray(context, |state| &mut state.at_flush))?;
    Pin::new(&mut self.stream).poll_flush(context)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_shutdown(context)
  }
}
