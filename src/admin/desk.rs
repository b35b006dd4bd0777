//! The administration duty.

use {
  super::router::router,
  crate::{
    decide::{Document, Event, Status},
    ids::Name,
    listener::{ListenerBounds, serve},
    observe::Timeline,
    ring::Sender,
    store::KeyValue,
  },
  arc_swap::ArcSwap,
  std::{sync::Arc, time::Duration},
};

const CONNECTIONS: usize = 64;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// What the administration duty starts with.
pub(crate) struct AdminSetup {
  pub(crate) desk: Desk,
  pub(crate) listener: std::net::TcpListener,
}

/// What the handlers share.
pub(crate) struct Desk {
  pub(crate) keys_sha256: Vec<Name>,
  pub(crate) endpoints: Vec<Name>,
  pub(crate) service: KeyValue,
  pub(crate) status: Arc<ArcSwap<Status>>,
  pub(crate) timeline: Arc<Timeline>,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) to_platform: Sender<Vec<Document>>,
}

/// Runs the administration duty until the process ends.
pub(crate) async fn run(setup: AdminSetup) {
  let bounds = ListenerBounds {
    connections: CONNECTIONS,
    header_timeout: HEADER_TIMEOUT,
  };
  serve(setup.listener, router(Arc::new(setup.desk)), bounds).await;
}
