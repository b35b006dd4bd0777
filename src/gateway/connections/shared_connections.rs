//! Connections that several holders share, one to each endpoint.

use {
  super::connection::Connection,
  crate::{gateway::edge::EndpointEntry, ids::Name},
  std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
  },
  tokio::sync::Mutex,
};

/// A shared connection; `None` until it is open, and after it has failed.
pub(crate) type SharedConnection = Mutex<Option<Connection>>;

/// The shared connections that are held, by the endpoint's id and address.
#[derive(Debug, Default)]
pub(crate) struct SharedConnections {
  held: RefCell<HashMap<(Name, SocketAddr), Weak<SharedConnection>>>,
}

impl SharedConnections {
  /// The shared connection to an endpoint that is held now.
  pub(crate) fn get(&self, entry: &EndpointEntry) -> Option<Rc<SharedConnection>> {
    self.held.borrow().get(&key(entry))?.upgrade()
  }

  /// Shares a connection that is about to be opened, in place of the former one to that endpoint.
  pub(crate) fn add(&self, entry: &EndpointEntry) -> Rc<SharedConnection> {
    let shared = Rc::<SharedConnection>::default();
    let mut held = self.held.borrow_mut();
    held.retain(|_, other| other.strong_count() > 0);
    held.insert(key(entry), Rc::downgrade(&shared));
    shared
  }
}

fn key(entry: &EndpointEntry) -> (Name, SocketAddr) {
  (entry.id.clone(), entry.address)
}
