//! Two attempts, one answer: orders and cancels that overtake each other, lost cancels, late chunks,
//! a caller who leaves, a box that dies.

use crate::{Exploration, Spec, explore};

/// A change to the rules that the search must find out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The rules as they are.
  None,
  /// Engines forget a cancel for an attempt that they do not know yet.
  NoTombstone,
  /// A cancel is sent once, not until acknowledged.
  CancelsOnce,
  /// Chunks of an abandoned attempt are joined.
  JoinsAnyAttempt,
  /// The home never sweeps.
  NoSweep,
  /// A second attempt begins while the first still counts.
  TwoLive,
}

/// An attempt at its engine, with what is on its way.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Attempt {
  /// Its order has been sent.
  pub sent: bool,
  /// Its order is on its way.
  pub order_pending: bool,
  /// Its cancel is on its way.
  pub cancel_pending: bool,
  /// The box wants it cancelled and has no acknowledgement.
  pub cancelling: bool,
  /// The engine holds memory for it.
  pub held: bool,
  /// The engine has finished it.
  pub finished: bool,
  /// The engine refuses it if its order comes.
  pub tombstone: bool,
  /// Its final chunk is on its way.
  pub chunk_pending: bool,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// The attempts; at most two.
  pub attempts: [Attempt; 2],
  /// The one whose chunks count.
  pub live: Option<usize>,
  /// Whether the caller still waits.
  pub waiting: bool,
  /// Whether the box lives.
  pub box_lives: bool,
  /// Normal ends told to the caller.
  pub answers: u8,
  /// Losses that may still happen.
  pub losses: u8,
}

/// The specification.
pub struct Attempts {
  /// The change to the rules.
  pub mutant: Mutant,
}

impl State {
  fn set(&self, index: usize, change: impl FnOnce(&mut Attempt)) -> Self {
    let mut next = self.clone();
    change(&mut next.attempts[index]);
    next
  }

  /// Leaves the live attempt: its cancel goes out.
  fn leave(&self) -> Self {
    let mut next = self.clone();
    if let Some(index) = next.live.take() {
      next.attempts[index].cancelling = true;
      next.attempts[index].cancel_pending = true;
    }
    next
  }
}

impl Attempts {
  fn messages(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.attempts[index];
    if own.order_pending {
      next.push(state.set(index, |own| {
        own.order_pending = false;
        own.held = !own.tombstone;
      }));
    }
    if own.held && !own.finished {
      next.push(state.set(index, |own| {
        own.held = false;
        own.finished = true;
        own.chunk_pending = true;
      }));
    }
    if own.cancel_pending {
      let arrived = state.set(index, |own| {
        own.cancel_pending = false;
        own.held = false;
        own.tombstone = self.mutant != Mutant::NoTombstone;
      });
      // Its answer comes, or is lost with the cancel itself having had its effect.
      next.push(arrived.set(index, |own| own.cancelling = false));
      if state.losses > 0 {
        let mut lost = state.set(index, |own| own.cancel_pending = false);
        lost.losses -= 1;
        next.push(lost);
        let mut answer_lost = arrived;
        answer_lost.losses -= 1;
        next.push(answer_lost);
      }
    }
    if own.chunk_pending {
      let mut after = state.set(index, |own| own.chunk_pending = false);
      let is_live = state.live == Some(index) && state.waiting;
      if state.box_lives && (is_live || self.mutant == Mutant::JoinsAnyAttempt) {
        after.answers += 1;
        after.live = after.live.filter(|live| *live != index);
        after.waiting = false;
      }
      next.push(after);
    }
  }

  fn box_steps(&self, state: &State, next: &mut Vec<State>) {
    // A first or second attempt is ordered.
    let unsent = state.attempts.iter().position(|own| !own.sent);
    let may_order = state.live.is_none() || self.mutant == Mutant::TwoLive;
    if state.waiting
      && may_order
      && state.answers == 0
      && let Some(index) = unsent
    {
      let mut ordered = state.set(index, |own| {
        own.sent = true;
        own.order_pending = true;
      });
      ordered.live = Some(index);
      next.push(ordered);
    }
    // The live attempt seems stalled, or the caller leaves.
    if state.live.is_some() && state.waiting {
      next.push(state.leave());
    }
    if state.waiting {
      let mut left = state.leave();
      left.waiting = false;
      next.push(left);
    }
    // Cancels are repeated until acknowledged.
    if self.mutant != Mutant::CancelsOnce {
      for (index, own) in state.attempts.iter().enumerate() {
        if own.cancelling && !own.cancel_pending {
          next.push(state.set(index, |own| own.cancel_pending = true));
        }
      }
    }
    let mut dead = state.clone();
    dead.box_lives = false;
    dead.waiting = false;
    next.push(dead);
  }
}

impl Attempts {
  /// Explores the specification in full.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Attempts {
  type State = State;

  fn start(&self) -> State {
    State {
      answers: 0,
      attempts: [Attempt::default(); 2],
      box_lives: true,
      live: None,
      losses: 2,
      waiting: true,
    }
  }

  fn steps(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..state.attempts.len() {
      self.messages(state, index, &mut next);
    }
    if state.box_lives {
      self.box_steps(state, &mut next);
    } else if self.mutant != Mutant::NoSweep {
      // The holds lapse, and the engine's home cancels what nobody holds on to.
      for index in 0..state.attempts.len() {
        let own = state.attempts[index];
        if own.held || own.cancelling || own.order_pending {
          next.push(state.set(index, |own| {
            own.held = false;
            own.cancelling = false;
            own.tombstone = true;
          }));
        }
      }
    }
    next
  }

  fn broken(&self, state: &State) -> Option<&'static str> {
    if state.answers > 1 {
      return Some("answered at most once");
    }
    let live = state
      .attempts
      .iter()
      .filter(|own| own.sent && !own.cancelling && own.held)
      .count();
    if live > 1 && state.waiting {
      return Some("one live attempt");
    }
    let held = state.attempts.iter().any(|own| own.held);
    (held && self.is_final(state)).then_some("nothing held when all is quiet")
  }
}

impl Attempts {
  /// Whether nothing is on its way or will be done any more about what is held.
  fn is_final(&self, state: &State) -> bool {
    let on_the_way = state
      .attempts
      .iter()
      .any(|own| own.order_pending || own.cancel_pending || own.chunk_pending);
    if on_the_way || state.waiting || (state.live.is_some() && state.box_lives) {
      return false;
    }
    if !state.box_lives {
      return self.mutant == Mutant::NoSweep;
    }
    let cancelling = state.attempts.iter().any(|own| own.cancelling);
    !cancelling || self.mutant == Mutant::CancelsOnce
  }
}
