//! One process of an endpoint, observed through open connections. Free of I/O.

use {
  super::connection_state::ConnectionState,
  crate::gateway::edge::SoftwareVersion,
  std::{
    cell::{OnceCell, RefCell},
    rc::{Rc, Weak},
  },
};

/// One process of an endpoint, observed without a gap by connections that overlap: none outlives the process.
///
/// ```
/// use rillford::gateway::{ConnectionState, ObservedProcess};
/// use std::rc::Rc;
/// let process = ObservedProcess::since(1_000);
/// let connection = Rc::new(ConnectionState::new(|| 0));
/// process.add(&connection);
/// assert!(process.is_observed());
/// connection.record_end();
/// assert!(!process.is_observed());
/// ```
#[derive(Debug)]
pub struct ObservedProcess {
  /// When its first connection was opened.
  since_ms: u64,
  /// Whether further connections may count as leading to it.
  is_joinable: bool,
  connections: RefCell<Vec<Weak<ConnectionState>>>,
  version: OnceCell<SoftwareVersion>,
}

impl ObservedProcess {
  /// A process whose first connection is opened at a time.
  pub fn since(since_ms: u64) -> Self {
    Self {
      connections: RefCell::default(),
      is_joinable: true,
      since_ms,
      version: OnceCell::new(),
    }
  }

  /// A process that another observation shows to run already, or one whose first connection is opened at a time.
  pub fn following(former: Option<&Self>, now_ms: u64) -> Self {
    let Some(former) = former else {
      return Self::since(now_ms);
    };
    Self {
      version: former.version.clone(),
      ..Self::since(former.since_ms)
    }
  }

  /// A process that is observed through one connection only, opened at a time: no other one is taken for a connection to it.
  pub fn through_one_connection(since_ms: u64, connection: &Rc<ConnectionState>) -> Self {
    let process = Self {
      is_joinable: false,
      ..Self::since(since_ms)
    };
    process.add(connection);
    process
  }

  /// Whether further connections may count as leading to it.
  pub fn is_joinable(&self) -> bool {
    self.is_joinable
  }

  /// When its first connection was opened.
  pub fn since_ms(&self) -> u64 {
    self.since_ms
  }

  /// A connection to it was opened.
  pub fn add(&self, connection: &Rc<ConnectionState>) {
    let mut connections = self.connections.borrow_mut();
    connections.retain(|connection| connection.strong_count() > 0);
    connections.push(Rc::downgrade(connection));
  }

  /// Whether a connection shows that it runs.
  pub fn is_observed(&self) -> bool {
    self.open_connections() > 0
  }

  /// The connections that show that it runs.
  pub fn open_connections(&self) -> usize {
    let connections = self.connections.borrow();
    let open = connections.iter().filter_map(Weak::upgrade);
    open.filter(|connection| connection.is_open()).count()
  }

  /// The version of its software; `None` until it is known.
  pub fn version(&self) -> Option<&SoftwareVersion> {
    self.version.get()
  }

  /// Its version is known from now on. The first one counts.
  pub fn set_version(&self, version: &SoftwareVersion) {
    // A process keeps its version.
    let _ = self.version.set(version.clone());
  }
}
