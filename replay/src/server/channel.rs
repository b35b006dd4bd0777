//! The socket of a connection to a server.

use {
  super::condition_cell::ConditionCell,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  socket2::SockRef,
  std::{
    future::pending,
    io,
    sync::{Arc, Mutex, PoisonError},
  },
  tokio::{
    net::TcpStream,
    time::{Duration, sleep},
  },
};

/// Bytes of further requests that are read while one is answered.
const MAX_AHEAD_BYTES: usize = 1 << 16;
/// Longest pause between the writes of a part.
const MAX_PAUSE_MS: u64 = 4;

/// Whether a server's process lives: of one that was killed, no byte is sent.
#[derive(Debug, Default)]
pub(super) struct Gate(Mutex<bool>);

impl Gate {
  /// Closes the gate. Returns whether it was open.
  pub(super) fn close(&self) -> bool {
    let mut is_closed = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    !std::mem::replace(&mut *is_closed, true)
  }

  pub(super) fn is_open(&self) -> bool {
    !*self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn write(&self, socket: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let is_closed = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    if *is_closed {
      return Err(io::ErrorKind::ConnectionAborted.into());
    }
    socket.try_write(bytes)
  }
}

/// The socket of a connection. When it is dropped, the kernel closes it as that of a process that ends: with a reset if bytes are unread.
#[derive(Debug)]
pub(super) struct Channel {
  socket: TcpStream,
  gate: Arc<Gate>,
  conditions: Arc<ConditionCell>,
}

impl Channel {
  /// Fails if the options of the socket can't be set.
  pub(super) fn new(
    socket: TcpStream,
    gate: Arc<Gate>,
    conditions: Arc<ConditionCell>,
  ) -> io::Result<Self> {
    socket.set_nodelay(true)?;
    Ok(Self {
      conditions,
      gate,
      socket,
    })
  }

  /// Reads what has come. Returns 0 at the end.
  pub(super) async fn read(&self, into: &mut Vec<u8>) -> io::Result<usize> {
    loop {
      self.conditions.wait_until_heard().await;
      self.socket.readable().await?;
      if self.conditions.is_silent() {
        continue;
      }
      match self.socket.try_read_buf(into) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        result => return result,
      }
    }
  }

  /// Waits until the peer closes the connection; keeps what it sends until then.
  pub(super) async fn wait_for_end(&self, ahead: &mut Vec<u8>) {
    loop {
      if ahead.len() > MAX_AHEAD_BYTES {
        return pending().await;
      }
      if !matches!(self.read(ahead).await, Ok(1..)) {
        return;
      }
    }
  }

  /// Writes all bytes. Fails if the connection is broken or the server was killed.
  pub(super) async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
      self.conditions.wait_until_heard().await;
      self.socket.writable().await?;
      if self.conditions.is_silent() {
        continue;
      }
      match self.gate.write(&self.socket, bytes) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
        Ok(written) => bytes = &bytes[written..],
      }
    }
    Ok(())
  }

  /// Writes all bytes in one to three writes, at times with pauses between them.
  pub(super) async fn write_split(&self, bytes: &[u8], random: &mut ChaCha8Rng) -> io::Result<()> {
    let mut rest = bytes;
    for _ in 0..random.random_range(0..3_u32) {
      if rest.len() < 2 {
        break;
      }
      let (part, later) = rest.split_at(random.random_range(1..rest.len()));
      self.write(part).await?;
      if random.random_range(0..2_u32) == 0 {
        let pause_ms = random.random_range(1..=MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
      }
      rest = later;
    }
    self.write(rest).await
  }

  /// Makes the close a reset.
  pub(super) fn reset_when_closed(&self) {
    reset_when_closed(&self.socket);
  }
}

/// Makes the close of a socket a reset.
pub(super) fn reset_when_closed(socket: &TcpStream) {
  // It fails only for a socket that is gone.
  let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}
