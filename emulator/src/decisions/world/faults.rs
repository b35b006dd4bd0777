//! Faults in the middle of a run.

use {
  super::{super::variant::Fault, SimEvent, World},
  rillford::decide::Role,
};

impl World {
  pub(super) fn set_fault(&mut self, is_active: bool) {
    self.is_fault_active = is_active;
    let now_us = self.schedule.now_us;
    match self.variant.fault {
      Fault::EnginesStall => {
        let interval = 10;
        for engine in (0..self.engines.len()).step_by(interval) {
          self.engines[engine].advance(now_us);
          self.engines[engine].is_stalled = is_active;
          if is_active {
            self.schedule_all_stall_timeouts(engine);
          } else {
            self.resume(engine);
          }
        }
      }
      Fault::BoxDies if is_active => self.boxes[0].is_alive = false,
      Fault::EngineDies if is_active => {
        let engine = self
          .engines
          .iter()
          .position(|engine| engine.role == Role::Decode)
          .unwrap_or(0);
        self.engines[engine].advance(now_us);
        self.engines[engine].is_dead = true;
        self.schedule_all_stall_timeouts(engine);
      }
      _ => {}
    }
  }

  /// Resumes the work of a stalled engine.
  pub(super) fn resume(&mut self, engine: usize) {
    let now_us = self.schedule.now_us;
    if let Some(prefill) = &self.engines[engine].prefill {
      let attempt = prefill.job.attempt.clone();
      self
        .schedule
        .after(0, SimEvent::PrefillCompletes(engine, attempt));
    }
    for attempt in self.engines[engine].importing.clone() {
      let index = self.request_states[attempt.sequence as usize].box_index;
      self
        .schedule
        .after(0, SimEvent::TransferCompletes(engine, attempt, index));
    }
    self.start_next_prefill(engine, now_us);
    self.schedule_progress(engine);
  }

  /// Schedules the stall timeouts of all attempts at an engine that stops responding.
  pub(super) fn schedule_all_stall_timeouts(&mut self, engine: usize) {
    let target = &self.engines[engine];
    let mut attempts = target
      .decodes
      .iter()
      .map(|decode| decode.attempt.clone())
      .collect::<Vec<_>>();
    attempts.extend(target.waiting.iter().map(|job| job.attempt.clone()));
    attempts.extend(
      target
        .prefill
        .iter()
        .map(|prefill| prefill.job.attempt.clone()),
    );
    attempts.extend(target.importing.iter().cloned());
    for attempt in attempts {
      let index = self.request_states[attempt.sequence as usize].box_index;
      self.schedule_stall_timeout(index, &attempt, engine);
    }
  }
}
