//! Accepts connections on the box's ports, and serves the internal ports for other boxes and tools.

use {
  super::connection::set_socket_options,
  crate::listener::ACCEPT_RETRY_DELAY,
  bytes::Bytes,
  http::{Request, Response},
  hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
  },
  hyper_util::rt::TokioIo,
  std::{convert::Infallible, error::Error},
  tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
  },
};

/// Accepts the next connection. Logs a failure and retries after a delay.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
  loop {
    match listener.accept().await {
      Ok((stream, _)) => return stream,
      Err(error) => {
        log::warn!("E601 connection not accepted: {error}");
        sleep(ACCEPT_RETRY_DELAY).await;
      }
    }
  }
}

/// Handles every request on an internal port until the process exits; `port` is its name in logs.
///
/// Sets no limits on connections or timeouts: callers can't reach these ports.
pub(crate) async fn serve_port<F, B>(
  listener: TcpListener,
  port: &'static str,
  handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
  F: Future<Output = Response<B>> + 'static,
  B: Body<Data = Bytes, Error: Error + Send + Sync> + 'static,
{
  loop {
    let stream = accept(&listener).await;
    if let Err(error) = set_socket_options(&stream) {
      log::debug!("socket options of a connection to port {port} not set: {error}");
      continue;
    }
    let handler = handler.clone();
    let service = service_fn(move |request| {
      let response = handler(request);
      async move { Ok::<_, Infallible>(response.await) }
    });
    spawn_local(async move {
      let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
      if let Err(error) = connection.await {
        log::debug!("connection to port {port} failed: {error}");
      }
    });
  }
}
