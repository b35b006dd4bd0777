//! Prompts that were read apart, at all servers.

use {
  super::condition_cell::ConditionCell,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
};

/// A prompt that was read apart.
#[derive(Clone, Debug)]
pub(super) struct Export {
  /// The server that keeps it.
  pub(super) owner: Arc<str>,
  /// The zone of that server.
  pub(super) zone: Arc<str>,
  pub(super) tokens: u64,
  /// When it lapses.
  pub(super) until: Instant,
  /// The faults of that server.
  pub(super) conditions: Arc<ConditionCell>,
}

impl Export {
  fn is_kept(&self) -> bool {
    Instant::now() < self.until && !self.conditions.handles_lapse()
  }
}

/// Prompts that were read apart, by the port of the server that keeps them and their handle; shared by all servers.
#[derive(Clone, Debug, Default)]
pub struct Exports(Arc<Mutex<HashMap<(u16, String), Export>>>);

impl Exports {
  pub(super) fn insert(&self, port: u16, handle: &str, export: Export) {
    let mut exports = self.exports();
    exports.retain(|_, export| export.is_kept());
    exports.insert((port, handle.into()), export);
  }

  /// Takes a prompt. `None` if it is gone.
  pub(super) fn take(&self, port: u16, handle: &str) -> Option<Export> {
    let export = self.exports().remove(&(port, handle.into()))?;
    export.is_kept().then_some(export)
  }

  /// Drops the prompts of a server that ends.
  pub(super) fn remove_owner(&self, port: u16, owner: &str) {
    let mut exports = self.exports();
    exports.retain(|(of_port, _), export| *of_port != port || &*export.owner != owner);
  }

  /// Number of prompts that a server keeps.
  pub fn count(&self, port: u16) -> usize {
    let exports = self.exports();
    let of_port = exports.iter().filter(|((of_port, _), _)| *of_port == port);
    of_port.filter(|(_, export)| export.is_kept()).count()
  }

  fn exports(&self) -> MutexGuard<'_, HashMap<(u16, String), Export>> {
    // Each change is one insertion or removal.
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
