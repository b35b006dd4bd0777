//! The box's status pages, each on its own port: readiness and metrics.

use {
  crate::gateway::{
    connections::serve_port, limits::limit_metrics, permits::permit_metrics,
    prefill_queue::prefill_metrics, resumption::stream_metrics, state::Gateway,
  },
  bytes::Bytes,
  http::{Response, StatusCode},
  http_body_util::Full,
  std::{future::ready, rc::Rc},
  tokio::net::TcpListener,
};

/// A status page.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StatusPage {
  /// Status 200 while the load balancer may send callers, otherwise 503.
  Ready,
  /// Metrics as text.
  Metrics,
}

impl StatusPage {
  /// The port's name, for logs.
  fn port(self) -> &'static str {
    match self {
      Self::Metrics => "metrics",
      Self::Ready => "ready",
    }
  }
}

/// Serves one page until the process exits.
pub(crate) async fn serve_page(gateway: Rc<Gateway>, listener: TcpListener, page: StatusPage) {
  let handler = move |_| ready(render(&gateway, page));
  serve_port(listener, page.port(), handler).await;
}

fn render(gateway: &Gateway, page: StatusPage) -> Response<Full<Bytes>> {
  match page {
    StatusPage::Metrics => {
      let mut text = gateway.counters.text();
      text.push_str(&gateway.held_memory.metrics());
      text.push_str(&limit_metrics(gateway));
      text.push_str(&gateway.quarantine.metrics());
      text.push_str(&gateway.endpoint_metrics());
      text.push_str(&gateway.reachability_metrics());
      text.push_str(&gateway.return_metrics());
      text.push_str(&permit_metrics(gateway));
      text.push_str(&prefill_metrics(gateway));
      text.push_str(&stream_metrics(gateway));
      Response::new(Full::new(text.into()))
    }
    StatusPage::Ready => {
      let mut response = Response::new(Full::default());
      if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
      }
      response
    }
  }
}
