//! The share of a core that a box gets.

use {
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
  tokio::sync::watch,
};

/// The share of a core that a box gets: that of its machine, or less while it is slow.
#[derive(Clone, Debug)]
pub(crate) struct BoxQuota(Arc<Shared>);

#[derive(Debug)]
struct Shared {
  /// Share of its machine, in cores.
  machine_share: f64,
  state: Mutex<State>,
  /// The share to which its process is held; `None` for no bound.
  share: watch::Sender<Option<f64>>,
}

#[derive(Debug, Default)]
struct State {
  /// Whether it is held to its machine's share at all times.
  is_on: bool,
  next: u64,
  /// How many times slower it is, by each cause.
  slowdowns: Vec<(u64, f64)>,
}

/// Ends a slowdown of a box when it is dropped.
#[derive(Debug)]
#[must_use]
pub struct SlowdownGuard {
  quota: BoxQuota,
  number: u64,
}

impl Drop for SlowdownGuard {
  fn drop(&mut self) {
    self.quota.change(|state| {
      state.slowdowns.retain(|(number, _)| *number != self.number);
    });
  }
}

impl BoxQuota {
  /// No bound, for a box of a machine with this share of a core.
  pub(crate) fn new(machine_share: f64) -> Self {
    Self(Arc::new(Shared {
      machine_share,
      share: watch::Sender::new(None),
      state: Mutex::default(),
    }))
  }

  /// The share to which its process is held, now and later; `None` for no bound.
  pub(crate) fn subscribe(&self) -> watch::Receiver<Option<f64>> {
    self.0.share.subscribe()
  }

  /// Holds it to its machine's share, or not.
  pub(crate) fn set_on(&self, is_on: bool) {
    self.change(|state| state.is_on = is_on);
  }

  /// Makes it slower than its machine's share allows. Of several slowdowns the largest counts.
  pub(crate) fn begin_slowdown(&self, factor: f64) -> SlowdownGuard {
    let mut number = 0;
    self.change(|state| {
      number = state.next;
      state.next += 1;
      state.slowdowns.push((number, factor.max(1.0)));
    });
    SlowdownGuard {
      number,
      quota: self.clone(),
    }
  }

  fn change(&self, change: impl FnOnce(&mut State)) {
    let mut state = self.state();
    change(&mut state);
    let factors = state.slowdowns.iter().map(|(_, factor)| *factor);
    let share = match factors.reduce(f64::max) {
      Some(factor) => Some(self.0.machine_share / factor),
      None => state.is_on.then_some(self.0.machine_share),
    };
    self.0.share.send_replace(share);
  }

  fn state(&self) -> MutexGuard<'_, State> {
    // Each change is one assignment or one call on the list.
    self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
