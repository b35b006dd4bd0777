//! Connections that do nothing but show whether a process goes on, at most one to each endpoint.

use {
  super::shared_connections::SharedConnection,
  crate::{gateway::edge::EndpointEntry, ids::Name},
  std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc},
};

/// Connections that are open at the same time at the most.
const MAX_WATCHED: usize = 200;

#[derive(Debug)]
struct Watching {
  connection: Rc<SharedConnection>,
  until_ms: u64,
}

/// Connections that show whether processes go on, by the endpoint's id and address.
#[derive(Debug, Default)]
pub(crate) struct WatchingConnections(RefCell<HashMap<(Name, SocketAddr), Watching>>);

impl WatchingConnections {
  /// The connection to an endpoint, which is kept until a time at least; `None` when there are too many.
  pub(crate) fn get(&self, entry: &EndpointEntry, until_ms: u64) -> Option<Rc<SharedConnection>> {
    let mut watching = self.0.borrow_mut();
    let key = (entry.id.clone(), entry.address);
    if !watching.contains_key(&key) && watching.len() >= MAX_WATCHED {
      return None;
    }
    let watching = watching.entry(key).or_insert_with(|| Watching {
      connection: Rc::default(),
      until_ms,
    });
    watching.until_ms = watching.until_ms.max(until_ms);
    Some(watching.connection.clone())
  }

  /// Closes the connections that were to be kept until now, and forgets those that have ended.
  pub(crate) fn expire(&self, now_ms: u64) {
    let mut watching = self.0.borrow_mut();
    watching
      .retain(|_, watching| now_ms < watching.until_ms && has_not_ended(&watching.connection));
  }
}

/// Whether a connection is open, or in use.
fn has_not_ended(connection: &SharedConnection) -> bool {
  let Ok(connection) = connection.try_lock() else {
    return true;
  };
  connection
    .as_ref()
    .is_some_and(|connection| connection.closed().is_none())
}
