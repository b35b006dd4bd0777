//! Exhaustive exploration of a specification.

use {
  pathfinding::directed::{bfs::bfs, dijkstra::dijkstra_all},
  std::{fmt::Debug, hash::Hash},
};

/// A specification: an initial state, its successors, and the properties that must hold.
pub trait Spec {
  type State: Clone + Debug + Eq + Hash;

  fn initial_state(&self) -> Self::State;

  /// The states that can follow a state.
  fn successors(&self, state: &Self::State) -> Vec<Self::State>;

  /// The property that a state violates, if any.
  fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<S> {
  /// Number of states reached.
  pub states: usize,
  /// Largest number of steps to a state.
  pub depth: usize,
  /// The violated property, and a shortest path to the violation.
  pub counterexample: Option<(&'static str, Vec<S>)>,
}

pub fn explore<T: Spec>(spec: &T) -> Exploration<T::State> {
  let initial = spec.initial_state();
  let reached = dijkstra_all(&initial, |state| {
    spec
      .successors(state)
      .into_iter()
      .map(|next| (next, 1_usize))
  });
  let depth = reached.values().map(|(_, cost)| *cost).max().unwrap_or(0);
  let path = bfs(
    &initial,
    |state| spec.successors(state),
    |state| spec.violation(state).is_some(),
  );
  let counterexample = path.and_then(|path| {
    let violation = spec.violation(path.last()?)?;
    Some((violation, path))
  });
  Exploration {
    counterexample,
    depth,
    states: reached.len() + 1,
  }
}
