//! The ingress worker: serves callers and passes outcomes from `decide` to their handlers.

use {
  super::{router::router, state::IngressState},
  crate::{
    decide::RequestOutcome,
    ids::RequestId,
    listener::{ListenerBounds, serve},
    ring::Receiver,
  },
  std::{sync::Arc, time::Duration},
  tokio::sync::Notify,
};

/// Configuration and channels of the ingress worker.
pub(crate) struct IngressSetup {
  pub(crate) state: Arc<IngressState>,
  pub(crate) listener: std::net::TcpListener,
  pub(crate) outcomes: Receiver<(RequestId, RequestOutcome)>,
  pub(crate) notify: Arc<Notify>,
}

/// Runs the ingress worker until the process exits.
pub(crate) async fn run(setup: IngressSetup) {
  let bounds = ListenerBounds {
    connections: setup.state.limits.connections,
    header_timeout: Duration::from_millis(setup.state.limits.header_ms),
  };
  let router = router(setup.state.clone());
  tokio::spawn(serve(setup.listener, router, bounds));
  let mut outcomes = setup.outcomes;
  loop {
    let (request, outcome) = outcomes.next(&setup.notify).await;
    setup.state.finish_pending(request, outcome);
  }
}
