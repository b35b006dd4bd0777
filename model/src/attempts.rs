//! At most two attempts for one answer: reordered commands and cancels, lost cancels, late chunks, a caller that
//! disconnects, a box that crashes.

use crate::{Exploration, Spec, explore};

/// A change to the rules that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The unchanged rules.
  None,
  /// Engines do not remember a cancel of an attempt that they do not know yet.
  NoTombstone,
  /// A cancel is sent once and not repeated until acknowledged.
  CancelsOnce,
  /// Chunks of an abandoned attempt are accepted.
  AcceptsAnyAttempt,
  /// The owner of an engine cancels no orphans.
  NoSweep,
  /// A second attempt begins while the first is live.
  TwoLive,
}

/// An attempt at its engine, with its messages in transit.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Attempt {
  /// Its command has been sent.
  pub sent: bool,
  /// Its command is in transit.
  pub command_pending: bool,
  /// Its cancel is in transit.
  pub cancel_pending: bool,
  /// The box cancels it and has no acknowledgement yet.
  pub cancelling: bool,
  /// The engine holds memory for it.
  pub held: bool,
  /// The engine has finished it.
  pub finished: bool,
  /// The engine rejects its command if it arrives.
  pub tombstone: bool,
  /// Its final chunk is in transit.
  pub chunk_pending: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  pub attempts: [Attempt; 2],
  /// The attempt whose chunks are accepted.
  pub live: Option<usize>,
  pub waiting: bool,
  pub box_live: bool,
  /// Complete answers to the caller.
  pub answers: u8,
  /// Losses that may still occur.
  pub losses: u8,
}

pub struct Attempts {
  pub mutant: Mutant,
}

impl State {
  fn set(&self, index: usize, change: impl FnOnce(&mut Attempt)) -> Self {
    let mut next = self.clone();
    change(&mut next.attempts[index]);
    next
  }

  /// Abandons the live attempt and sends its cancel.
  fn abandon(&self) -> Self {
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
    if own.command_pending {
      next.push(state.set(index, |own| {
        own.command_pending = false;
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
      // The acknowledgement arrives, the cancel is lost, or the acknowledgement is lost.
      next.push(arrived.set(index, |own| own.cancelling = false));
      if state.losses > 0 {
        let mut lost = state.set(index, |own| own.cancel_pending = false);
        lost.losses -= 1;
        next.push(lost);
        let mut response_lost = arrived;
        response_lost.losses -= 1;
        next.push(response_lost);
      }
    }
    if own.chunk_pending {
      let mut after = state.set(index, |own| own.chunk_pending = false);
      let is_live = state.live == Some(index) && state.waiting;
      if state.box_live && (is_live || self.mutant == Mutant::AcceptsAnyAttempt) {
        after.answers += 1;
        after.live = after.live.filter(|live| *live != index);
        after.waiting = false;
      }
      next.push(after);
    }
  }

  fn box_steps(&self, state: &State, next: &mut Vec<State>) {
    // A first or second attempt is sent.
    let unsent = state.attempts.iter().position(|own| !own.sent);
    let may_send = state.live.is_none() || self.mutant == Mutant::TwoLive;
    if state.waiting
      && may_send
      && state.answers == 0
      && let Some(index) = unsent
    {
      let mut sent = state.set(index, |own| {
        own.sent = true;
        own.command_pending = true;
      });
      sent.live = Some(index);
      next.push(sent);
    }
    // The live attempt seems stalled.
    if state.live.is_some() && state.waiting {
      next.push(state.abandon());
    }
    if state.waiting {
      let mut disconnected = state.abandon();
      disconnected.waiting = false;
      next.push(disconnected);
    }
    if self.mutant != Mutant::CancelsOnce {
      for (index, own) in state.attempts.iter().enumerate() {
        if own.cancelling && !own.cancel_pending {
          next.push(state.set(index, |own| own.cancel_pending = true));
        }
      }
    }
    let mut crashed = state.clone();
    crashed.box_live = false;
    crashed.waiting = false;
    next.push(crashed);
  }
}

impl Attempts {
  /// Explores all states.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Attempts {
  type State = State;

  fn initial_state(&self) -> State {
    State {
      answers: 0,
      attempts: [Attempt::default(); 2],
      box_live: true,
      live: None,
      losses: 2,
      waiting: true,
    }
  }

  fn successors(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..state.attempts.len() {
      self.messages(state, index, &mut next);
    }
    if state.box_live {
      self.box_steps(state, &mut next);
    } else if self.mutant != Mutant::NoSweep {
      // The holds expire, and the engine's owner cancels the orphans.
      for index in 0..state.attempts.len() {
        let own = state.attempts[index];
        if own.held || own.cancelling || own.command_pending {
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

  fn violation(&self, state: &State) -> Option<&'static str> {
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
    (held && self.is_quiescent(state)).then_some("no memory held once idle")
  }
}

impl Attempts {
  /// Whether nothing is in transit, and nothing more will be done to free what is held.
  fn is_quiescent(&self, state: &State) -> bool {
    let in_transit = state
      .attempts
      .iter()
      .any(|own| own.command_pending || own.cancel_pending || own.chunk_pending);
    if in_transit || state.waiting || (state.live.is_some() && state.box_live) {
      return false;
    }
    if !state.box_live {
      return self.mutant == Mutant::NoSweep;
    }
    let cancelling = state.attempts.iter().any(|own| own.cancelling);
    !cancelling || self.mutant == Mutant::CancelsOnce
  }
}
