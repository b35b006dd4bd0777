//! The batch of an engine: all running requests get a token each step.

use {
  super::{super::site::EngineModel, draw::real},
  std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
  },
  tokio::time::{Duration, sleep},
};

#[derive(Debug)]
struct Clock {
  /// When `steps` had passed.
  at: Instant,
  steps: f64,
  running: u64,
}

/// The batch of an engine.
#[derive(Debug)]
pub(super) struct Batch {
  clock: Mutex<Clock>,
  step_ms: f64,
  step_ms_per_slot: f64,
}

impl Batch {
  pub(super) fn new(model: &EngineModel, speed: f64) -> Self {
    let clock = Clock {
      at: Instant::now(),
      running: 0,
      steps: 0.0,
    };
    Self {
      clock: Mutex::new(clock),
      step_ms: model.step_ms / speed,
      step_ms_per_slot: model.step_ms_per_slot / speed,
    }
  }

  /// Adds a request.
  pub(super) fn join(&self) -> BatchPlace<'_> {
    self.change_running(|running| running + 1);
    BatchPlace(self)
  }

  /// Steps that have passed.
  pub(super) fn steps(&self) -> f64 {
    self.clock().steps_at(Instant::now(), self)
  }

  /// Waits until this many steps have passed.
  pub(super) async fn wait_for(&self, steps: f64) {
    loop {
      let left_ms = {
        let clock = self.clock();
        (steps - clock.steps_at(Instant::now(), self)) * self.duration_ms(clock.running)
      };
      if left_ms <= 0.0 {
        return;
      }
      sleep(Duration::from_secs_f64(left_ms.max(0.1) / 1e3)).await;
    }
  }

  fn duration_ms(&self, running: u64) -> f64 {
    self.step_ms + self.step_ms_per_slot * real(running)
  }

  fn change_running(&self, change: impl FnOnce(u64) -> u64) {
    let mut clock = self.clock();
    let now = Instant::now();
    clock.steps = clock.steps_at(now, self);
    clock.at = now;
    clock.running = change(clock.running);
  }

  fn clock(&self) -> MutexGuard<'_, Clock> {
    self.clock.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl Clock {
  fn steps_at(&self, now: Instant, batch: &Batch) -> f64 {
    let passed_ms = now.duration_since(self.at).as_secs_f64() * 1e3;
    self.steps + passed_ms / batch.duration_ms(self.running)
  }
}

/// A request's place in a batch.
pub(super) struct BatchPlace<'a>(&'a Batch);

impl Drop for BatchPlace<'_> {
  fn drop(&mut self) {
    self.0.change_running(|running| running.saturating_sub(1));
  }
}
