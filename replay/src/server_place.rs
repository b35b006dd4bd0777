//! A place of a server: an address at which one server after another runs.

use {
  super::server::Server,
  stand_ins::{Link, Target},
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// First port of the links to servers, on the host of each box.
pub(crate) const SERVER_PORTS: u16 = 10_000;

/// A place of a server: an address at which one server after another runs.
pub(crate) struct ServerPlace {
  pub(crate) index: usize,
  pub(crate) service: Arc<str>,
  pub(crate) zone: Arc<str>,
  /// The target of its links: the listener of the current server.
  pub(crate) target: Target,
  /// The link of each box to it, by the index of the box.
  pub(crate) links: Vec<Link>,
  /// `None` while no server runs here.
  server: Mutex<Option<Arc<Server>>>,
}

impl ServerPlace {
  pub(crate) fn new(
    index: usize,
    service: Arc<str>,
    zone: Arc<str>,
    target: Target,
    links: Vec<Link>,
  ) -> Self {
    Self {
      index,
      links,
      server: Mutex::default(),
      service,
      target,
      zone,
    }
  }

  /// The port under which every box reaches it.
  pub(crate) fn port(&self) -> u16 {
    server_port(self.index)
  }

  /// The current server.
  pub(crate) fn server(&self) -> Option<Arc<Server>> {
    self.lock().clone()
  }

  /// Puts a server in its place. Returns the former one.
  pub(crate) fn set_server(&self, server: Option<Arc<Server>>) -> Option<Arc<Server>> {
    std::mem::replace(&mut *self.lock(), server)
  }

  fn lock(&self) -> MutexGuard<'_, Option<Arc<Server>>> {
    // A change is one assignment.
    self.server.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// The port under which every box reaches the server at a place.
pub(crate) fn server_port(index: usize) -> u16 {
  SERVER_PORTS + u16::try_from(index).unwrap_or(u16::MAX - SERVER_PORTS)
}
