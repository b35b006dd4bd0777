//! One connection to an endpoint. Dropping it closes it at once, and with it the work asked for.

use {
  crate::ids::Name,
  bytes::Bytes,
  http::{Request, Response},
  http_body_util::Full,
  hyper::{body::Incoming, client::conn::http1},
  hyper_util::rt::TokioIo,
  socket2::{SockRef, TcpKeepalive},
  std::{fmt::Display, io, net::SocketAddr, time::Duration},
  tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
  },
};

/// An endpoint in reach accepts within milliseconds; one packet lost costs a second and is worth another
/// endpoint. A box that has used up its share of a core stands still for up to 100 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Bytes that are not acknowledged for this long mean that the path is gone.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before probes of a silent connection, and between them.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Reads are small: an event at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Why nothing came back.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum SendError {
  /// The endpoint does not answer at all: it, or the path to it, is gone.
  #[error("no connection in time")]
  Unreachable,
  /// The endpoint never saw the request.
  #[error("not sent: {0}")]
  Unsent(String),
  /// It may have seen it.
  #[error("broke: {0}")]
  Broke(String),
}

/// One connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
  /// The incarnation it was opened for.
  pub(crate) endpoint: Name,
  /// When it must no longer be used, on the box's clock.
  pub(crate) good_until_ms: u64,
  sender: http1::SendRequest<Full<Bytes>>,
  task: AbortHandle,
}

impl Drop for Connection {
  fn drop(&mut self) {
    self.task.abort();
  }
}

impl Connection {
  /// Opens a connection.
  pub(crate) async fn open(endpoint: Name, address: SocketAddr) -> Result<Self, SendError> {
    let unsent = |error: &dyn Display| SendError::Unsent(error.to_string());
    let stream = timeout(CONNECT_LIMIT, TcpStream::connect(address))
      .await
      .map_err(|_| SendError::Unreachable)?
      .map_err(|error| unsent(&error))?;
    set_socket_options(&stream).map_err(|error| unsent(&error))?;
    let (sender, connection) = http1::Builder::new()
      .max_buf_size(BUFFER_BYTES)
      .handshake(TokioIo::new(stream))
      .await
      .map_err(|error| unsent(&error))?;
    let task = spawn_local(async move {
      if let Err(error) = connection.await {
        log::debug!("connection to {address} ended: {error}");
      }
    });
    Ok(Self {
      endpoint,
      good_until_ms: 0,
      sender,
      task: task.abort_handle(),
    })
  }

  /// Sends a request and waits for the answer's head.
  pub(crate) async fn send(
    &mut self,
    request: Request<Full<Bytes>>,
  ) -> Result<Response<Incoming>, SendError> {
    self
      .sender
      .ready()
      .await
      .map_err(|error| SendError::Unsent(error.to_string()))?;
    self
      .sender
      .try_send_request(request)
      .await
      .map_err(|mut refused| {
        let unsent = refused.take_message().is_some();
        let text = refused.error().to_string();
        if unsent {
          SendError::Unsent(text)
        } else {
          SendError::Broke(text)
        }
      })
  }

  /// Whether a further request may be sent now.
  pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
    now_ms < self.good_until_ms && self.sender.is_ready()
  }
}

/// Bounds the silence of a connection whose path is cut.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
  stream.set_nodelay(true)?;
  let socket = SockRef::from(stream);
  socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
  let probes = TcpKeepalive::new()
    .with_time(PROBE_PAUSE)
    .with_interval(PROBE_PAUSE);
  socket.set_tcp_keepalive(&probes)
}
