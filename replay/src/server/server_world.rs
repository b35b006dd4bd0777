//! What all servers share.

use {
  super::{super::recorder::Recorder, class_lookup::ClassLookup, exports::Exports},
  std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
  },
};

/// What all servers share.
#[derive(Clone, Default)]
pub struct ServerWorld {
  /// What happens in the replay.
  pub recorder: Recorder,
  /// Prompts that were read apart.
  pub exports: Exports,
  /// The kinds of requests.
  pub classes: ClassLookup,
  runs: Arc<AtomicU64>,
}

impl ServerWorld {
  /// The shared parts of the servers of a replay.
  pub fn new(recorder: Recorder, classes: ClassLookup) -> Self {
    Self {
      classes,
      recorder,
      ..Self::default()
    }
  }

  /// A number that no other run has.
  pub(super) fn next_run(&self) -> u64 {
    self.runs.fetch_add(1, Ordering::Relaxed) + 1
  }
}
