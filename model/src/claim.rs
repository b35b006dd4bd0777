//! At most once: a claim written once, lost write answers, crashes, pauses, the caller's retries.

use crate::{Exploration, Spec, explore};

/// A change to the rules that the search must find out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The rules as they are.
  None,
  /// A box takes over the claim of another that crashed.
  TakesOver,
  /// A lost answer counts as success.
  TrustsLostAnswer,
  /// The claim is released although the work may have run.
  ReleasesInDoubt,
  /// "Not run" is told after the order left.
  TellsNotRunInDoubt,
}

/// How far one try of the caller has come, at its own box.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
  /// Not sent yet.
  Unsent,
  /// The claim's write is on its way.
  Writing,
  /// The write's answer was lost: it is read back.
  ReadingBack,
  /// The claim is held; no order has left.
  Claimed,
  /// The order has left.
  Ordered,
  /// The caller was told the answer.
  Answered,
  /// The caller was told "not run".
  NotRun,
  /// The caller was told "unknown", or the box crashed under it.
  Unknown,
}

/// Where a write is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Write {
  /// There is none.
  None,
  /// On its way; it may still take effect.
  Pending,
}

/// One try.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Try {
  /// How far it has come.
  pub phase: Phase,
  /// Its claim's write.
  pub write: Write,
  /// Whether its order reached the service and ran.
  pub ran: bool,
  /// Whether its order is still on its way.
  pub order_pending: bool,
  /// Whether its own claim is to be released.
  pub releasing: bool,
}

/// A state: the claim's holder, the tries, and how often the work ran.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// Whose claim is stored.
  pub stored: Option<usize>,
  /// The tries with the same key, each at its own box.
  pub tries: [Try; 3],
}

/// The specification.
pub struct Claim {
  /// The change to the rules.
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
  fn steps_of(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.tries[index];
    // A write on its way may take effect at any time, also after its box gave up on it.
    if own.write == Write::Pending {
      let mut after = state.set(index, |own| own.write = Write::None);
      if after.stored.is_none() {
        after.stored = Some(index);
      }
      if own.phase == Phase::Writing {
        let won = after.stored == Some(index);
        // The answer comes, or is lost.
        next.push(after.set(index, |own| {
          own.phase = if won { Phase::Claimed } else { Phase::NotRun }
        }));
        next.push(after.set(index, |own| own.phase = Phase::ReadingBack));
      } else {
        next.push(after);
      }
      // It may never take effect.
      let lost = state.set(index, |own| own.write = Write::None);
      next.push(if own.phase == Phase::Writing {
        lost.set(index, |own| own.phase = Phase::ReadingBack)
      } else {
        lost
      });
    }
    // An order on its way runs, or is lost; a pause makes it late.
    if own.order_pending {
      next.push(state.set(index, |own| {
        own.order_pending = false;
        own.ran = true;
      }));
      next.push(state.set(index, |own| own.order_pending = false));
    }
    match own.phase {
      Phase::Unsent => next.push(state.set(index, |own| {
        own.phase = Phase::Writing;
        own.write = Write::Pending;
      })),
      Phase::Writing => {
        // The box gives up waiting while the write is still on its way.
        next.push(state.set(index, |own| own.phase = Phase::ReadingBack));
      }
      Phase::ReadingBack => self.read_back(state, index, next),
      Phase::Claimed => {
        // The caller has left: nothing was sent, the claim goes.
        next.push(state.set(index, |own| {
          own.phase = Phase::NotRun;
          own.releasing = true;
        }));
        next.push(state.set(index, |own| {
          own.phase = Phase::Ordered;
          own.order_pending = true;
        }));
        next.push(state.set(index, |own| own.phase = Phase::Unknown));
      }
      Phase::Ordered => self.ordered(state, index, next),
      Phase::Answered | Phase::NotRun | Phase::Unknown => {}
    }
    if own.releasing {
      let mut after = state.clone();
      if after.stored == Some(index) {
        after.stored = None;
      }
      next.push(after);
    }
    if self.mutant == Mutant::TakesOver
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
    if self.mutant == Mutant::TrustsLostAnswer {
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
    // The service can't be reached: told "not run", and a late write is to be released.
    next.push(state.set(index, |own| {
      own.phase = Phase::NotRun;
      own.releasing = true;
    }));
  }

  fn ordered(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.tries[index];
    if own.ran {
      next.push(state.set(index, |own| own.phase = Phase::Answered));
    }
    // The connection was refused: proof that it never began.
    if !own.ran && !own.order_pending {
      next.push(state.set(index, |own| {
        own.phase = Phase::NotRun;
        own.releasing = true;
      }));
    }
    // The answer is lost, or the box crashes.
    let in_doubt = match self.mutant {
      Mutant::TellsNotRunInDoubt => Phase::NotRun,
      _ => Phase::Unknown,
    };
    let releases = self.mutant == Mutant::ReleasesInDoubt;
    next.push(state.set(index, |own| {
      own.phase = in_doubt;
      own.releasing = releases;
    }));
  }
}

impl Claim {
  /// Explores the specification in full.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Claim {
  type State = State;

  fn start(&self) -> State {
    let unsent = Try {
      order_pending: false,
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

  fn steps(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..state.tries.len() {
      self.steps_of(state, index, &mut next);
    }
    next
  }

  fn broken(&self, state: &State) -> Option<&'static str> {
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
    let lied = state
      .tries
      .iter()
      .any(|own| own.phase == Phase::NotRun && (own.ran || own.order_pending));
    lied.then_some("\"not run\" did not run and will not")
  }
}
