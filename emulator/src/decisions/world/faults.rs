//! What goes wrong in the middle of a run.

use {
  super::{super::variant::Fault, What, World},
  rillford::decide::Role,
};

impl World {
  pub(super) fn fault(&mut self, begins: bool) {
    self.faulty = begins;
    let now_us = self.schedule.now_us;
    match self.variant.fault {
      Fault::EnginesStall => {
        let every = 10;
        for engine in (0..self.engines.len()).step_by(every) {
          self.engines[engine].advance(now_us);
          self.engines[engine].stalled = begins;
          if begins {
            self.watch_all(engine);
          } else {
            self.wake(engine);
          }
        }
      }
      Fault::BoxDies if begins => self.boxes[0].alive = false,
      Fault::EngineDies if begins => {
        let engine = self
          .engines
          .iter()
          .position(|engine| engine.role == Role::Decode)
          .unwrap_or(0);
        self.engines[engine].advance(now_us);
        self.engines[engine].dead = true;
        self.watch_all(engine);
      }
      _ => {}
    }
  }

  /// A stalled engine goes on with what it has.
  pub(super) fn wake(&mut self, engine: usize) {
    let now_us = self.schedule.now_us;
    if let Some(reading) = &self.engines[engine].reading {
      let attempt = reading.job.attempt.clone();
      self.schedule.after(0, What::PromptRead(engine, attempt));
    }
    for attempt in self.engines[engine].importing.clone() {
      let index = self.fates[attempt.sequence as usize].box_index;
      self.schedule.after(0, What::Moved(engine, attempt, index));
    }
    self.read_next(engine, now_us);
    self.plan_mark(engine);
  }

  /// All orders at an engine that goes silent will be found stalled.
  pub(super) fn watch_all(&mut self, engine: usize) {
    let target = &self.engines[engine];
    let mut attempts = target
      .writing
      .iter()
      .map(|writing| writing.attempt.clone())
      .collect::<Vec<_>>();
    attempts.extend(target.waiting.iter().map(|job| job.attempt.clone()));
    attempts.extend(
      target
        .reading
        .iter()
        .map(|reading| reading.job.attempt.clone()),
    );
    attempts.extend(target.importing.iter().cloned());
    for attempt in attempts {
      let index = self.fates[attempt.sequence as usize].box_index;
      self.watch_for_stall(index, &attempt, engine);
    }
  }
}
