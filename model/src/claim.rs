//! At-most-once execution by claims: lost responses to writes, crashes, pauses, the caller's retries.

use crate::{Exploration, Spec, explore};

/// A change to the rules that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The unchanged rules.
  None,
  /// A box takes over the claim of a crashed box.
  TakesOverClaim,
  /// A lost response to a write counts as success.
  TrustsLostResponse,
  /// The claim is released although the work may have run.
  ReleasesWhenUncertain,
  /// "Not run" is reported although the command was sent.
  ReportsNotRunWhenUncertain,
}

/// The progress of one try of the caller, at its own box.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
  Unsent,
  /// The write of the claim is in transit.
  Writing,
  /// The response to the write was lost; the claim is read back.
  ReadingBack,
  /// The claim is held; no command has been sent.
  Claimed,
  /// The command has been sent.
  Dispatched,
  /// The caller has got the answer.
  Answered,
  /// The caller has got "not run".
  NotRun,
  /// The caller has got "unknown", or the box has crashed.
  Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Write {
  None,
  /// In transit; it may still take effect.
  Pending,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Try {
  pub phase: Phase,
  /// The write of its claim.
  pub write: Write,
  /// Whether its command reached the service and ran.
  pub ran: bool,
  /// Whether its command is still in transit.
  pub command_pending: bool,
  /// Whether its claim is to be released.
  pub releasing: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// The try whose claim is stored.
  pub stored: Option<usize>,
  /// Tries with the same key, each at a box of its own.
  pub tries: [Try; 3],
}

pub struct Claim {
  pub mutant: Mutant,
}

impl State {
  fn set(&self, index: usize, change: impl FnOnce(&mut Try)) -> Self {
    let mut next = self.clone();
    change(&mut next.tries[index]);
    next
  }
}

impl Claim {
  fn try_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.tries[index];
    // A write in transit may take effect at any time, even after its box has timed out.
    if own.write == Write::Pending {
      let mut after = state.set(index, |own| own.write = Write::None);
      if after.stored.is_none() {
        after.stored = Some(index);
      }
      if own.phase == Phase::Writing {
        let won = after.stored == Some(index);
        // The response arrives, or is lost.
        next.push(after.set(index, |own| {
          own.phase = if won { Phase::Claimed } else { Phase::NotRun }
        }));
        next.push(after.set(index, |own| own.phase = Phase::ReadingBack));
      } else {
        next.push(after);
      }
      // The write is lost.
      let lost = state.set(index, |own| own.write = Write::None);
      next.push(if own.phase == Phase::Writing {
        lost.set(index, |own| own.phase = Phase::ReadingBack)
      } else {
        lost
      });
    }
    // A command in transit runs, possibly late, or is lost.
    if own.command_pending {
      next.push(state.set(index, |own| {
        own.command_pending = false;
        own.ran = true;
      }));
      next.push(state.set(index, |own| own.command_pending = false));
    }
    match own.phase {
      Phase::Unsent => next.push(state.set(index, |own| {
        own.phase = Phase::Writing;
        own.write = Write::Pending;
      })),
      Phase::Writing => {
        // The box times out while the write is in transit.
        next.push(state.set(index, |own| own.phase = Phase::ReadingBack));
      }
      Phase::ReadingBack => self.read_back(state, index, next),
      Phase::Claimed => {
        // The caller has disconnected before anything was sent: the claim is released.
        next.push(state.set(index, |own| {
          own.phase = Phase::NotRun;
          own.releasing = true;
        }));
        next.push(state.set(index, |own| {
          own.phase = Phase::Dispatched;
          own.command_pending = true;
        }));
        next.push(state.set(index, |own| own.phase = Phase::Unknown));
      }
      Phase::Dispatched => self.dispatched(state, index, next),
      Phase::Answered | Phase::NotRun | Phase::Unknown => {}
    }
    if own.releasing {
      let mut after = state.clone();
      if after.stored == Some(index) {
        after.stored = None;
      }
      next.push(after);
    }
    if self.mutant == Mutant::TakesOverClaim
      && own.phase == Phase::Unsent
      && let Some(other) = state.stored
      && state.tries[other].phase == Phase::Unknown
    {
      let mut after = state.set(index, |own| own.phase = Phase::Claimed);
      after.stored = Some(index);
      next.push(after);
    }
  }

  fn read_back(&self, state: &State, index: usize, next: &mut Vec<State>) {
    if self.mutant == Mutant::TrustsLostResponse {
      next.push(state.set(index, |own| own.phase = Phase::Claimed));
      return;
    }
    match state.stored {
      Some(holder) if holder == index => {
        next.push(state.set(index, |own| own.phase = Phase::Claimed));
      }
      Some(_) => next.push(state.set(index, |own| own.phase = Phase::NotRun)),
      None => {}
    }
    // The store can't be reached: "not run" is reported, and a late write is to be released.
    next.push(state.set(index, |own| {
      own.phase = Phase::NotRun;
      own.releasing = true;
    }));
  }

  fn dispatched(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.tries[index];
    if own.ran {
      next.push(state.set(index, |own| own.phase = Phase::Answered));
    }
    // The connection was refused, which proves that the work never began.
    if !own.ran && !own.command_pending {
      next.push(state.set(index, |own| {
        own.phase = Phase::NotRun;
        own.releasing = true;
      }));
    }
    // The response is lost, or the box crashes.
    let uncertain = match self.mutant {
      Mutant::ReportsNotRunWhenUncertain => Phase::NotRun,
      _ => Phase::Unknown,
    };
    let releases = self.mutant == Mutant::ReleasesWhenUncertain;
    next.push(state.set(index, |own| {
      own.phase = uncertain;
      own.releasing = releases;
    }));
  }
}

impl Claim {
  /// Explores all states.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Claim {
  type State = State;

  fn initial_state(&self) -> State {
    let unsent = Try {
      command_pending: false,
      phase: Phase::Unsent,
      ran: false,
      releasing: false,
      write: Write::None,
    };
    State {
      stored: None,
      tries: [unsent; 3],
    }
  }

  fn successors(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..state.tries.len() {
      self.try_steps(state, index, &mut next);
    }
    next
  }

  fn violation(&self, state: &State) -> Option<&'static str> {
    let ran = state.tries.iter().filter(|own| own.ran).count();
    if ran > 1 {
      return Some("run at most once");
    }
    let answered = state
      .tries
      .iter()
      .filter(|own| own.phase == Phase::Answered)
      .count();
    if answered > 1 {
      return Some("answered at most once");
    }
    let false_not_run = state
      .tries
      .iter()
      .any(|own| own.phase == Phase::NotRun && (own.ran || own.command_pending));
    false_not_run.then_some("work reported as not run never runs")
  }
}
