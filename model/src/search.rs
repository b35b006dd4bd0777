//! Exploring a specification in full, by the library's breadth-first searches.

use {
  pathfinding::directed::{bfs::bfs, dijkstra::dijkstra_all},
  std::{fmt::Debug, hash::Hash},
};

/// A specification: where it begins, what can happen, what must hold.
pub trait Spec {
  /// A state.
  type State: Clone + Debug + Eq + Hash;

  /// The first state.
  fn start(&self) -> Self::State;

  /// All states that one step leads to.
  fn steps(&self, state: &Self::State) -> Vec<Self::State>;

  /// The property that a state breaks, if it breaks one.
  fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search came to.
#[derive(Clone, Debug)]
pub struct Exploration<S> {
  /// States reached.
  pub states: usize,
  /// Steps to the farthest of them.
  pub depth: usize,
  /// The property that was broken, and the shortest way there.
  pub counterexample: Option<(&'static str, Vec<S>)>,
}

/// Explores all states of a specification.
pub fn explore<T: Spec>(spec: &T) -> Exploration<T::State> {
  let start = spec.start();
  let reached = dijkstra_all(&start, |state| {
    spec.steps(state).into_iter().map(|next| (next, 1_usize))
  });
  let depth = reached.values().map(|(_, cost)| *cost).max().unwrap_or(0);
  let path = bfs(
    &start,
    |state| spec.steps(state),
    |state| spec.broken(state).is_some(),
  );
  let counterexample = path.and_then(|path| {
    let broken = spec.broken(path.last()?)?;
    Some((broken, path))
  });
  Exploration {
    counterexample,
    depth,
    states: reached.len() + 1,
  }
}
