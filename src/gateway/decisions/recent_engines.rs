//! Engines that were here a short while ago: a crash, a restart or a cut is no reason to change others' roles.
//! Free of I/O.

use {
  crate::gateway::edge::EndpointEntry,
  std::{collections::HashMap, net::SocketAddr},
};

/// How long an engine that is gone without a word still counts in its last role. The users' crashes and cuts last up to
/// 6 s, of which its entry outlasts three heartbeats; a change of role takes 6 s.
const MISSED_MS: u64 = 7_000;
/// How long an engine that leaves still counts: the one that replaces it enters sooner.
const LEAVING_MS: u64 = 3_000;

/// The engines that stay. A crashed one's entry lapses only after its next incarnation has entered: while an address
/// stands twice, neither entry tells what is there.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, staying_engines}};
/// let engine = |id: &str, port: u16| EndpointEntry {
///   address: ([127, 0, 0, 1], port).into(), started_ms: None, cold_ms: 0, hall: "north".into(), id: id.into(), leaving: false,
///   role: Some(Role::Decode), slots: 16, service: "llm".into(),
/// };
/// let engines = [engine("a", 1), engine("b", 2), engine("b-again", 2)];
/// let staying: Vec<_> = staying_engines(&engines).map(|engine| &*engine.id).collect();
/// assert_eq!(staying, ["a"]);
/// ```
pub fn staying_engines(engines: &[EndpointEntry]) -> impl Iterator<Item = &EndpointEntry> {
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
struct Sight {
  entry: EndpointEntry,
  seen_ms: u64,
  counts_until_ms: u64,
}

/// The engines that were seen lately, by address: a restarted one comes back there under another id.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, RecentEngines}};
/// let engine = EndpointEntry {
///   address: "127.0.0.1:1".parse().unwrap(), started_ms: None, cold_ms: 0, hall: "north".into(), id: "a".into(), leaving: false,
///   role: Some(Role::Decode), slots: 16, service: "llm".into(),
/// };
/// let mut recent = RecentEngines::default();
/// recent.note(std::slice::from_ref(&engine), 0);
/// recent.note(&[], 3_000);
/// assert_eq!(recent.missing("llm"), [engine]);
/// recent.note(&[], 20_000);
/// assert!(recent.missing("llm").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentEngines {
  by_address: HashMap<SocketAddr, Sight>,
  noted_ms: u64,
}

impl RecentEngines {
  /// Notes the engines that are here at a time. Those that leave count as gone, and so do, for now, those of an address
  /// that stands twice.
  pub fn note(&mut self, engines: &[EndpointEntry], now_ms: u64) {
    self.noted_ms = now_ms;
    for engine in staying_engines(engines) {
      let sight = Sight {
        entry: engine.clone(),
        counts_until_ms: now_ms + MISSED_MS,
        seen_ms: now_ms,
      };
      self.by_address.insert(engine.address, sight);
    }
    for engine in engines.iter().filter(|engine| engine.leaving) {
      if let Some(sight) = self.by_address.get_mut(&engine.address) {
        sight.counts_until_ms = sight.counts_until_ms.min(now_ms + LEAVING_MS);
      }
    }
    self
      .by_address
      .retain(|_, sight| now_ms < sight.counts_until_ms);
  }

  /// The engines of a service that were not here at the last note, and may come back.
  pub fn missing(&self, service: &str) -> Vec<EndpointEntry> {
    self
      .by_address
      .values()
      .filter(|sight| sight.seen_ms < self.noted_ms)
      .filter(|sight| &*sight.entry.service == service)
      .map(|sight| sight.entry.clone())
      .collect()
  }
}
