//! Engines that were observed recently: a crash, a restart or a network cut is no reason to change the roles of others.
//! Free of I/O.

use {
  crate::gateway::edge::EndpointEntry,
  std::{collections::HashMap, net::SocketAddr},
};

/// Time for which an engine that disappeared without notice still counts in its last role: crashes and network cuts last up
/// to 6 s, of which the entry outlasts three heartbeats, and a change of role takes 6 s.
const MISSING_GRACE_MS: u64 = 7_000;
/// Time for which an engine that leaves still counts: its replacement registers sooner.
const LEAVING_GRACE_MS: u64 = 3_000;

/// The engines that are not leaving and have an address of their own. The entry of a crashed engine expires only after its
/// next incarnation has registered: while two entries share an address, neither is reliable.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, SoftwareVersion, stable_engines}};
/// let engine = |id: &str, port: u16| EndpointEntry {
///   address: ([127, 0, 0, 1], port).into(), started_ms: None, cold_ms: 0, hall: "north".into(), id: id.into(), leaving: false,
///   role: Some(Role::Decode), slots: 16, service: "llm".into(), version: SoftwareVersion::default(),
/// };
/// let engines = [engine("a", 1), engine("b", 2), engine("b-again", 2)];
/// let stable: Vec<_> = stable_engines(&engines).map(|engine| &*engine.id).collect();
/// assert_eq!(stable, ["a"]);
/// ```
pub fn stable_engines(engines: &[EndpointEntry]) -> impl Iterator<Item = &EndpointEntry> {
  let mut entries: HashMap<SocketAddr, u32> = HashMap::new();
  for engine in engines {
    *entries.entry(engine.address).or_default() += 1;
  }
  engines
    .iter()
    .filter(move |engine| entries[&engine.address] == 1)
    .filter(|engine| engine.role.is_some() && !engine.leaving)
}

#[derive(Clone, Debug)]
struct Observation {
  entry: EndpointEntry,
  observed_ms: u64,
  counts_until_ms: u64,
}

/// The recently observed engines by address: a restarted one comes back there under another id.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, RecentEngines, SoftwareVersion}};
/// let engine = EndpointEntry {
///   address: "127.0.0.1:1".parse().unwrap(), started_ms: None, cold_ms: 0, hall: "north".into(), id: "a".into(), leaving: false,
///   role: Some(Role::Decode), slots: 16, service: "llm".into(), version: SoftwareVersion::default(),
/// };
/// let mut recent = RecentEngines::default();
/// recent.record(std::slice::from_ref(&engine), 0);
/// recent.record(&[], 3_000);
/// assert_eq!(recent.missing("llm"), [engine]);
/// recent.record(&[], 20_000);
/// assert!(recent.missing("llm").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentEngines {
  by_address: HashMap<SocketAddr, Observation>,
  last_recorded_ms: u64,
}

impl RecentEngines {
  /// Records the engines that are listed at a time. Engines that leave count as missing, and so do, for the time being,
  /// those that share an address.
  pub fn record(&mut self, engines: &[EndpointEntry], now_ms: u64) {
    self.last_recorded_ms = now_ms;
    for engine in stable_engines(engines) {
      let observation = Observation {
        entry: engine.clone(),
        counts_until_ms: now_ms + MISSING_GRACE_MS,
        observed_ms: now_ms,
      };
      self.by_address.insert(engine.address, observation);
    }
    for engine in engines.iter().filter(|engine| engine.leaving) {
      if let Some(observation) = self.by_address.get_mut(&engine.address) {
        observation.counts_until_ms = observation.counts_until_ms.min(now_ms + LEAVING_GRACE_MS);
      }
    }
    self
      .by_address
      .retain(|_, observation| now_ms < observation.counts_until_ms);
  }

  /// The engines of a service that were not in the last record and may come back.
  pub fn missing(&self, service: &str) -> Vec<EndpointEntry> {
    self
      .by_address
      .values()
      .filter(|observation| observation.observed_ms < self.last_recorded_ms)
      .filter(|observation| &*observation.entry.service == service)
      .map(|observation| observation.entry.clone())
      .collect()
  }
}
