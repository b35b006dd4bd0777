//! The ingress duty: serves callers and pairs endings with them.

use {
  super::{desk::Desk, router::router},
  crate::{
    decide::RequestOutcome,
    ids::RequestId,
    listener::{ListenerBounds, serve},
    ring::Receiver,
  },
  std::{sync::Arc, time::Duration},
  tokio::sync::Notify,
};

/// What the ingress duty starts with.
pub(crate) struct IngressSetup {
  pub(crate) desk: Arc<Desk>,
  pub(crate) listener: std::net::TcpListener,
  pub(crate) endings: Receiver<(RequestId, RequestOutcome)>,
  pub(crate) notify: Arc<Notify>,
}

/// Runs the ingress duty until the process ends.
pub(crate) async fn run(setup: IngressSetup) {
  let bounds = ListenerBounds {
    connections: setup.desk.limits.connections,
    header_timeout: Duration::from_millis(setup.desk.limits.header_ms),
  };
  let router = router(setup.desk.clone());
  tokio::spawn(serve(setup.listener, router, bounds));
  let mut endings = setup.endings;
  loop {
    let (request, ending) = endings.next(&setup.notify).await;
    setup.desk.end(request, ending);
  }
}
