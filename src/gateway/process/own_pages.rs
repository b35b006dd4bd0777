//! The box's own pages, each on a port of its own: whether it is ready, and its figures.

use {
  crate::gateway::{
    connections::serve_port, limits::limit_metrics, permits::permit_metrics, state::Gateway,
  },
  bytes::Bytes,
  http::{Response, StatusCode},
  http_body_util::Full,
  std::{future::ready, rc::Rc},
  tokio::net::TcpListener,
};

/// A page of the box's own.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OwnPage {
  /// 200 while the balancer may send callers.
  Ready,
  /// Counters and histograms.
  Metrics,
}

impl OwnPage {
  /// Its port's name, for logs.
  fn port(self) -> &'static str {
    match self {
      Self::Metrics => "metrics",
      Self::Ready => "ready",
    }
  }
}

/// Serves one page until the process ends.
pub(crate) async fn serve_page(gateway: Rc<Gateway>, listener: TcpListener, page: OwnPage) {
  let answer = move |_| ready(page_answer(&gateway, page));
  serve_port(listener, page.port(), answer).await;
}

fn page_answer(gateway: &Gateway, page: OwnPage) -> Response<Full<Bytes>> {
  match page {
    OwnPage::Metrics => {
      let mut text = gateway.counters.text();
      text.push_str(&limit_metrics(gateway));
      text.push_str(&gateway.quarantine.metrics());
      text.push_str(&gateway.endpoint_metrics());
      text.push_str(&permit_metrics(gateway));
      Response::new(Full::new(text.into()))
    }
    OwnPage::Ready => {
      let mut response = Response::new(Full::default());
      if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
      }
      response
    }
  }
}
