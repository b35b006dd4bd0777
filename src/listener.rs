//! Accepting HTTP connections with bounds on their number and on the time for headers.

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

/// Connections that may wait to be accepted: callers come in bursts when a box has died.
const BACKLOG: i32 = 4_096;
/// Pause after a connection could not be accepted, for want of descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerBounds {
  pub(crate) connections: usize,
  pub(crate) header_timeout: Duration,
}

/// Binds an address; done before the process says that it has started.
pub(crate) fn bind(purpose: &'static str, address: SocketAddr) -> Result<std::net::TcpListener> {
  let error = |source| Error::Listen {
    address: address.to_string(),
    purpose,
    source,
  };
  let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).map_err(error)?;
  // A box is replaced on the same address at once.
  socket.set_reuse_address(true).map_err(error)?;
  socket.bind(&address.into()).map_err(error)?;
  socket.listen(BACKLOG).map_err(error)?;
  socket.set_nonblocking(true).map_err(error)?;
  Ok(socket.into())
}

/// Serves a router on a bound listener until the process ends.
pub(crate) async fn serve(listener: std::net::TcpListener, router: Router, bounds: ListenerBounds) {
  let listener = match TcpListener::from_std(listener) {
    Ok(listener) => listener,
    Err(error) => {
      log::error!("listening: {error}");
      return;
    }
  };
  let places = Arc::new(Semaphore::new(bounds.connections));
  loop {
    let Ok(place) = places.clone().acquire_owned().await else {
      return;
    };
    let stream = match listener.accept().await {
      Ok((stream, _)) => stream,
      Err(error) => {
        log::warn!("accepting a connection: {error}");
        tokio::time::sleep(ACCEPT_PAUSE).await;
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
      drop(place);
    });
  }
}
