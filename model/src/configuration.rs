//! Configuration that only goes forward: two operators, boxes that are replaced, halls that are cut.

use crate::{Exploration, Spec, explore};

const BOXES: usize = 3;
const MOST_WRITES: u8 = 2;
const MOST_REPLACEMENTS: u8 = 1;

/// A change to the rules that the search must find out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The rules as they are.
  None,
  /// Boxes apply whatever they hear, also what is older.
  AppliesAnything,
  /// Operators' writes compare nothing.
  WritesBlindly,
}

/// A state. Box 0 and 1 are in one hall, box 2 in another, which can be cut off.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// The revision stored; each write raises it.
  pub stored: u8,
  /// The revision that each operator has read, while it is writing.
  pub read: [Option<u8>; 2],
  /// The revision on which each accepted write was based.
  pub lost_update: bool,
  /// The revision that each box applies; none while it is not ready.
  pub applied: [Option<u8>; BOXES],
  /// The highest revision that each box has shown in its present life.
  pub shown: [u8; BOXES],
  /// A message with a revision on its way to each box, possibly old.
  pub on_the_way: [Option<u8>; BOXES],
  /// Whether the second hall is cut off.
  pub cut: bool,
  /// Replacements so far.
  pub replaced: u8,
}

/// The specification.
pub struct Configuration {
  /// The change to the rules.
  pub mutant: Mutant,
}

fn reachable(state: &State, from: usize, to: usize) -> bool {
  !state.cut || (from == 2) == (to == 2)
}

impl Configuration {
  fn operators(&self, state: &State, next: &mut Vec<State>) {
    for operator in 0..state.read.len() {
      match state.read[operator] {
        None if state.stored < MOST_WRITES => {
          let mut after = state.clone();
          after.read[operator] = Some(state.stored);
          next.push(after);
        }
        Some(read) => {
          let mut after = state.clone();
          after.read[operator] = None;
          if read == state.stored {
            after.stored += 1;
          } else if self.mutant == Mutant::WritesBlindly && state.stored < MOST_WRITES {
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
    if state.on_the_way[to].is_none() {
      let mut after = state.clone();
      after.on_the_way[to] = Some(revision);
      next.push(after);
    }
  }

  fn boxes(&self, state: &State, next: &mut Vec<State>) {
    for to in 0..BOXES {
      // A watch tells the revision stored; the second hall's only while it is not cut off.
      if to != 2 || !state.cut {
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
      if let Some(revision) = state.on_the_way[to] {
        let mut after = state.clone();
        after.on_the_way[to] = None;
        let newer = state.applied[to].is_none_or(|applied| revision > applied);
        if newer || self.mutant == Mutant::AppliesAnything {
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
  /// Explores the specification in full.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Configuration {
  type State = State;

  fn start(&self) -> State {
    State {
      applied: [Some(0); BOXES],
      cut: false,
      lost_update: false,
      on_the_way: [None; BOXES],
      read: [None; 2],
      replaced: 0,
      shown: [0; BOXES],
      stored: 0,
    }
  }

  fn steps(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    self.operators(state, &mut next);
    self.boxes(state, &mut next);
    let mut toggled = state.clone();
    toggled.cut = !state.cut;
    next.push(toggled);
    if state.replaced < MOST_REPLACEMENTS {
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

  fn broken(&self, state: &State) -> Option<&'static str> {
    if state.lost_update {
      return Some("no accepted write is lost");
    }
    let back = (0..BOXES)
      .any(|index| state.applied[index].is_some_and(|applied| applied < state.shown[index]));
    back.then_some("a box never goes back")
  }
}
