//! The box's own pages: whether it is ready, and its figures.

use {
  super::gateway::Gateway,
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::{body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::rt::TokioIo,
  std::{convert::Infallible, rc::Rc, time::Duration},
  tokio::net::TcpListener,
};

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A page of the box's own.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OwnPage {
  /// 200 while the balancer may send callers.
  Ready,
  /// Counters and histograms.
  Metrics,
}

/// Serves one page until the process ends.
pub(crate) async fn serve_page(gateway: Rc<Gateway>, listener: TcpListener, page: OwnPage) {
  loop {
    let stream = match listener.accept().await {
      Ok((stream, _)) => stream,
      Err(error) => {
        log::warn!("E601 connection not accepted: {error}");
        tokio::time::sleep(ACCEPT_PAUSE).await;
        continue;
      }
    };
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
      let service = service_fn(move |_: Request<Incoming>| {
        let response = answer(&gateway, page);
        async move { Ok::<_, Infallible>(response) }
      });
      if let Err(error) = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await
      {
        log::debug!("connection to {page:?} ended: {error}");
      }
    });
  }
}

fn answer(gateway: &Gateway, page: OwnPage) -> Response<Full<Bytes>> {
  match page {
    OwnPage::Metrics => Response::new(Full::new(gateway.counters.text().into())),
    OwnPage::Ready => {
      let mut response = Response::new(Full::default());
      if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
      }
      response
    }
  }
}
