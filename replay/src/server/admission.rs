//! Slots, queue, memory and reservations of a server.

use {
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
  tokio::{
    sync::Notify,
    time::{Duration, timeout},
  },
};

/// Interval of the checks of waiting requests, for reservations that have lapsed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
  /// Slots, queue or memory are full.
  Full,
  /// Its time was over in the queue.
  Late,
}

#[derive(Debug)]
struct Hold {
  tokens: u64,
  until: Instant,
}

#[derive(Debug, Default)]
struct State {
  running: usize,
  queued: usize,
  tokens: u64,
  holds: HashMap<String, Hold>,
}

impl State {
  fn end_old_holds(&mut self) {
    let now = Instant::now();
    self.holds.retain(|_, hold| hold.until > now);
  }

  fn held_tokens(&self) -> u64 {
    self.holds.values().map(|hold| hold.tokens).sum()
  }
}

/// What is in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Usage {
  pub(super) running: usize,
  pub(super) queued: usize,
  pub(super) tokens: u64,
  pub(super) held: usize,
}

/// Slots, queue, memory and reservations of a server.
#[derive(Debug)]
pub(super) struct Admission {
  slots: usize,
  queue: usize,
  /// Memory for tokens.
  tokens: u64,
  state: Mutex<State>,
  freed: Notify,
}

impl Admission {
  pub(super) fn new(slots: usize, queue: usize, tokens: u64) -> Self {
    Self {
      freed: Notify::new(),
      queue,
      slots,
      state: Mutex::default(),
      tokens,
    }
  }

  pub(super) fn usage(&self) -> Usage {
    let mut state = self.state();
    state.end_old_holds();
    Usage {
      held: state.holds.len(),
      queued: state.queued,
      running: state.running,
      tokens: state.tokens + state.held_tokens(),
    }
  }

  /// Takes a slot and memory, and waits for them in the queue. A reservation goes ahead of all that wait.
  pub(super) async fn admit(
    self: &Arc<Self>,
    tokens: u64,
    hold: Option<&str>,
    deadline: Option<Instant>,
  ) -> Result<Admitted, Refusal> {
    if tokens > self.tokens {
      return Err(Refusal::Full);
    }
    if let Some(hold) = hold {
      self.state().holds.remove(hold);
    } else if self.state().queued > 0 {
      // Others came first.
      let _place = self.join_queue()?;
      return self.wait(tokens, deadline).await;
    }
    if let Some(admitted) = self.try_admit(tokens) {
      return Ok(admitted);
    }
    let _place = self.join_queue()?;
    self.wait(tokens, deadline).await
  }

  /// Sets a slot and memory aside. Returns false if they can't be had.
  pub(super) fn hold(&self, id: &str, tokens: u64, duration: Duration) -> bool {
    let mut state = self.state();
    if !self.has_room(&mut state, tokens) {
      return false;
    }
    let until = Instant::now() + duration;
    state.holds.insert(id.into(), Hold { tokens, until });
    true
  }

  /// Ends a reservation. Returns whether there was one.
  pub(super) fn drop_hold(&self, id: &str) -> bool {
    let was_held = self.state().holds.remove(id).is_some();
    self.freed.notify_waiters();
    was_held
  }

  async fn wait(
    self: &Arc<Self>,
    tokens: u64,
    deadline: Option<Instant>,
  ) -> Result<Admitted, Refusal> {
    loop {
      let freed = self.freed.notified();
      if let Some(admitted) = self.try_admit(tokens) {
        return Ok(admitted);
      }
      if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return Err(Refusal::Late);
      }
      // Either way, it is checked again.
      let _ = timeout(CHECK_INTERVAL, freed).await;
    }
  }

  fn try_admit(self: &Arc<Self>, tokens: u64) -> Option<Admitted> {
    let mut state = self.state();
    if !self.has_room(&mut state, tokens) {
      return None;
    }
    state.running += 1;
    state.tokens += tokens;
    Some(Admitted {
      admission: self.clone(),
      tokens,
    })
  }

  fn has_room(&self, state: &mut State, tokens: u64) -> bool {
    state.end_old_holds();
    let used = state.tokens + state.held_tokens();
    state.running + state.holds.len() < self.slots && used + tokens <= self.tokens
  }

  fn join_queue(&self) -> Result<QueuePlace<'_>, Refusal> {
    let mut state = self.state();
    if state.queued >= self.queue {
      return Err(Refusal::Full);
    }
    state.queued += 1;
    Ok(QueuePlace(self))
  }

  fn state(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

struct QueuePlace<'a>(&'a Admission);

impl Drop for QueuePlace<'_> {
  fn drop(&mut self) {
    self.0.state().queued -= 1;
  }
}

/// A slot and memory, freed when it is dropped.
#[derive(Debug)]
pub(super) struct Admitted {
  admission: Arc<Admission>,
  tokens: u64,
}

impl Admitted {
  /// Takes more memory. Never fails: the limit holds at admission.
  pub(super) fn grow(&mut self, tokens: u64) {
    self.tokens += tokens;
    self.admission.state().tokens += tokens;
  }
}

impl Drop for Admitted {
  fn drop(&mut self) {
    let mut state = self.admission.state();
    state.running -= 1;
    state.tokens -= self.tokens;
    drop(state);
    self.admission.freed.notify_waiters();
  }
}
