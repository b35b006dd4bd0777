//! The prefill engines of each group, as this box lists them. Free of I/O.
//!
//! Load pattern: a coordinator gets tens of requests per second, and a scan over thousands of endpoints for each of them would use up
//! its share of a core. The groups are computed when the listed prefill engines have changed.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    endpoint_registry::EndpointRegistry,
    prefill_group::{PrefillGroup, prefill_shard, prefill_shard_count},
  },
  crate::{decide::Role, ids::Name},
  std::collections::{BTreeMap, HashMap},
};

/// Minimum time between two updates: during a listing thousands of entries change one after the other.
const MIN_UPDATE_INTERVAL_MS: u64 = 50;

/// A prefill engine of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupedEngine {
  pub id: Name,
  pub incarnation: EndpointIncarnation,
}

/// The prefill engines by service, hall and shard.
///
/// ```
/// use rillford::gateway::{EndpointRegistry, PrefillDirectory};
/// let mut directory = PrefillDirectory::default();
/// directory.update(&EndpointRegistry::default(), 0);
/// assert_eq!(directory.shard_count("llm", "north"), 0);
/// ```
#[derive(Debug, Default)]
pub struct PrefillDirectory {
  services: HashMap<Name, ServiceEngines>,
  /// The registry's revision and the time of the last update.
  updated: Option<(u64, u64)>,
}

#[derive(Debug, Default)]
struct ServiceEngines {
  /// The engines of each shard, by hall.
  halls: BTreeMap<Name, Vec<Vec<GroupedEngine>>>,
  ids: HashMap<EndpointIncarnation, Name>,
}

impl PrefillDirectory {
  /// Follows the registry's entries, if they have changed since the last update.
  pub fn update(&mut self, registry: &EndpointRegistry, now_ms: u64) {
    let revision = registry.prefill_revision();
    let is_current = self.updated.is_some_and(|(updated_revision, at_ms)| {
      updated_revision == revision || now_ms < at_ms + MIN_UPDATE_INTERVAL_MS
    });
    if is_current {
      return;
    }
    self.updated = Some((revision, now_ms));
    self.services.clear();
    let entries = registry.entries();
    for entry in entries.filter(|entry| entry.role == Some(Role::Prefill)) {
      let incarnation = EndpointIncarnation::of(&entry.id, entry.started_ms);
      let service = self.services.entry(entry.service.clone()).or_default();
      service.ids.insert(incarnation, entry.id.clone());
      let shards = service.halls.entry(entry.hall.clone()).or_default();
      if shards.is_empty() {
        shards.push(Vec::new());
      }
      shards[0].push(GroupedEngine {
        id: entry.id.clone(),
        incarnation,
      });
    }
    for service in self.services.values_mut() {
      service.halls.values_mut().for_each(divide);
    }
  }

  /// The halls with prefill engines of a service.
  pub fn halls(&self, service: &str) -> impl Iterator<Item = &Name> {
    let service = self.services.get(service).into_iter();
    service.flat_map(|service| service.halls.keys())
  }

  /// The number of shards of a service's prefill engines in a hall; 0 without engines.
  pub fn shard_count(&self, service: &str, hall: &str) -> u32 {
    let shards = self
      .services
      .get(service)
      .and_then(|service| service.halls.get(hall));
    shards.map_or(0, |shards| u32::try_from(shards.len()).unwrap_or(u32::MAX))
  }

  /// The engines of a group.
  pub fn engines(&self, group: &PrefillGroup) -> &[GroupedEngine] {
    let shards = self
      .services
      .get(&group.service)
      .and_then(|service| service.halls.get(&group.hall));
    let engines = shards.and_then(|shards| shards.get(group.shard as usize));
    engines.map_or(&[], Vec::as_slice)
  }

  /// The id of a listed incarnation of a service's prefill engine.
  pub fn id(&self, service: &str, incarnation: EndpointIncarnation) -> Option<&Name> {
    self.services.get(service)?.ids.get(&incarnation)
  }
}

/// Divides the engines of a hall, which are all in the first shard, by their shards.
fn divide(shards: &mut Vec<Vec<GroupedEngine>>) {
  let engines: Vec<GroupedEngine> = shards.drain(..).flatten().collect();
  let count = prefill_shard_count(engines.len());
  shards.resize_with(count as usize, Vec::new);
  for engine in engines {
    let shard = prefill_shard(&engine.id, count);
    shards[shard as usize].push(engine);
  }
}
