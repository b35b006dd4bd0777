//! A connection to a server.

use {
  super::{
    channel::{Channel, reset_when_closed},
    exchange::{Exchange, Next, Sent},
    request::{BadRequest, Request},
    server_state::{ConnectionPlace, ServerState},
  },
  std::{io, sync::Arc},
  tokio::{
    net::TcpStream,
    time::{Duration, sleep, timeout},
  },
};

/// Serves a connection until it ends. One above the server's limit is reset.
pub(super) async fn serve(server: Arc<ServerState>, socket: TcpStream) {
  let Some(place) = server.count_connection() else {
    reset_when_closed(&socket);
    return;
  };
  let handshake_ms = server.spec.service.handshake_ms;
  sleep(Duration::from_secs_f64(handshake_ms / 1e3)).await;
  let channel = Channel::new(socket, server.gate.clone(), server.conditions.clone());
  let Ok(channel) = channel else {
    // The peer is gone.
    return;
  };
  let connection = Connection {
    _place: place,
    buffer: Vec::new(),
    channel,
    late: Vec::new(),
    server,
  };
  connection.serve().await;
}

/// A connection to a server.
struct Connection {
  server: Arc<ServerState>,
  channel: Channel,
  /// Bytes that were read and belong to no request yet.
  buffer: Vec<u8>,
  /// Bytes to be sent in the place of the next answer.
  late: Vec<u8>,
  _place: ConnectionPlace,
}

impl Connection {
  /// Serves its requests. An error ends the connection, and so does its peer.
  async fn serve(mut self) {
    loop {
      match self.serve_next().await {
        Ok(Next::KeepAlive) => {}
        Ok(Next::Reset) => {
          self.channel.reset_when_closed();
          return;
        }
        Ok(Next::Close) | Err(_) => return,
      }
    }
  }

  async fn serve_next(&mut self) -> io::Result<Next> {
    let Some(request) = self.take_request().await? else {
      return Ok(Next::Close);
    };
    let late = std::mem::take(&mut self.late);
    self.channel.write(&late).await?;
    let exchange = Exchange {
      channel: &self.channel,
      random: self.server.next_draws(),
      request: &request,
      server: &self.server,
      slowness: 1.0,
    };
    let sent = tokio::select! {
      biased;
      sent = exchange.run() => sent?,
      () = self.channel.wait_for_end(&mut self.buffer) => Sent::then(Next::Close),
    };
    self.late = sent.late;
    Ok(sent.next)
  }

  /// The next request. `None` if the connection is idle for too long, or its peer closes it.
  async fn take_request(&mut self) -> io::Result<Option<Request>> {
    loop {
      match Request::parse(&self.buffer) {
        Ok(Some((request, length))) => {
          self.buffer.drain(..length);
          return Ok(Some(request));
        }
        Ok(None) => {}
        Err(BadRequest) => return Err(io::ErrorKind::InvalidData.into()),
      }
      let idle = Duration::from_secs(self.server.idle_s);
      match timeout(idle, self.channel.read(&mut self.buffer)).await {
        Err(_) | Ok(Ok(0)) => return Ok(None),
        Ok(Ok(_)) => {}
        Ok(Err(error)) => return Err(error),
      }
    }
  }
}
