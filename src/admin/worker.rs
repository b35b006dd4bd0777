//! The administration worker.

use {
  super::{router::router, state::AdminState},
  crate::listener::{ListenerBounds, serve},
  std::{sync::Arc, time::Duration},
};

const MAX_CONNECTIONS: usize = 64;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// State and listener of the administration worker.
pub(crate) struct AdminSetup {
  pub(crate) listener: std::net::TcpListener,
  pub(crate) state: AdminState,
}

/// Runs the administration worker until the process exits.
pub(crate) async fn run(setup: AdminSetup) {
  let bounds = ListenerBounds {
    connections: MAX_CONNECTIONS,
    header_timeout: HEADER_TIMEOUT,
  };
  serve(setup.listener, router(Arc::new(setup.state)), bounds).await;
}
