//! A request as egress keeps it.

use {
  super::{joiner::Joiner, pace::Pace},
  crate::chunk::Payload,
  std::sync::{Mutex, MutexGuard, PoisonError},
};

/// A request as egress keeps it.
pub(super) struct Errand {
  pub(super) payload: Payload,
  pub(super) joiner: Mutex<Joiner>,
  pub(super) pace: Mutex<Option<Pace>>,
  pub(super) prompt_tokens: Mutex<u64>,
}

impl Errand {
  pub(super) fn joiner(&self) -> MutexGuard<'_, Joiner> {
    self.joiner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  pub(super) fn offset(&self) -> u64 {
    self.joiner().offset()
  }
}
