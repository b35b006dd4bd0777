//! Engines that were here a short while ago: a crash, a restart or a cut is no reason to change others' roles.
//! Free of I/O.

use {
  super::EndpointEntry,
  std::{collections::HashMap, net::SocketAddr},
};

/// How long an engine that is gone still counts in its last role: a crashed or replaced one is back sooner, and
/// a change of role takes half of it (`switchS` of the users' sites is 6 s).
const MISSED_MS: u64 = 15_000;

#[derive(Clone, Debug)]
struct Sight {
  entry: EndpointEntry,
  seen_ms: u64,
}

/// The engines that were seen lately, by address: a restarted one comes back there under another id.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, RecentEngines}};
/// let engine = EndpointEntry {
///   address: "127.0.0.1:1".parse().unwrap(), hall: "north".into(), id: "a".into(), leaving: false,
///   role: Some(Role::Decode), seats: 16, service: "llm".into(),
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
  /// Notes the engines that are here at a time. Those that leave count as gone.
  pub fn note(&mut self, engines: &[EndpointEntry], now_ms: u64) {
    self.noted_ms = now_ms;
    let staying = engines
      .iter()
      .filter(|engine| engine.role.is_some() && !engine.leaving);
    for engine in staying {
      let sight = Sight {
        entry: engine.clone(),
        seen_ms: now_ms,
      };
      self.by_address.insert(engine.address, sight);
    }
    self
      .by_address
      .retain(|_, sight| now_ms < sight.seen_ms + MISSED_MS);
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
