//! All endpoints, in pools sorted by load.

use {
  super::{Endpoint, EndpointEvent, EndpointKind, EndpointSpec, LeavingEndpoint, LoadReport, Role},
  crate::ids::Name,
  std::collections::{BTreeMap, BTreeSet},
};

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PoolKey {
  pub hall: Name,
  /// The model or the plain service.
  pub subject: Name,
  /// None for plain services.
  pub role: Option<Role>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PoolEntry {
  key: u64,
  index: usize,
}

/// All endpoints of the settings.
pub struct Fleet {
  endpoints: Vec<Endpoint>,
  by_name: BTreeMap<Name, usize>,
  pools: BTreeMap<PoolKey, BTreeSet<PoolEntry>>,
  pool_keys: Vec<Vec<PoolKey>>,
  load_keys: Vec<u64>,
}

impl Fleet {
  pub fn new(specs: Vec<EndpointSpec>) -> Self {
    let endpoints = specs.into_iter().map(Endpoint::new).collect::<Vec<_>>();
    let by_name = endpoints
      .iter()
      .enumerate()
      .map(|(index, endpoint)| (endpoint.spec.name.clone(), index))
      .collect();
    Self {
      by_name,
      load_keys: vec![0; endpoints.len()],
      pool_keys: vec![Vec::new(); endpoints.len()],
      pools: BTreeMap::new(),
      endpoints,
    }
  }

  pub fn get(&self, name: &Name) -> Option<&Endpoint> {
    self.by_name.get(name).map(|index| &self.endpoints[*index])
  }

  pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
    self.endpoints.iter()
  }

  /// Updates an endpoint and its positions in the pools.
  pub(crate) fn update<T>(
    &mut self,
    name: &Name,
    update: impl FnOnce(&mut Endpoint) -> T,
  ) -> Option<T> {
    let index = *self.by_name.get(name)?;
    let result = update(&mut self.endpoints[index]);
    self.reindex(index);
    Some(result)
  }

  /// Feeds an endpoint's state machine; true if the state changed.
  pub(crate) fn apply_event(&mut self, name: &Name, event: &EndpointEvent) -> bool {
    self
      .update(name, |endpoint| endpoint.apply_event(event))
      .unwrap_or(false)
  }

  /// Applies a load report; true if the endpoint's state changed.
  pub(crate) fn apply_report(&mut self, now_ms: u64, report: &LoadReport) -> bool {
    let event = EndpointEvent::Reported {
      incarnation: report.incarnation,
      leaving: report.leaving,
    };
    self
      .update(&report.endpoint, |endpoint| {
        endpoint.apply_report(now_ms, report) && endpoint.apply_event(&event)
      })
      .unwrap_or(false)
  }

  /// Live endpoints of a pool, least loaded first.
  pub(crate) fn pool(&self, key: &PoolKey) -> impl Iterator<Item = &Endpoint> {
    self
      .pools
      .get(key)
      .into_iter()
      .flatten()
      .map(|entry| &self.endpoints[entry.index])
  }

  pub(crate) fn pool_size(&self, key: &PoolKey) -> usize {
    self.pools.get(key).map_or(0, BTreeSet::len)
  }

  /// The hall whose pool serves a subject: this box's own, or else the first other with live endpoints.
  pub(crate) fn serving_hall(
    &self,
    own: &Name,
    subject: &Name,
    role: Option<Role>,
  ) -> Option<Name> {
    let key = |hall: &Name| PoolKey {
      hall: hall.clone(),
      role,
      subject: subject.clone(),
    };
    if self.pool_size(&key(own)) > 0 {
      return Some(own.clone());
    }
    self
      .pools
      .iter()
      .find(|(pool, entries)| pool.subject == *subject && pool.role == role && !entries.is_empty())
      .map(|(pool, _)| pool.hall.clone())
  }

  pub(crate) fn leaving_endpoints(&self) -> Vec<LeavingEndpoint> {
    self
      .iter()
      .filter(|endpoint| endpoint.is_leaving())
      .map(|endpoint| LeavingEndpoint {
        endpoint: endpoint.spec.name.clone(),
        incarnation: endpoint.incarnation,
      })
      .collect()
  }

  fn reindex(&mut self, index: usize) {
    let old = PoolEntry {
      index,
      key: self.load_keys[index],
    };
    for pool_key in std::mem::take(&mut self.pool_keys[index]) {
      if let Some(pool) = self.pools.get_mut(&pool_key) {
        pool.remove(&old);
      }
    }
    let endpoint = &self.endpoints[index];
    if !endpoint.is_live() {
      return;
    }
    let entry = PoolEntry {
      index,
      key: endpoint.load_key(),
    };
    let pool_keys = Self::pool_keys_of(endpoint);
    self.load_keys[index] = entry.key;
    for pool_key in &pool_keys {
      self
        .pools
        .entry(pool_key.clone())
        .or_default()
        .insert(entry);
    }
    self.pool_keys[index] = pool_keys;
  }

  fn pool_keys_of(endpoint: &Endpoint) -> Vec<PoolKey> {
    let subjects = match &endpoint.spec.kind {
      EndpointKind::Engine { models, .. } => models.clone(),
      EndpointKind::Service { service } => vec![service.clone()],
    };
    subjects
      .into_iter()
      .map(|subject| PoolKey {
        hall: endpoint.spec.hall.clone(),
        role: endpoint.role,
        subject,
      })
      .collect()
  }
}
