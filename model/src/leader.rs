//! A single role leader by lease and fence: pauses, expired leases, late commands.

use crate::{Exploration, Spec, explore};

/// Time to live of a lease in the store.
const LEASE_TICKS: u8 = 3;
/// Time before the end of its lease at which a leader stops sending.
const MARGIN_TICKS: u8 = 1;
/// Longest time in transit of a command.
const MAX_TRANSIT_TICKS: u8 = 1;
/// Last tick that is explored.
const END_TICK: u8 = 8;

/// A change to the rules that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The unchanged rules.
  None,
  /// Engines that should check fences do not, and leaders do not check their clock.
  NoFence,
  /// For engines that check no fences: leaders send until the end of their lease.
  NoMargin,
  /// For engines that check no fences: leaders do not check their clock before they send.
  NoClock,
}

/// A box that may be the leader.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Leader {
  /// The fence of the lease that it believes to hold.
  pub fence: Option<u8>,
  /// End of its lease minus the margin, on its own clock.
  pub stops_at: u8,
  pub paused: bool,
}

/// A command in transit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Command {
  pub fence: u8,
  pub sent_at: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  pub now: u8,
  /// The holder of the lease in the store, and the end of the lease.
  pub holder: Option<(usize, u8)>,
  /// The last fence that the store has issued.
  pub fence: u8,
  pub leaders: [Leader; 2],
  /// A command in transit from each box.
  pub commands: [Option<Command>; 2],
  /// The highest fence that the engine has obeyed.
  pub highest_obeyed: u8,
  /// Whether the engine has obeyed a command with a lower fence after that.
  pub obeyed_stale: bool,
}

pub struct Leadership {
  pub mutant: Mutant,
  /// Whether engines reject old fences.
  pub engine_checks: bool,
}

impl Leadership {
  fn margin_ticks(&self) -> u8 {
    match self.mutant {
      Mutant::NoMargin => 0,
      _ => MARGIN_TICKS,
    }
  }

  fn checks_clock(&self) -> bool {
    !matches!(self.mutant, Mutant::NoClock | Mutant::NoFence)
  }

  fn leader_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.leaders[index];
    let mut toggled = state.clone();
    toggled.leaders[index].paused = !own.paused;
    next.push(toggled);
    if own.paused {
      return;
    }
    if state.holder.is_none() {
      let mut after = state.clone();
      after.fence += 1;
      after.holder = Some((index, state.now + LEASE_TICKS));
      after.leaders[index].fence = Some(after.fence);
      after.leaders[index].stops_at = state.now + LEASE_TICKS - self.margin_ticks();
      next.push(after);
    }
    if let Some(fence) = own.fence {
      let in_time = state.now < own.stops_at;
      if (in_time || !self.checks_clock()) && state.commands[index].is_none() {
        let mut after = state.clone();
        after.commands[index] = Some(Command {
          fence,
          sent_at: state.now,
        });
        next.push(after);
      }
    }
  }

  fn deliver(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let Some(command) = state.commands[index] else {
      return;
    };
    let mut after = state.clone();
    after.commands[index] = None;
    let rejected =
      self.engine_checks && self.mutant != Mutant::NoFence && command.fence < state.highest_obeyed;
    if !rejected {
      after.obeyed_stale |= command.fence < state.highest_obeyed;
      after.highest_obeyed = state.highest_obeyed.max(command.fence);
    }
    next.push(after);
  }
}

impl Leadership {
  /// Explores all states.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Leadership {
  type State = State;

  fn initial_state(&self) -> State {
    let idle = Leader {
      fence: None,
      paused: false,
      stops_at: 0,
    };
    State {
      fence: 0,
      holder: None,
      now: 0,
      highest_obeyed: 0,
      obeyed_stale: false,
      commands: [None; 2],
      leaders: [idle; 2],
    }
  }

  fn successors(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..2 {
      self.leader_steps(state, index, &mut next);
      self.deliver(state, index, &mut next);
    }
    // For engines that check no fences, time stands still while a command has reached its longest time in transit.
    let overdue = state
      .commands
      .iter()
      .flatten()
      .any(|command| state.now >= command.sent_at + MAX_TRANSIT_TICKS);
    let bounded = !self.engine_checks && overdue;
    if state.now < END_TICK && !bounded {
      let mut after = state.clone();
      after.now += 1;
      if let Some((_, until)) = state.holder
        && after.now >= until
      {
        after.holder = None;
      }
      next.push(after);
    }
    next
  }

  fn violation(&self, state: &State) -> Option<&'static str> {
    state
      .obeyed_stale
      .then_some("no command of an old leader after one of a new leader")
  }
}
