//! The administration duty.

use {
  super::{desk::Desk, router::router},
  crate::listener::{ListenerBounds, serve},
  std::{sync::Arc, time::Duration},
};

const CONNECTIONS: usize = 64;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// What the administration duty starts with.
pub(crate) struct AdminSetup {
  pub(crate) desk: Desk,
  pub(crate) listener: std::net::TcpListener,
}

/// Runs the administration duty until the process ends.
pub(crate) async fn run(setup: AdminSetup) {
  let bounds = ListenerBounds {
    connections: CONNECTIONS,
    header_timeout: HEADER_TIMEOUT,
  };
  serve(setup.listener, router(Arc::new(setup.desk)), bounds).await;
}
