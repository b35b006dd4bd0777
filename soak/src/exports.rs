//! The prompts that engines keep until they are fetched.

use std::{
  collections::HashMap,
  net::SocketAddr,
  sync::{Arc, Mutex, MutexGuard, PoisonError},
  time::{Duration, Instant},
};

/// How long an engine keeps a prompt that nobody fetches.
pub(crate) const EXPORT_TTL: Duration = Duration::from_millis(700);

/// A prompt that an engine keeps.
struct Export {
  request: String,
  until: Instant,
}

/// The prompts that all engines keep, by the address and handle under which they are fetched.
#[derive(Clone, Default)]
pub(crate) struct Exports(Arc<Mutex<HashMap<String, Export>>>);

impl Exports {
  fn lock(&self) -> MutexGuard<'_, HashMap<String, Export>> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Keeps a prompt that was read for a request.
  pub(crate) fn keep(&self, key: String, request: &str) {
    let export = Export {
      request: request.into(),
      until: Instant::now() + EXPORT_TTL,
    };
    self.lock().insert(key, export);
  }

  /// Takes a prompt once; the request that it was read for.
  pub(crate) fn take(&self, key: &str) -> Option<String> {
    let export = self.lock().remove(key)?;
    (Instant::now() < export.until).then_some(export.request)
  }

  /// Drops the prompts of an endpoint that has ended.
  pub(crate) fn remove_all_of(&self, address: SocketAddr) {
    let prefix = format!("{address}/");
    self.lock().retain(|key, _| !key.starts_with(&prefix));
  }

  /// The prompts that are kept now.
  pub(crate) fn kept(&self) -> Vec<String> {
    let now = Instant::now();
    let lock = self.lock();
    let kept = lock.iter().filter(|(_, export)| now < export.until);
    kept
      .map(|(key, export)| format!("prompt of {} at {key}", export.request))
      .collect()
  }
}
