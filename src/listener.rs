//! Accepts HTTP connections, with limits on their number and on the time for request headers.

use {
  crate::{Error, Result},
  axum::Router,
  hyper::server::conn::http1,
  hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
  },
  socket2::{Domain, Socket, Type},
  std::{net::SocketAddr, sync::Arc, time::Duration},
  tokio::{net::TcpListener, sync::Semaphore},
};

/// Backlog of connections to accept: callers reconnect in bursts when another box has crashed.
const BACKLOG: i32 = 4_096;
/// Delay after a failed accept, for example when file descriptors run out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerBounds {
  pub(crate) connections: usize,
  pub(crate) header_timeout: Duration,
}

/// Binds and listens on an address.
pub(crate) fn bind(purpose: &'static str, address: SocketAddr) -> Result<std::net::TcpListener> {
  let error = |source| Error::Listen {
    address: address.to_string(),
    purpose,
    source,
  };
  let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).map_err(error)?;
  // A restarted box binds the same address at once.
  socket.set_reuse_address(true).map_err(error)?;
  socket.bind(&address.into()).map_err(error)?;
  socket.listen(BACKLOG).map_err(error)?;
  socket.set_nonblocking(true).map_err(error)?;
  Ok(socket.into())
}

/// Serves a router on a bound listener until the process exits.
pub(crate) async fn serve(listener: std::net::TcpListener, router: Router, bounds: ListenerBounds) {
  let listener = match TcpListener::from_std(listener) {
    Ok(listener) => listener,
    Err(error) => {
      log::error!("listener not started: {error}");
      return;
    }
  };
  let slots = Arc::new(Semaphore::new(bounds.connections));
  loop {
    let Ok(slot) = slots.clone().acquire_owned().await else {
      return;
    };
    let stream = match listener.accept().await {
      Ok((stream, _)) => stream,
      Err(error) => {
        log::warn!("accepting a connection: {error}");
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        continue;
      }
    };
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router.clone());
    tokio::spawn(async move {
      let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .serve_connection(TokioIo::new(stream), service);
      if let Err(error) = connection.await {
        log::debug!("connection ended: {error}");
      }
      drop(slot);
    });
  }
}
