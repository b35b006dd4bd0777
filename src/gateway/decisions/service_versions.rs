//! The software versions that each service's endpoints have, or had until recently. Free of I/O.

use {
  super::service_version::ServiceVersion,
  crate::{gateway::edge::SoftwareVersion, ids::Name},
  std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// What is known of one version of a service.
#[derive(Clone, Copy, Debug, Default)]
struct VersionState {
  /// Listed endpoints.
  endpoints: usize,
  /// When it was last listed or reported by another box. Set by the next call of [`ServiceVersions::expire`].
  last_seen_ms: Option<u64>,
}

/// The versions of all services. One that is no longer listed counts for as long as a stream that it began may be resumed.
///
/// ```
/// use rillford::gateway::{ServiceVersions, SoftwareVersion};
/// let [v1, v2] = ["v1", "v2"].map(SoftwareVersion::new);
/// let mut versions = ServiceVersions::default();
/// versions.add(&"llm".into(), &v1);
/// assert!(!versions.are_several("llm"));
/// versions.add(&"llm".into(), &v2);
/// versions.remove("llm", &v1);
/// versions.expire(1_000, 30_000);
/// assert!(versions.are_several("llm"));
/// versions.expire(31_000, 30_000);
/// assert_eq!(versions.of("llm"), [v2].into());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
  services: HashMap<Name, BTreeMap<SoftwareVersion, VersionState>>,
}

impl ServiceVersions {
  /// An endpoint is listed.
  pub fn add(&mut self, service: &Name, version: &SoftwareVersion) {
    let state = self.state(service, version);
    state.endpoints += 1;
    state.last_seen_ms = None;
  }

  /// An endpoint is no longer listed.
  pub fn remove(&mut self, service: &str, version: &SoftwareVersion) {
    let versions = self.services.get_mut(service);
    if let Some(state) = versions.and_then(|versions| versions.get_mut(version)) {
      state.endpoints = state.endpoints.saturating_sub(1);
    }
  }

  /// Another box or the store reports a version, which may not be listed here.
  pub fn report(&mut self, service: &Name, version: &SoftwareVersion) {
    self.state(service, version).last_seen_ms = None;
  }

  fn state(&mut self, service: &Name, version: &SoftwareVersion) -> &mut VersionState {
    let versions = self.services.entry(service.clone()).or_default();
    versions.entry(version.clone()).or_default()
  }

  /// Removes the versions that were last seen before a time.
  pub fn expire(&mut self, now_ms: u64, keep_ms: u64) {
    for versions in self.services.values_mut() {
      versions.retain(|_, state| {
        if state.endpoints > 0 {
          state.last_seen_ms = None;
          return true;
        }
        now_ms < *state.last_seen_ms.get_or_insert(now_ms) + keep_ms
      });
    }
    self.services.retain(|_, versions| !versions.is_empty());
  }

  /// The listed versions of all services.
  pub fn all_listed(&self) -> impl Iterator<Item = ServiceVersion> {
    self.services.iter().flat_map(|(service, versions)| {
      let listed = versions.iter().filter(|(_, state)| state.endpoints > 0);
      listed.map(|(version, _)| ServiceVersion {
        service: service.clone(),
        version: version.clone(),
      })
    })
  }

  /// Whether a version of a service counts.
  pub fn knows(&self, service: &str, version: &SoftwareVersion) -> bool {
    let versions = self.services.get(service);
    versions.is_some_and(|versions| versions.contains_key(version))
  }

  /// The versions of a service.
  pub fn of(&self, service: &str) -> BTreeSet<SoftwareVersion> {
    let versions = self.services.get(service);
    versions.map_or_else(BTreeSet::new, |versions| versions.keys().cloned().collect())
  }

  /// Whether a service has more than one version.
  pub fn are_several(&self, service: &str) -> bool {
    self
      .services
      .get(service)
      .is_some_and(|versions| versions.len() > 1)
  }

  /// The listed endpoints of a version of a service.
  pub fn listed(&self, service: &str, version: &SoftwareVersion) -> usize {
    let versions = self.services.get(service);
    let state = versions.and_then(|versions| versions.get(version));
    state.map_or(0, |state| state.endpoints)
  }

  /// The services with more than one version, and the listed endpoints of each.
  pub fn divided(&self) -> BTreeMap<Name, BTreeMap<SoftwareVersion, usize>> {
    let divided = self.services.iter();
    let divided = divided.filter(|(_, versions)| versions.len() > 1);
    divided
      .map(|(service, versions)| {
        let counts = versions
          .iter()
          .map(|(version, state)| (version.clone(), state.endpoints));
        (service.clone(), counts.collect())
      })
      .collect()
  }
}
