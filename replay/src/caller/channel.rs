//! A connection of a caller to a box, of which all that is read is recorded.

use {
  judge::{RawConnectionRecorder, RawRecorder, ReadEnd},
  std::{io, net::SocketAddr, time::Duration},
  tokio::{
    net::{TcpSocket, TcpStream, tcp::ReadHalf, tcp::WriteHalf},
    time::timeout,
  },
};

/// Receive buffer of a caller that reads slowly.
pub(super) const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4_096;
const READ_BYTES: usize = 16_384;

/// A connection of a caller to a box.
pub(super) struct Channel {
  stream: TcpStream,
  pub(super) recorder: RawConnectionRecorder,
  pub(super) box_index: usize,
}

impl Channel {
  /// Connects to a box. Fails if it can't be reached in time.
  pub(super) async fn open(
    (box_index, address): (usize, SocketAddr),
    raw: &RawRecorder,
    reads_slowly: bool,
    time: Duration,
  ) -> io::Result<Self> {
    let socket = TcpSocket::new_v4()?;
    if reads_slowly {
      socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)?;
    }
    let connecting = timeout(time, socket.connect(address));
    let stream = connecting.await.map_err(io::Error::from)??;
    stream.set_nodelay(true)?;
    Ok(Self {
      box_index,
      recorder: raw.open_connection(),
      stream,
    })
  }

  /// Whether the idle connection is still open and nothing has come on it. What has come is recorded.
  pub(super) fn is_idle(&self) -> bool {
    let mut buffer = [0; READ_BYTES];
    match self.stream.try_read(&mut buffer) {
      Ok(0) => self.recorder.record_end(ReadEnd::Closed),
      Ok(bytes) => self.recorder.record_read(&buffer[..bytes]),
      Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
      Err(_) => self.recorder.record_end(ReadEnd::Reset),
    }
    false
  }

  /// The socket's two directions.
  pub(super) fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>) {
    self.stream.split()
  }

  /// The addresses of the box's end and the caller's end.
  pub(super) fn addresses(&self) -> io::Result<(SocketAddr, SocketAddr)> {
    Ok((self.stream.peer_addr()?, self.stream.local_addr()?))
  }
}
