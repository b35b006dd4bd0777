//! Prompts that prefill engines hold until a decode engine fetches them.

use std::{
  collections::HashMap,
  net::SocketAddr,
  sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
  },
  time::{Duration, Instant},
};

/// Time after which a prompt that was not fetched expires.
pub(crate) const EXPORT_TTL: Duration = Duration::from_millis(700);
/// The same while engines keep prompts for a short time.
const SHORT_TTL: Duration = Duration::from_millis(15);
/// Time that a prompt takes to a decode engine while moves are slow; otherwise it is there at once.
const SLOW_MOVE: Duration = Duration::from_millis(320);

/// A prefilled prompt.
struct Export {
  request: String,
  until: Instant,
}

/// Exported prompts of all engines, by address and handle.
#[derive(Clone, Default)]
pub(crate) struct Exports {
  prompts: Arc<Mutex<HashMap<String, Export>>>,
  is_short: Arc<AtomicBool>,
  is_slow: Arc<AtomicBool>,
}

impl Exports {
  fn lock(&self) -> MutexGuard<'_, HashMap<String, Export>> {
    self.prompts.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Prompts that are added from now on expire soon, or after the usual time.
  pub(crate) fn set_short(&self, is_short: bool) {
    self.is_short.store(is_short, Ordering::Relaxed);
  }

  /// Prompts move slowly from now on, or at once.
  pub(crate) fn set_slow(&self, is_slow: bool) {
    self.is_slow.store(is_slow, Ordering::Relaxed);
  }

  /// Time that a prompt takes to a decode engine.
  pub(crate) fn move_time(&self) -> Duration {
    if self.is_slow.load(Ordering::Relaxed) {
      SLOW_MOVE
    } else {
      Duration::ZERO
    }
  }

  /// Adds the prompt of a request.
  pub(crate) fn insert(&self, key: String, request: &str) {
    let is_short = self.is_short.load(Ordering::Relaxed);
    let ttl = if is_short { SHORT_TTL } else { EXPORT_TTL };
    let export = Export {
      request: request.into(),
      until: Instant::now() + ttl,
    };
    self.lock().insert(key, export);
  }

  /// Removes a prompt and returns its request, unless it has expired.
  pub(crate) fn take(&self, key: &str) -> Option<String> {
    let export = self.lock().remove(key)?;
    (Instant::now() < export.until).then_some(export.request)
  }

  /// Removes the prompts of an endpoint that has terminated.
  pub(crate) fn remove_all_of(&self, address: SocketAddr) {
    let prefix = format!("{address}/");
    self.lock().retain(|key, _| !key.starts_with(&prefix));
  }

  /// Lists the prompts that have not expired.
  pub(crate) fn live(&self) -> Vec<String> {
    let now = Instant::now();
    let lock = self.lock();
    let live = lock.iter().filter(|(_, export)| now < export.until);
    live
      .map(|(key, export)| format!("prompt of {} at {key}", export.request))
      .collect()
  }
}
