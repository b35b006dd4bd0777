//! One steward by lease and fence: pauses, lapses, orders that arrive late.

use crate::{Exploration, Spec, explore};

/// Ticks that a lease lasts at the service.
const LEASE: u8 = 3;
/// Ticks before the end at which the holder stops sending.
const MARGIN: u8 = 1;
/// Ticks that an order may be on its way.
const MESSAGE_LIFE: u8 = 1;
const END: u8 = 8;

/// A change to the rules that the search must find out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
  /// The rules as they are.
  None,
  /// Engines that should check fences do not, and the holder checks no clock.
  NoFence,
  /// For engines that check nothing: the holder sends up to the very end of its lease.
  NoMargin,
  /// For engines that check nothing: the holder does not look at its clock before it sends.
  NoClock,
}

/// One box as steward.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Steward {
  /// The fence that it believes to hold.
  pub fence: Option<u8>,
  /// When its lease ends, on its own clock, margin included.
  pub stops_at: u8,
  /// Whether it is paused.
  pub paused: bool,
}

/// An order on its way.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Order {
  /// Its fence.
  pub fence: u8,
  /// When it was sent.
  pub sent_at: u8,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
  /// Time.
  pub now: u8,
  /// Who holds the key at the service, and until when.
  pub holder: Option<(usize, u8)>,
  /// The fence given last.
  pub fence: u8,
  /// The boxes.
  pub stewards: [Steward; 2],
  /// An order on its way from each.
  pub orders: [Option<Order>; 2],
  /// The highest fence that the engine has obeyed.
  pub obeyed: u8,
  /// Whether the engine obeyed an order older than that.
  pub obeyed_old: bool,
}

/// The specification.
pub struct Leadership {
  /// The change to the rules.
  pub mutant: Mutant,
  /// Whether the engine refuses old fences.
  pub engine_checks: bool,
}

impl Leadership {
  fn margin(&self) -> u8 {
    match self.mutant {
      Mutant::NoMargin => 0,
      _ => MARGIN,
    }
  }

  fn looks_at_clock(&self) -> bool {
    !matches!(self.mutant, Mutant::NoClock | Mutant::NoFence)
  }

  fn steward_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let own = state.stewards[index];
    let mut toggled = state.clone();
    toggled.stewards[index].paused = !own.paused;
    next.push(toggled);
    if own.paused {
      return;
    }
    if state.holder.is_none() {
      let mut after = state.clone();
      after.fence += 1;
      after.holder = Some((index, state.now + LEASE));
      after.stewards[index].fence = Some(after.fence);
      after.stewards[index].stops_at = state.now + LEASE - self.margin();
      next.push(after);
    }
    if let Some(fence) = own.fence {
      let in_time = state.now < own.stops_at;
      if (in_time || !self.looks_at_clock()) && state.orders[index].is_none() {
        let mut after = state.clone();
        after.orders[index] = Some(Order {
          fence,
          sent_at: state.now,
        });
        next.push(after);
      }
    }
  }

  fn deliver(&self, state: &State, index: usize, next: &mut Vec<State>) {
    let Some(order) = state.orders[index] else {
      return;
    };
    let mut after = state.clone();
    after.orders[index] = None;
    let refused =
      self.engine_checks && self.mutant != Mutant::NoFence && order.fence < state.obeyed;
    if !refused {
      after.obeyed_old |= order.fence < state.obeyed;
      after.obeyed = state.obeyed.max(order.fence);
    }
    next.push(after);
  }
}

impl Leadership {
  /// Explores the specification in full.
  pub fn check(&self) -> Exploration<State> {
    explore(self)
  }
}

impl Spec for Leadership {
  type State = State;

  fn start(&self) -> State {
    let idle = Steward {
      fence: None,
      paused: false,
      stops_at: 0,
    };
    State {
      fence: 0,
      holder: None,
      now: 0,
      obeyed: 0,
      obeyed_old: false,
      orders: [None; 2],
      stewards: [idle; 2],
    }
  }

  fn steps(&self, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..2 {
      self.steward_steps(state, index, &mut next);
      self.deliver(state, index, &mut next);
    }
    // Time passes only while no order outlives its life; engines that check need no such bound.
    let overdue = state
      .orders
      .iter()
      .flatten()
      .any(|order| state.now >= order.sent_at + MESSAGE_LIFE);
    let bounded = !self.engine_checks && overdue;
    if state.now < END && !bounded {
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

  fn broken(&self, state: &State) -> Option<&'static str> {
    state
      .obeyed_old
      .then_some("no order of an old steward after one of a new")
  }
}
