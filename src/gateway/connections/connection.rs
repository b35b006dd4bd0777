//! One connection to an endpoint. Dropping it closes it at once, which cancels the request on it.

use {
  super::{
    addressed_request::AddressedRequest,
    observed_stream::{ObservedStream, clock_ms},
    recent_ids::RecentIds,
  },
  crate::{
    gateway::decisions::{ConnectionState, ObservedProcess, WatchedProcess},
    ids::Name,
  },
  bytes::Bytes,
  http::Response,
  http_body_util::Full,
  hyper::{body::Incoming, client::conn::http1},
  hyper_util::rt::TokioIo,
  socket2::{SockRef, TcpKeepalive},
  std::{
    cell::Cell,
    error::Error,
    fmt::Display,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
  },
  tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
  },
};

/// Less than the retransmission of a lost SYN, so that another endpoint is tried; more than the 100 ms for which a box may be
/// throttled at its CPU quota.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// A connection is closed when sent data is not acknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of TCP keep-alive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Buffer of a connection; reads are as small as one event.
const BUFFER_BYTES: usize = 16 * 1024;

/// Why a request got no response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum SendError {
  /// No connection could be established within the timeout.
  #[error("connect timed out")]
  Unreachable,
  /// The request was not sent.
  #[error("not sent: {0}")]
  Unsent(String),
  /// The connection was lost after the request may have been sent.
  #[error("connection lost: {0}")]
  ConnectionLost(String),
}

/// The boxes that hold the record of a stream which is sent on a connection.
#[derive(Clone, Debug)]
pub(crate) struct SentHold {
  /// Distinguishes the sends of a stream.
  pub(crate) send: u64,
  pub(crate) holders: Vec<SocketAddr>,
  /// The process, watched by this box since no other one does.
  pub(crate) watched: Option<WatchedProcess>,
}

/// How a connection was closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosedConnection {
  pub(crate) at: Instant,
  /// How long it was open.
  pub(crate) age: Duration,
  pub(crate) was_reset: bool,
}

/// One connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
  /// The endpoint's id.
  pub(crate) endpoint: Name,
  /// The address that it was opened to.
  pub(super) address: SocketAddr,
  /// The start that the endpoint has confirmed on this connection, as Unix milliseconds. The connection outlives no restart.
  pub(crate) confirmed_start_ms: Option<u64>,
  pub(crate) state: Rc<ConnectionState>,
  /// Another connection to the same process, which shows whether the process outlives this one.
  pub(crate) beside: Option<Box<Connection>>,
  /// Who holds the record of the stream that was sent on it last.
  pub(crate) hold: Option<SentHold>,
  /// The process of an endpoint that it leads to.
  pub(crate) process: Option<Rc<ObservedProcess>>,
  /// When it must no longer be reused, on the box's clock.
  pub(crate) reusable_until_ms: u64,
  recent_ids: RecentIds,
  /// Calls that it has carried.
  calls: u64,
  closed: Rc<Cell<Option<ClosedConnection>>>,
  sender: http1::SendRequest<Full<Bytes>>,
  task: AbortHandle,
}

impl Drop for Connection {
  fn drop(&mut self) {
    self.task.abort();
  }
}

