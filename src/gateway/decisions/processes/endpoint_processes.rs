//! The processes that a box observes at its endpoints, and when their entries are known to describe them. Free of I/O.

use {
  super::{connection_state::ConnectionState, observed_process::ObservedProcess},
  crate::{gateway::edge::EndpointEntry, ids::Name},
  std::{collections::HashMap, rc::Rc},
};

/// Delay until a change of the store reaches a box that waits for it.
pub const VIEW_DELAY_MS: u64 = 200;
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
/// let connection = Rc::new(ConnectionState::new(|| 0));
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
  /// One for each endpoint, as a rule: connections that are not read at the moment can't show that a further one leads to the same.
  /// Beside it may stand those that are observed through one connection only.
  by_endpoint: HashMap<Name, Vec<Rc<ObservedProcess>>>,
  /// Time after a process's start from which a listed entry is its own.
  entry_lag_ms: u64,
  /// The box's view of the store includes all changes until then.
  viewed_ms: u64,
  /// Start of the uninterrupted contact with the store: an entry may have lagged for longer before.
  connected_since_ms: u64,
}

impl EndpointProcesses {
  /// None yet; endpoints renew their entries each `heartbeat_ms`.
  pub fn new(heartbeat_ms: u64) -> Self {
    Self {
      by_endpoint: HashMap::new(),
      connected_since_ms: 0,
      entry_lag_ms: ENTRY_HEARTBEATS * heartbeat_ms,
      viewed_ms: 0,
    }
  }

  /// The box's view of the store includes all changes until a time.
  pub fn set_viewed(&mut self, viewed_ms: u64) {
    self.viewed_ms = viewed_ms;
  }

  /// Uninterrupted contact with the store began at a time.
  pub fn set_connected_since(&mut self, since_ms: u64) {
    self.connected_since_ms = since_ms;
  }

  /// The time until which the box's view of the store includes all changes.
  pub fn viewed_ms(&self) -> u64 {
    self.viewed_ms
  }

  /// A connection to a listed endpoint was opened. It leads to the process that is observed there, or to another one if none is.
  pub fn connect(
    &mut self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
    now_ms: u64,
  ) -> Rc<ObservedProcess> {
    let processes = self.by_endpoint.entry(entry.id.clone()).or_default();
    let mut observed = processes.iter().filter(|process| process.is_observed());
    let joinable = observed.clone().find(|process| process.is_joinable());
    let current = joinable.or_else(|| observed.next()).cloned();
    let process = match current {
      Some(process) if process.is_joinable() => process,
      current => {
        let process = Rc::new(ObservedProcess::following(current.as_deref(), now_ms));
        processes.push(process.clone());
        process
      }
    };
    process.add(connection);
    process
  }

  /// A connection to a listed endpoint was opened, whose process is observed through it only.
  pub fn connect_alone(
    &mut self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
    now_ms: u64,
  ) -> Rc<ObservedProcess> {
    let process = ObservedProcess::through_one_connection(now_ms, connection);
    let process = Rc::new(process);
    let processes = self.by_endpoint.entry(entry.id.clone()).or_default();
    processes.push(process.clone());
    process
  }

  /// An entry replaces another one of the same endpoint.
  pub fn replace_entry(&mut self, former: &EndpointEntry, entry: &EndpointEntry) {
    self.settle(former);
    let Some(processes) = self.by_endpoint.get_mut(&entry.id) else {
      return;
    };
    let is_there = former.address == entry.address && former.service == entry.service;
    // A process keeps its version: another one has written the entry.
    processes.retain(|process| {
      let version = process.version();
      is_there && version.is_none_or(|version| *version == entry.version)
    });
  }

  /// A listed endpoint's entry was written after a time.
  pub fn record_write(&mut self, entry: &EndpointEntry, after_ms: u64) {
    for process in self.observed(entry) {
      if process.since_ms() <= after_ms {
        process.set_version(&entry.version);
      }
    }
  }

  /// The entry of a listed endpoint is that of its process.
  pub fn settle_all(&self, entry: &EndpointEntry) {
    for process in self.observed(entry) {
      process.set_version(&entry.version);
    }
  }

  /// An endpoint is no longer listed.
  pub fn remove(&mut self, id: &str) {
    self.by_endpoint.remove(id);
  }

  /// Whether a process is observed at a listed endpoint, and has the version of the entry.
  pub fn is_version_known(&self, entry: &EndpointEntry) -> bool {
    let mut observed = self.observed(entry);
    observed.any(|process| process.version() == Some(&entry.version))
  }

  /// Whether a process is observed at a listed endpoint.
  pub fn is_observed(&self, entry: &EndpointEntry) -> bool {
    self.observed(entry).next().is_some()
  }

  /// Forgets the processes that are no longer observed.
  pub fn expire(&mut self) {
    self.by_endpoint.retain(|_, processes| {
      processes.retain(|process| process.is_observed());
      !processes.is_empty()
    });
  }

  /// Learns the versions of the processes at a listed endpoint that were observed for long enough.
  pub fn settle(&self, entry: &EndpointEntry) {
    for process in self.observed(entry) {
      if self.known_from_ms(process) <= self.viewed_ms {
        process.set_version(&entry.version);
      }
    }
  }

  /// The endpoints that have a process whose version is not known.
  pub fn with_unknown_version(&self) -> impl Iterator<Item = &Name> {
    let unknown = self
      .by_endpoint
      .iter()
      .filter(|(_, processes)| processes.iter().any(|process| process.version().is_none()));
    unknown.map(|(id, _)| id)
  }

  /// When the box's view of the store has to be updated for the version of a further process to be known.
  pub fn next_settle_ms(&self) -> Option<u64> {
    let processes = self.by_endpoint.values().flatten();
    let unknown = processes.filter(|process| process.version().is_none() && process.is_observed());
    unknown.map(|process| self.known_from_ms(process)).min()
  }

  fn known_from_ms(&self, process: &ObservedProcess) -> u64 {
    process.since_ms().max(self.connected_since_ms) + self.entry_lag_ms
  }

  fn observed(&self, entry: &EndpointEntry) -> impl Iterator<Item = &Rc<ObservedProcess>> {
    let processes = self.by_endpoint.get(&entry.id);
    let processes = processes.into_iter().flatten();
    processes.filter(|process| process.is_observed())
  }
}
