//! Accepting connections on the box's ports, and serving those that only boxes and tools use.

use {
  crate::listener::ACCEPT_RETRY_DELAY,
  bytes::Bytes,
  http::{Request, Response},
  http_body_util::Full,
  hyper::{body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::rt::TokioIo,
  std::convert::Infallible,
  tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
  },
};

/// The next connection. One that can't be accepted is logged, and the listener is asked again after a pause.
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

/// Answers every request on a port with `answer` until the process ends; `port` names it in logs.
///
/// Sets no bounds on connections or time: callers don't reach these ports.
pub(crate) async fn serve_port<A: Future<Output = Response<Full<Bytes>>> + 'static>(
  listener: TcpListener,
  port: &'static str,
  answer: impl Fn(Request<Incoming>) -> A + Clone + 'static,
) {
  loop {
    let stream = accept(&listener).await;
    let answer = answer.clone();
    let service = service_fn(move |request| {
      let response = answer(request);
      async move { Ok::<_, Infallible>(response.await) }
    });
    spawn_local(async move {
      let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
      if let Err(error) = connection.await {
        log::debug!("connection to port {port} ended: {error}");
      }
    });
  }
}