impl Connection {
  /// Connects; `receive_buffer_bytes` bounds what the kernel buffers of a response that is not read. `on_stray_bytes` is called if
  /// bytes come while no request waits for a response, which closes the connection.
  pub(crate) async fn open(
    endpoint: Name,
    address: SocketAddr,
    receive_buffer_bytes: Option<usize>,
    on_stray_bytes: impl FnOnce() + 'static,
  ) -> Result<Self, SendError> {
    let unsent = |error: &dyn Display| SendError::Unsent(error.to_string());
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
      .await
      .map_err(|_| SendError::Unreachable)?
      .map_err(|error| unsent(&error))?;
    set_socket_options(&stream).map_err(|error| unsent(&error))?;
    if let Some(bytes) = receive_buffer_bytes {
      let socket = SockRef::from(&stream);
      socket
        .set_recv_buffer_size(bytes)
        .map_err(|error| unsent(&error))?;
    }
    let state = Rc::new(ConnectionState::new(clock_ms));
    let stream = ObservedStream::new(stream, &state);
    let (sender, connection) = http1::Builder::new()
      .max_buf_size(BUFFER_BYTES)
      .handshake(TokioIo::new(stream))
      .await
      .map_err(|error| unsent(&error))?;
    let opened_at = Instant::now();
    let closed = Rc::<Cell<_>>::default();
    let closing = closed.clone();
    let ended_state = state.clone();
    let task = spawn_local(async move {
      let result = connection.await;
      ended_state.record_end();
      if let Err(error) = &result {
        log::debug!("connection to {address} failed: {error}");
        if is_unexpected_message(error) {
          on_stray_bytes();
        }
      }
      let at = Instant::now();
      let was_reset = result.is_err_and(|error| is_reset(&error));
      closing.set(Some(ClosedConnection {
        age: at - opened_at,
        at,
        was_reset,
      }));
    });
    Ok(Self {
      address,
      beside: None,
      calls: 0,
      closed,
      confirmed_start_ms: None,
      endpoint,
      hold: None,
      process: None,
      recent_ids: RecentIds::default(),
      reusable_until_ms: 0,
      sender,
      state,
      task: task.abort_handle(),
    })
  }

  /// Sends a request and waits for the response's head. Fails with [`SendError::Unsent`] if the request is for another peer.
  pub(crate) async fn send(
    &mut self,
    request: AddressedRequest,
  ) -> Result<Response<Incoming>, SendError> {
    if *request.peer() != self.endpoint {
      return Err(SendError::Unsent(format!(
        "request for {} on a connection to {}",
        request.peer(),
        self.endpoint
      )));
    }
    self
      .sender
      .ready()
      .await
      .map_err(|error| SendError::Unsent(error.to_string()))?;
    self.calls += 1;
    self
      .sender
      .try_send_request(request.into_request())
      .await
      .map_err(|mut error| {
        let unsent = error.take_message().is_some();
        let text = error.error().to_string();
        if unsent {
          SendError::Unsent(text)
        } else {
          SendError::ConnectionLost(text)
        }
      })
  }

  /// The number of calls that it has carried.
  pub(crate) fn calls(&self) -> u64 {
    self.calls
  }

  /// Records the id of a request that is about to be sent.
  pub(crate) fn record_id(&mut self, id: &Name) {
    self.recent_ids.add(id.clone());
  }

  /// Whether it may have carried a request before: a late answer to that would be taken for the one to the next. A request
  /// without an id is indistinguishable from any other.
  pub(crate) fn may_have_carried(&self, id: Option<&str>) -> bool {
    id.is_none_or(|id| self.recent_ids.contains(id))
  }

  /// How it was closed; `None` while it is open.
  pub(crate) fn closed(&self) -> Option<ClosedConnection> {
    self.closed.get()
  }

  /// Whether another request may be sent now.
  pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
    now_ms < self.reusable_until_ms && self.sender.is_ready()
  }
}

/// Whether bytes came while no request waited for a response. The library names no such error, so the others are ruled out.
fn is_unexpected_message(error: &hyper::Error) -> bool {
  let is_other = error.is_parse()
    || error.is_closed()
    || error.is_canceled()
    || error.is_incomplete_message()
    || error.is_timeout()
    || error.is_user()
    || error.source().is_some();
  !is_other
}

fn is_reset(error: &hyper::Error) -> bool {
  let source = error.source().and_then(|source| source.downcast_ref());
  source.is_some_and(|source: &io::Error| source.kind() == io::ErrorKind::ConnectionReset)
}

/// Bounds what the kernel buffers for a peer that does not read.
pub(crate) fn set_send_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
  SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Sets how long sent data may stay unacknowledged, or unsent because the peer does not read, until the connection is closed.
pub(crate) fn set_user_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
  SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}

/// Sets the socket options that detect an unresponsive peer.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
  stream.set_nodelay(true)?;
  let socket = SockRef::from(stream);
  socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
  let keepalive = TcpKeepalive::new()
    .with_time(KEEPALIVE_INTERVAL)
    .with_interval(KEEPALIVE_INTERVAL);
  socket.set_tcp_keepalive(&keepalive)
}
