//! The processes that a box observes at its endpoints, and when their entries are known to describe them. Free of I/O.

use {
  super::{connection_state::ConnectionState, observed_process::ObservedProcess},
  crate::{gateway::edge::EndpointEntry, ids::Name},
  std::{collections::HashMap, rc::Rc},
};

/// Delay until a change of the store is in the view that a box takes for current.
const VIEW_DELAY_MS: u64 = 500;
/// Heartbeats after a process's start until the listed entry is its own: one write of the entry may fail.
const ENTRY_HEARTBEATS: u64 = 2;

/// The process that is observed at each endpoint.
///
/// An endpoint writes its entry within a heartbeat of its start. So an entry that is listed some heartbeats after a process was first
/// seen is that of the process, and so is one that is written while the process is observed.
///
/// ```
/// use rillford::gateway::{ConnectionState, EndpointEntry, EndpointProcesses, SoftwareVersion};
/// use std::rc::Rc;
/// let entry = EndpointEntry {
///   address: "10.0.0.1:80".parse().unwrap(),
///   cold_ms: 0,
///   hall: "north".into(),
///   id: "e-1".into(),
///   leaving: false,
///   role: None,
///   service: "llm".into(),
///   slots: 8,
///   started_ms: None,
///   version: SoftwareVersion::new("v1"),
/// };
/// let connection = Rc::new(ConnectionState::default());
/// let mut processes = EndpointProcesses::new(1_000);
/// let process = processes.connect(&entry, &connection, 0);
/// processes.set_viewed(1_999);
/// processes.settle(&entry);
/// assert_eq!(process.version(), None);
/// processes.set_viewed(2_000);
/// processes.settle(&entry);
/// assert_eq!(process.version(), Some(&entry.version));
/// ```
#[derive(Debug, Default)]
pub struct EndpointProcesses {
  by_endpoint: HashMap<Name, Rc<ObservedProcess>>,
  /// Time after a process's start from which a listed entry is its own.
  entry_lag_ms: u64,
  /// The box's view of the store includes all changes until then.
  viewed_ms: u64,
}

impl EndpointProcesses {
  /// None yet; endpoints renew their entries each `heartbeat_ms`.
  pub fn new(heartbeat_ms: u64) -> Self {
    Self {
      by_endpoint: HashMap::new(),
      entry_lag_ms: ENTRY_HEARTBEATS * heartbeat_ms,
      viewed_ms: 0,
    }
  }

  /// The box's view of the store includes all changes until a time.
  pub fn set_viewed(&mut self, viewed_ms: u64) {
    self.viewed_ms = viewed_ms;
  }

  /// A connection to a listed endpoint was opened. It leads to the process that is observed there, or to another one if none is.
  pub fn connect(
    &mut self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
    now_ms: u64,
  ) -> Rc<ObservedProcess> {
    let current = self.by_endpoint.get(&entry.id);
    let current = current.filter(|process| process.is_observed()).cloned();
    let process = current.unwrap_or_else(|| {
      let process = Rc::new(ObservedProcess::since(now_ms));
      self.by_endpoint.insert(entry.id.clone(), process.clone());
      process
    });
    process.add(connection);
    process
  }

  /// An endpoint's entry was written; `former` is the entry before.
  pub fn record_entry(&mut self, former: Option<&EndpointEntry>, entry: &EndpointEntry) {
    if let Some(former) = former {
      self.settle(former);
    }
    let Some(process) = self.by_endpoint.get(&entry.id) else {
      return;
    };
    let is_there = former
      .is_none_or(|former| former.address == entry.address && former.service == entry.service);
    let version = process.version();
    if !is_there || version.is_some_and(|version| *version != entry.version) {
      self.by_endpoint.remove(&entry.id);
      return;
    }
    let was_viewed = process.since_ms() + VIEW_DELAY_MS <= self.viewed_ms;
    if was_viewed && process.is_observed() {
      process.set_version(&entry.version);
    }
  }

  /// Forgets the processes that are no longer observed.
  pub fn expire(&mut self) {
    self.by_endpoint.retain(|_, process| process.is_observed());
  }

  /// Learns the version of the process at a listed endpoint, if it was observed for long enough.
  pub fn settle(&mut self, entry: &EndpointEntry) {
    let Some(process) = self.by_endpoint.get(&entry.id) else {
      return;
    };
    let is_due = process.since_ms() + self.entry_lag_ms <= self.viewed_ms;
    if process.version().is_none() && is_due && process.is_observed() {
      process.set_version(&entry.version);
    }
  }
}
