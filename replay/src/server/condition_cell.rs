//! The faults that are in force at a server.

use {
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
  tokio::sync::watch,
};

/// How a server fails requests while it calls itself healthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GreyKind {
  /// Answers 500 after the work.
  Errors,
  /// Rejects with 503 and a promise.
  Shed,
  /// Rejects with 429 and a promise.
  Busy,
  /// Sends the start of an error answer, and nothing further.
  Hang,
  /// Resets the connection.
  Reset,
  /// Never answers.
  Mute,
  /// Works this many times as long.
  Slow(f64),
}

/// How answers are garbled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GarbleKind {
  /// Broken off, or bytes that are no answer stand instead of it, before it, within it or behind it.
  Broken,
  /// A second answer follows at once.
  Extra,
  /// A second answer comes in the place of the connection's next one.
  Late,
  /// The answer has neither a length nor chunks and ends with its connection.
  Unframed,
}

impl GarbleKind {
  /// The kind that the variant of an impairment names.
  pub fn of(how: &str) -> Self {
    let has = |word: &str| how.split_whitespace().any(|of| of == word);
    if has("late") {
      return Self::Late;
    }
    if has("extra") {
      return Self::Extra;
    }
    match has("unframed") {
      true => Self::Unframed,
      false => Self::Broken,
    }
  }
}

/// A fault of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
  /// The answers of a share of the requests that were run are lost with their connections.
  AnswersLost {
    /// The share, from 0 to 1.
    share: f64,
    /// Whether connections are reset instead of closed.
    resets: bool,
  },
  /// A share of the answers is garbled.
  Garbled {
    /// The share, from 0 to 1.
    share: f64,
    /// How.
    kind: GarbleKind,
  },
  /// A share of the requests fails.
  Grey {
    /// The share, from 0 to 1.
    share: f64,
    /// How.
    kind: GreyKind,
  },
  /// All work takes this many times as long.
  WorkSlowed(f64),
  /// Moves of memory take this many times as long.
  MovesSlowed(f64),
  /// Exported prompts lapse at once.
  HandlesLapse,
  /// A share of the orders gets no answer and is carried out seconds later.
  OrdersLate {
    /// The share, from 0 to 1.
    share: f64,
  },
  /// Nothing is read or sent; connections stay.
  Silent,
}

/// The faults that are in force at a server. Each lasts until its guard is dropped; overlapping ones end apart.
#[derive(Debug)]
pub struct ConditionCell {
  active: Mutex<(u64, Vec<(u64, Condition)>)>,
  /// Number of faults that silence the server.
  silences: watch::Sender<usize>,
}

impl Default for ConditionCell {
  fn default() -> Self {
    Self {
      active: Mutex::default(),
      silences: watch::Sender::new(0),
    }
  }
}

impl ConditionCell {
  /// Begins a fault.
  pub fn begin(self: &Arc<Self>, condition: Condition) -> ConditionGuard {
    let mut active = self.active();
    active.0 += 1;
    let number = active.0;
    active.1.push((number, condition));
    drop(active);
    if condition == Condition::Silent {
      self.silences.send_modify(|silences| *silences += 1);
    }
    ConditionGuard {
      cell: self.clone(),
      number,
    }
  }

  /// Whether nothing is read or sent.
  pub fn is_silent(&self) -> bool {
    *self.silences.borrow() > 0
  }

  /// Waits until the server reads and sends.
  pub(super) async fn wait_until_heard(&self) {
    let mut silences = self.silences.subscribe();
    while *silences.borrow_and_update() > 0 {
      if silences.changed().await.is_err() {
        return;
      }
    }
  }

  /// Draws whether an answer is lost; `Some(true)` by a reset.
  pub(super) fn draw_loss(&self, random: &mut ChaCha8Rng) -> Option<bool> {
    self.find(|condition| match condition {
      Condition::AnswersLost { share, resets } if is_drawn(share, random) => Some(resets),
      _ => None,
    })
  }

  /// Draws whether an answer is garbled.
  pub(super) fn draw_garble(&self, random: &mut ChaCha8Rng) -> Option<GarbleKind> {
    self.find(|condition| match condition {
      Condition::Garbled { share, kind } if is_drawn(share, random) => Some(kind),
      _ => None,
    })
  }

  /// Draws whether a request fails.
  pub(super) fn draw_grey(&self, random: &mut ChaCha8Rng) -> Option<GreyKind> {
    self.find(|condition| match condition {
      Condition::Grey { share, kind } if is_drawn(share, random) => Some(kind),
      _ => None,
    })
  }

  /// Draws whether an order is late.
  pub(super) fn draw_late_order(&self, random: &mut ChaCha8Rng) -> bool {
    let late = self.find(|condition| match condition {
      Condition::OrdersLate { share } if is_drawn(share, random) => Some(()),
      _ => None,
    });
    late.is_some()
  }

  /// How many times as long all work takes.
  pub(super) fn work_factor(&self) -> f64 {
    let slowed = |condition| match condition {
      Condition::WorkSlowed(factor) => factor,
      _ => 1.0,
    };
    self.factor(slowed)
  }

  /// How many times as long moves of memory take.
  pub(super) fn move_factor(&self) -> f64 {
    let slowed = |condition| match condition {
      Condition::MovesSlowed(factor) => factor,
      _ => 1.0,
    };
    self.factor(slowed)
  }

  /// Whether exported prompts lapse at once.
  pub(super) fn handles_lapse(&self) -> bool {
    let lapse = self.find(|condition| (condition == Condition::HandlesLapse).then_some(()));
    lapse.is_some()
  }

  fn factor(&self, of: impl Fn(Condition) -> f64) -> f64 {
    let active = self.active();
    active
      .1
      .iter()
      .map(|(_, condition)| of(*condition))
      .product()
  }

  fn find<T>(&self, of: impl FnMut(Condition) -> Option<T>) -> Option<T> {
    let active = self.active();
    active
      .1
      .iter()
      .map(|(_, condition)| *condition)
      .find_map(of)
  }

  fn active(&self) -> MutexGuard<'_, (u64, Vec<(u64, Condition)>)> {
    // Each change is one push or removal.
    self.active.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// Ends a fault when it is dropped.
#[derive(Debug)]
#[must_use = "the fault ends when it is dropped"]
pub struct ConditionGuard {
  cell: Arc<ConditionCell>,
  number: u64,
}

impl Drop for ConditionGuard {
  fn drop(&mut self) {
    let mut active = self.cell.active();
    let Some(index) = active
      .1
      .iter()
      .position(|(number, _)| *number == self.number)
    else {
      return;
    };
    let (_, condition) = active.1.remove(index);
    drop(active);
    if condition == Condition::Silent {
      self.cell.silences.send_modify(|silences| *silences -= 1);
    }
  }
}

fn is_drawn(share: f64, random: &mut ChaCha8Rng) -> bool {
  random.random_range(0.0..1.0) < share
}
