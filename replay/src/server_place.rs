//! A place of a server: an address at which one server after another runs.

use {
  super::server::Server,
  stand_ins::{Link, Target},
  std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicUsize, Ordering},
  },
};

/// First port of the links to servers, on the host of each box.
pub(crate) const SERVER_PORTS: u16 = 10_000;

/// A place of a server: an address at which one server after another runs.
pub(crate) struct ServerPlace {
  pub(crate) index: usize,
  /// The service of its servers; changes when the address is given to another one.
  service: Mutex<Arc<str>>,
  pub(crate) zone: Arc<str>,
  /// The target of its links: the listener of the current server.
  pub(crate) target: Target,
  /// The link of each box to it, by the index of the box.
  pub(crate) links: Vec<Link>,
  /// `None` while no server runs here.
  server: Mutex<Option<Arc<Server>>>,
  /// Number of cuts from the store.
  store_cuts: AtomicUsize,
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
      service: Mutex::new(service),
      store_cuts: AtomicUsize::new(0),
      target,
      zone,
    }
  }

  /// The port under which every box reaches it.
  pub(crate) fn port(&self) -> u16 {
    server_port(self.index)
  }

  /// The service of its servers.
  pub(crate) fn service(&self) -> Arc<str> {
    self
      .service
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .clone()
  }

  /// The next servers are of another service.
  pub(crate) fn give_to(&self, service: Arc<str>) {
    *self.service.lock().unwrap_or_else(PoisonError::into_inner) = service;
  }

  /// Its server no longer reaches the store.
  pub(crate) fn begin_store_cut(&self) {
    self.store_cuts.fetch_add(1, Ordering::Relaxed);
  }

  /// Its server reaches the store again, unless another cut is in force.
  pub(crate) fn end_store_cut(&self) {
    self.store_cuts.fetch_sub(1, Ordering::Relaxed);
  }

  /// Whether its server does not reach the store.
  pub(crate) fn is_cut_from_store(&self) -> bool {
    self.store_cuts.load(Ordering::Relaxed) > 0
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
