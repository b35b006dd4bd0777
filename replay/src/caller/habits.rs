//! What callers do otherwise than usual for a time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What callers do otherwise than usual.
#[derive(Clone, Debug, PartialEq)]
pub enum Habit {
  /// They send more.
  Burst {
    /// Those of one zone only.
    zone: Option<Arc<str>>,
    /// Requests of one kind only.
    class: Option<Arc<str>>,
    /// How much more.
    factor: f64,
  },
  /// Some leave early.
  GiveUp {
    /// Share of the clients.
    share: f64,
    /// Latest time at which they leave; half of the objective if `None`.
    after_ms: Option<f64>,
  },
  /// Some don't try again.
  TryOnce {
    /// Share of the clients.
    share: f64,
  },
  /// Some try again at once and more often.
  RetryAbuse {
    /// Share of the clients.
    share: f64,
    /// Further tries.
    times: u32,
  },
  /// Some of a zone move to another one.
  Shift {
    /// The zone.
    zone: Arc<str>,
    /// The other one.
    to_zone: Arc<str>,
    /// Share of its clients.
    share: f64,
  },
}

#[derive(Debug, Default)]
struct Entries {
  next: u64,
  habits: Vec<(u64, Habit)>,
}

/// The habits in force, shared by all callers.
#[derive(Clone, Debug, Default)]
pub struct Habits(Arc<Mutex<Entries>>);

/// Ends a habit when it is dropped.
#[derive(Debug)]
#[must_use]
pub struct HabitGuard {
  habits: Habits,
  number: u64,
}

impl Drop for HabitGuard {
  fn drop(&mut self) {
    let mut entries = self.habits.entries();
    entries.habits.retain(|(number, _)| *number != self.number);
  }
}

impl Habits {
  /// Begins a habit, which lasts until the guard is dropped.
  ///
  /// ```
  /// use replay::{Habit, Habits};
  /// let habits = Habits::default();
  /// let burst = habits.begin(Habit::Burst { zone: None, class: None, factor: 2.0 });
  /// assert_eq!(habits.rate_factor("a", "chat"), 2.0);
  /// drop(burst);
  /// assert_eq!(habits.rate_factor("a", "chat"), 1.0);
  /// ```
  pub fn begin(&self, habit: Habit) -> HabitGuard {
    let mut entries = self.entries();
    let number = entries.next;
    entries.next += 1;
    entries.habits.push((number, habit));
    HabitGuard {
      habits: self.clone(),
      number,
    }
  }

  /// How many times the usual traffic a zone sends of a kind of request.
  pub fn rate_factor(&self, in_zone: &str, of_class: &str) -> f64 {
    let entries = self.entries();
    let factors = entries.habits.iter().map(|(_, habit)| match habit {
      Habit::Burst {
        zone,
        class,
        factor,
      } if matches(zone.as_ref(), in_zone) && matches(class.as_ref(), of_class) => *factor,
      _ => 1.0,
    });
    factors.product()
  }

  /// Latest time at which a client leaves, if it leaves early. `draw` tells the clients apart, from 0 to 1.
  pub(super) fn gives_up_after_ms(&self, draw: f64, aim_ms: f64) -> Option<f64> {
    let entries = self.entries();
    let times = entries.habits.iter().filter_map(|(_, habit)| match habit {
      Habit::GiveUp { share, after_ms } if draw < *share => Some(after_ms.unwrap_or(aim_ms / 2.0)),
      _ => None,
    });
    times.reduce(f64::min)
  }

  /// Whether a client tries only once.
  pub(super) fn tries_once(&self, draw: f64) -> bool {
    let entries = self.entries();
    let mut habits = entries.habits.iter();
    habits.any(|(_, habit)| matches!(habit, Habit::TryOnce { share } if draw < *share))
  }

  /// Further tries of a client that does not wait between them.
  pub(super) fn abusive_tries(&self, draw: f64) -> Option<u32> {
    let entries = self.entries();
    let times = entries.habits.iter().filter_map(|(_, habit)| match habit {
      Habit::RetryAbuse { share, times } if draw < *share => Some(*times),
      _ => None,
    });
    times.max()
  }

  /// The zone that a client of a zone uses.
  pub(super) fn zone(&self, home: &Arc<str>, draw: f64) -> Arc<str> {
    let entries = self.entries();
    let mut habits = entries.habits.iter();
    let moved = habits.find_map(|(_, habit)| match habit {
      Habit::Shift {
        zone,
        to_zone,
        share,
      } if zone == home && draw < *share => Some(to_zone.clone()),
      _ => None,
    });
    moved.unwrap_or_else(|| home.clone())
  }

  fn entries(&self) -> MutexGuard<'_, Entries> {
    // Each change is one call on the list.
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

fn matches(filter: Option<&Arc<str>>, value: &str) -> bool {
  filter.is_none_or(|filter| &**filter == value)
}
