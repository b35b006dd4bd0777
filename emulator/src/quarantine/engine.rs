//! A simulated engine of the crash simulation.

use rillford::gateway::EndpointIncarnation;

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
  /// Number of restarts, which identifies the incarnation.
  pub(super) restarts: u64,
  pub(super) is_down: bool,
  /// Requests that run on it.
  pub(super) running: Vec<usize>,
}

impl Engine {
  pub(super) fn incarnation(&self, number: usize) -> EndpointIncarnation {
    EndpointIncarnation::of(&format!("engine-{number}"), Some(self.restarts))
  }
}
