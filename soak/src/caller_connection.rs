//! The connection of a caller to a box.

use {
  super::recorded_stream::RecordedStream,
  bytes::Bytes,
  http::{Request, Response, Uri},
  http_body_util::Full,
  hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
  },
  hyper_util::rt::TokioIo,
  judge::{RawConnectionRecorder, RawRecorder},
  std::{io, net::SocketAddr, time::Duration},
  tokio::{net::TcpStream, time::timeout},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection of a caller to a box, which is opened for the first request, and again once it has ended.
pub(crate) struct CallerConnection {
  raw: RawRecorder,
  open: Option<OpenConnection>,
}

struct OpenConnection {
  recorder: RawConnectionRecorder,
  sender: SendRequest<Full<Bytes>>,
}

impl CallerConnection {
  pub(crate) fn new(raw: &RawRecorder) -> Self {
    Self {
      open: None,
      raw: raw.clone(),
    }
  }

  /// Sends a request and returns the response head, with the body unread. `raw_request` is its index in the raw records.
  pub(crate) async fn send(
    &mut self,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    raw_request: usize,
  ) -> io::Result<Response<Incoming>> {
    let mut open = match self.take_ready().await {
      Some(open) => open,
      None => self.connect(address).await?,
    };
    open.recorder.record_request(raw_request);
    let sent = open.sender.send_request(origin_form(request));
    let response = sent.await.map_err(io::Error::other)?;
    self.open = Some(open);
    Ok(response)
  }

  /// The open connection, unless it has ended.
  async fn take_ready(&mut self) -> Option<OpenConnection> {
    let mut open = self.open.take()?;
    open.sender.ready().await.ok()?;
    Some(open)
  }

  async fn connect(&self, address: SocketAddr) -> io::Result<OpenConnection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let inner = connecting.await.map_err(io::Error::other)??;
    inner.set_nodelay(true)?;
    let recorder = self.raw.open_connection();
    let stream = RecordedStream {
      inner,
      recorder: recorder.clone(),
    };
    let (sender, connection) = handshake(TokioIo::new(stream))
      .await
      .map_err(io::Error::other)?;
    // Its error is that of the response.
    tokio::spawn(connection);
    Ok(OpenConnection { recorder, sender })
  }
}

/// A request that names its path only, as servers expect it.
fn origin_form(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
  if let Some(path) = request.uri().path_and_query().cloned() {
    *request.uri_mut() = Uri::from(path);
  }
  request
}
