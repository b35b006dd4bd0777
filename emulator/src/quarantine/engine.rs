//! An engine of a replay of crashes.

use rillford::gateway::EndpointIncarnation;

/// One engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
  /// Counts its starts.
  pub(super) born: u64,
  pub(super) is_down: bool,
  /// The requests that run there.
  pub(super) runs: Vec<usize>,
}

impl Engine {
  pub(super) fn life(&self, number: usize) -> EndpointIncarnation {
    EndpointIncarnation::of(&format!("engine-{number}"), Some(self.born))
  }
}
