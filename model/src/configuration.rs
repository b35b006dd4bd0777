//! Monotonic configuration revisions: two operators, replaced boxes, isolated halls.

use crate::{Exploration, Spec, explore};

const BOXES: usize = 3;
const MAX_WRITES: u8 = 2;
const MAX_REPLACEMENTS: u8 = 1;

/// A change to the rules that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The unchanged rules.
  None,
  /// Boxes apply older revisions too.
  AppliesOlder,
  /// Operators write without compare-and-swap.
  WritesUnconditionally,
}

/// A state. Boxes 0 and 1 are in one hall, box 2 in another, which can be isolated.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// The revision in the store; each write increments it.
  pub stored: u8,
  /// The revision that each operator has read before its write.
  pub read: [Option<u8>; 2],
  /// Whether an accepted write was overwritten by one that had not read it.
  pub lost_update: bool,
  /// The revision that each box has applied; none after a replacement until it applies one.
  pub applied: [Option<u8>; BOXES],
  /// The highest revision that each box has shown in its current incarnation.
  pub shown: [u8; BOXES],
  /// A revision in transit to each box, possibly an old one.
  pub in_transit: [Option<u8>; BOXES],
  pub isolated: bool,
  /// Number of boxes replaced so far.
  pub replaced: u8,
}

pub struct Configuration {
  pub mutant: Mutant,
}

fn reachable(state: &State, from: usize, to: usize) -> bool {
  !state.isolated || (from == 2) == (to == 2)
}

impl Configuration {
  fn operators(&self, state: &State, next: &mut Vec<State>) {
    for operator in 0..state.read.len() {
      match state.read[operator] {
        None if state.stored < MAX_WRITES => {
          let mut after = state.clone();
          after.read[operator] = Some(state.stored);
          next.push(after);
        }
        Some(read) => {
          let mut after = state.clone();
          after.read[operator] = None;
          if read == state.stored {
            after.stored += 1;
          } else if self.mutant == Mutant::WritesUnconditionally && state.stored < MAX_WRITES {
            after.stored += 1;
            after.lost_update = true;
          }
          next.push(after);
        }
        None => {}
      }
    }
  }

  fn send(state: &State, to: usize, revision: u8, next: &mut Vec<State>) {
    if state.in_transit[to].is_none() {
      let mut after = state.clone();
      after.in_transit[to] = Some(revision);
      next.push(after);
    }
  }

  fn boxes(&self, state: &State, next: &mut Vec<State>) {
    for to in 0..BOXES {
      // The store's watch sends the stored revision; to the second hall only while it is not isolated.
      if to != 2 || !state.isolated {
        Self::send(state, to, state.stored, next);
      }
      for from in 0..BOXES {
        if let Some(revision) = state.applied[from]
          && from != to
          && reachable(state, from, to)
        {
          Self::send(state, to, revision, next);
        }
      }
      if let Some(revision) = state.in_transit[to] {
        let mut after = state.clone();
        after.in_transit[to] = None;
        let newer = state.applied[to].is_none_or(|applied| revision > applied);
        if newer || self.mutant == Mutant::AppliesOlder {
          after.applied[to] = Some(revision);
        }
        next.push(after);
      }
      if let Some(revision) = state.applied[to] {
        let mut after = state.clone();
        after.shown[to] = after.shown[to].max(revision);
        if after != *state {
          next.push(after);
        }
      }
    }
  }
}

impl Configuration {
  /// Explores all states.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Configuration {
  type State = State;

  fn initial_state(&self) -> State {
    State {
      applied: [Some(0); BOXES],
      isolated: false,
      lost_update: false,
      in_transit: [None; BOXES],
      read: [None; 2],
      replaced: 0,
      shown: [0; BOXES],
      stored: 0,
    }
  }

  fn successors(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    self.operators(state, &mut next);
    self.boxes(state, &mut next);
    let mut toggled = state.clone();
    toggled.isolated = !state.isolated;
    next.push(toggled);
    if state.replaced < MAX_REPLACEMENTS {
      for index in 0..BOXES {
        let mut after = state.clone();
        after.replaced += 1;
        after.shown[index] = 0;
        after.applied[index] = None;
        next.push(after);
      }
    }
    next
  }

  fn violation(&self, state: &State) -> Option<&'static str> {
    if state.lost_update {
      return Some("no accepted write is lost");
    }
    let decreased = (0..BOXES)
      .any(|index| state.applied[index].is_some_and(|applied| applied < state.shown[index]));
    decreased.then_some("the revisions of a box never decrease")
  }
}
