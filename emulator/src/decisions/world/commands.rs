//! Commands of boxes to engines and services.

use {
  super::{
    super::{
      sim_engine::{ActiveDecode, EXPORT_KEEP_US, PrefillJob},
      sim_service::CALL_US,
    },
    LOCAL_DELAY_US, STALL_TIMEOUT_US, SimEvent, World,
  },
  rillford::{
    decide::{Action, Began, CancelAnswer, Event, Role, StageOutcome, StageReport},
    ids::{AttemptId, Name},
  },
};

impl World {
  pub(super) fn report_stage(
    &mut self,
    index: usize,
    attempt: AttemptId,
    endpoint: Name,
    outcome: StageOutcome,
  ) {
    let event = Event::Stage(StageReport {
      attempt,
      endpoint,
      outcome,
    });
    let delay_us = self.delay_us(0, 0);
    self
      .schedule
      .after(delay_us, SimEvent::Deliver(index, event));
  }

  pub(super) fn execute(&mut self, index: usize, action: Action) {
    match action {
      Action::Prefill(command) => {
        let engine = self.engine_index[&command.engine];
        self.handle_prefill(index, engine, command.attempt);
      }
      Action::Import(command) => {
        if command.link_wait_ms > 0 {
          let wait_us = command.link_wait_ms * 1_000;
          let command = rillford::decide::ImportCommand {
            link_wait_ms: 0,
            ..command
          };
          self
            .schedule
            .after(wait_us, SimEvent::Command(index, Action::Import(command)));
          return;
        }
        let engine = self.engine_index[&command.engine];
        let source = self.engine_index[&command.source];
        self.handle_import(index, engine, source, command.attempt);
      }
      Action::Decode(command) => {
        let engine = self.engine_index[&command.engine];
        self.handle_decode(index, engine, command.attempt, command.offset);
      }
      Action::Call(command) => self.handle_call(index, command.attempt, command.endpoint),
      Action::Cancel(attempt, endpoint) => self.handle_cancel(index, attempt, endpoint),
      Action::ExtendHolds(command) => {
        let engine = self.engine_index[&command.engine];
        if !self.engines[engine].is_dead {
          let event = Event::HoldsExtended(command);
          self
            .schedule
            .after(LOCAL_DELAY_US, SimEvent::Deliver(index, event));
        }
      }
      Action::PollLoad(endpoint) => self.poll(index, endpoint),
      Action::SetRole(command) => {
        let engine = self.engine_index[&command.engine];
        self.engines[engine].target_role = Some(command.role);
      }
      _ => {}
    }
  }

  pub(super) fn schedule_stall_timeout(
    &mut self,
    index: usize,
    attempt: &AttemptId,
    engine: usize,
  ) {
    let request = attempt.sequence as usize;
    let state = &mut self.request_states[request];
    state.stage += 1;
    let stage = state.stage;
    let timeout = SimEvent::StallTimeout(index, attempt.clone(), engine, stage);
    self.schedule.after(STALL_TIMEOUT_US, timeout);
  }

  /// Reports the failure of an attempt at a stalled engine if its stage has not changed within the timeout.
  pub(super) fn handle_stall_timeout(
    &mut self,
    index: usize,
    attempt: AttemptId,
    engine: usize,
    stage: u64,
  ) {
    let engine_state = &self.engines[engine];
    if self.request_states[attempt.sequence as usize].stage != stage
      || !(engine_state.is_stalled || engine_state.is_dead)
    {
      return;
    }
    self.report_failure(index, attempt, engine, Began::Perhaps);
  }

  pub(super) fn report_failure(
    &mut self,
    index: usize,
    attempt: AttemptId,
    engine: usize,
    began: Began,
  ) {
    let name = self.engines[engine].spec.name.clone();
    let decode = self.engines[engine]
      .decodes
      .iter()
      .find(|decode| decode.attempt == attempt);
    let offset = decode.map_or(0, |decode| decode.generated as u64);
    let outcome = StageOutcome::Failed {
      began,
      offset,
      resumable: true,
    };
    self.report_stage(index, attempt, name, outcome);
  }

  pub(super) fn handle_prefill(&mut self, index: usize, engine: usize, attempt: AttemptId) {
    let now_us = self.schedule.now_us;
    let request = attempt.sequence as usize;
    let spec = &self.requests[request];
    let target = &mut self.engines[engine];
    let name = target.spec.name.clone();
    if target.is_dead {
      return self.report_failure(index, attempt, engine, Began::Never);
    }
    if target.tombstones.contains(&attempt) {
      return;
    }
    if target.is_full() || target.role != Role::Prefill {
      return self.report_stage(index, attempt, name, StageOutcome::Full);
    }
    target.waiting.push_back(PrefillJob {
      attempt: attempt.clone(),
      prefix: spec.prefix.clone(),
      prompt_tokens: spec.prompt_tokens,
      request,
    });
    if target.is_stalled {
      self.schedule_stall_timeout(index, &attempt, engine);
    }
    self.start_next_prefill(engine, now_us);
  }

  pub(super) fn start_next_prefill(&mut self, engine: usize, now_us: u64) {
    if let Some(ends_us) = self.engines[engine].start_next_prefill(now_us)
      && let Some(prefill) = &self.engines[engine].prefill
    {
      let attempt = prefill.job.attempt.clone();
      self
        .schedule
        .at(ends_us, SimEvent::PrefillCompletes(engine, attempt));
    }
  }

  pub(super) fn complete_prefill(&mut self, engine: usize, attempt: &AttemptId) {
    let now_us = self.schedule.now_us;
    let target = &mut self.engines[engine];
    let is_current = target
      .prefill
      .as_ref()
      .is_some_and(|prefill| prefill.job.attempt == *attempt && prefill.ends_us <= now_us);
    if !is_current || target.is_stalled || target.is_dead {
      return;
    }
    let Some(prefill) = target.prefill.take() else {
      return;
    };
    let job = prefill.job;
    let tokens = job.prompt_tokens - prefill.cached_tokens;
    target.cache_prefix(&job.prefix);
    self.prefilled_tokens += tokens;
    *self.unused_prefills.entry(job.attempt.clone()).or_default() += tokens;
    let target = &mut self.engines[engine];
    let name = target.spec.name.clone();
    let kv_bytes = job.prompt_tokens * target.spec.kv_bytes_per_token;
    target
      .exports
      .insert(job.attempt.clone(), now_us + EXPORT_KEEP_US);
    let expiry = SimEvent::ExportExpires(engine, job.attempt.clone());
    self.schedule.after(EXPORT_KEEP_US, expiry);
    let outcome = StageOutcome::Prefilled {
      cached_tokens: prefill.cached_tokens,
      kv_bytes,
      prompt_tokens: job.prompt_tokens,
    };
    let index = self.request_states[job.request].box_index;
    self.report_stage(index, job.attempt, name, outcome);
    self.start_next_prefill(engine, now_us);
  }

  pub(super) fn handle_import(
    &mut self,
    index: usize,
    engine: usize,
    source: usize,
    attempt: AttemptId,
  ) {
    let now_us = self.schedule.now_us;
    let target = &mut self.engines[engine];
    let name = target.spec.name.clone();
    if target.is_dead {
      return self.report_failure(index, attempt, engine, Began::Perhaps);
    }
    if target.tombstones.contains(&attempt) {
      return;
    }
    if target.is_full() || target.role != Role::Decode {
      return self.report_stage(index, attempt, name, StageOutcome::Full);
    }
    if self.engines[source].exports.remove(&attempt).is_none() {
      return self.report_failure(index, attempt, engine, Began::Perhaps);
    }
    let request = attempt.sequence as usize;
    let bytes = self.requests[request].prompt_tokens * self.engines[engine].spec.kv_bytes_per_token;
    let target = &mut self.engines[engine];
    let transfer_us = bytes * 1_000_000 / target.spec.link_bytes_per_s;
    target.link_free_us = target.link_free_us.max(now_us) + transfer_us;
    target.importing.insert(attempt.clone());
    let done_us = target.link_free_us;
    if target.is_stalled {
      self.schedule_stall_timeout(index, &attempt, engine);
      return;
    }
    self
      .schedule
      .at(done_us, SimEvent::TransferCompletes(engine, attempt, index));
  }

  pub(super) fn complete_transfer(&mut self, engine: usize, attempt: AttemptId, index: usize) {
    let target = &mut self.engines[engine];
    if target.is_dead || target.is_stalled || !target.importing.remove(&attempt) {
      return;
    }
    target.imported.insert(attempt.clone());
    let name = target.spec.name.clone();
    self.report_stage(index, attempt, name, StageOutcome::Imported);
  }

  pub(super) fn handle_decode(
    &mut self,
    index: usize,
    engine: usize,
    attempt: AttemptId,
    offset: u64,
  ) {
    let now_us = self.schedule.now_us;
    let target = &mut self.engines[engine];
    if target.is_dead || !target.imported.remove(&attempt) {
      return self.report_failure(index, attempt, engine, Began::Perhaps);
    }
    target.advance(now_us);
    let request = attempt.sequence as usize;
    let tokens = (self.requests[request].output_tokens.saturating_sub(offset)).max(1);
    target.decodes.push(ActiveDecode {
      attempt: attempt.clone(),
      started_us: now_us,
      first_us: None,
      request,
      tokens: tokens as f64,
      generated: 0.0,
    });
    if target.is_stalled {
      self.schedule_stall_timeout(index, &attempt, engine);
    }
    self.schedule_progress(engine);
  }

  pub(super) fn schedule_progress(&mut self, engine: usize) {
    if let Some(at_us) = self.engines[engine].next_progress_us() {
      let version = self.engines[engine].version;
      self
        .schedule
        .at(at_us, SimEvent::DecodeProgress(engine, version));
    }
  }

  pub(super) fn handle_progress(&mut self, engine: usize, version: u64) {
    if self.engines[engine].version != version {
      return;
    }
    let now_us = self.schedule.now_us;
    self.engines[engine].advance(now_us);
    let name = self.engines[engine].spec.name.clone();
    let mut finished = Vec::new();
    let mut started = Vec::new();
    for decode in &self.engines[engine].decodes {
      if decode.generated >= decode.tokens - 1e-6 {
        finished.push(decode.clone());
      } else if decode.first_us.is_some() && self.unused_prefills.contains_key(&decode.attempt) {
        started.push((decode.attempt.clone(), decode.request));
      }
    }
    for (attempt, request) in started {
      self.record_first_token(&attempt, request, now_us);
      let index = self.request_states[request].box_index;
      self.report_stage(index, attempt, name.clone(), StageOutcome::FirstChunk);
    }
    for decode in finished {
      self.record_first_token(&decode.attempt, decode.request, now_us);
      let state = &mut self.request_states[decode.request];
      let first_us = decode.first_us.unwrap_or(decode.started_us);
      state.between_tokens_ms =
        (now_us - first_us) as f64 / 1_000.0 / (decode.tokens - 1.0).max(1.0);
      state.finished_us = now_us;
      state.stage += 1;
      let index = state.box_index;
      self.engines[engine].remove_attempt(&decode.attempt);
      let outcome = StageOutcome::Finished {
        tokens: decode.tokens as u64,
      };
      self.report_stage(index, decode.attempt, name.clone(), outcome);
    }
    self.schedule_progress(engine);
    self.apply_role(engine);
  }

  pub(super) fn record_first_token(&mut self, attempt: &AttemptId, request: usize, now_us: u64) {
    if let Some(tokens) = self.unused_prefills.remove(attempt) {
      self.used_tokens += tokens;
      let state = &mut self.request_states[request];
      state.first_us.get_or_insert(now_us);
      state.stage += 1;
    }
  }

  /// Changes the role of an engine once it is empty.
  pub(super) fn apply_role(&mut self, engine: usize) {
    let target = &mut self.engines[engine];
    if let Some(role) = target.target_role
      && target.used() == 0
    {
      target.role = role;
      target.target_role = None;
    }
  }

  pub(super) fn handle_call(&mut self, index: usize, attempt: AttemptId, endpoint: Name) {
    let request = attempt.sequence as usize;
    self.request_states[request].box_index = index;
    self.calls.insert(request, (attempt, endpoint.clone()));
    let Some(service) = self.services.get_mut(&endpoint) else {
      return;
    };
    if service.busy < 16 {
      service.busy += 1;
      self
        .schedule
        .after(CALL_US, SimEvent::CallCompletes(request));
    } else {
      service.waiting.push_back(request);
    }
  }

  pub(super) fn complete_call(&mut self, request: usize) {
    let Some((attempt, endpoint)) = self.calls.remove(&request) else {
      return;
    };
    let now_us = self.schedule.now_us;
    self.request_states[request].first_us = Some(now_us);
    let index = self.request_states[request].box_index;
    let next = self.services.get_mut(&endpoint).and_then(|service| {
      let next = service.waiting.pop_front();
      if next.is_none() {
        service.busy -= 1;
      }
      next
    });
    if let Some(next) = next {
      self.schedule.after(CALL_US, SimEvent::CallCompletes(next));
    }
    self.report_stage(
      index,
      attempt,
      endpoint,
      StageOutcome::Finished { tokens: 0 },
    );
  }

  pub(super) fn handle_cancel(&mut self, index: usize, attempt: AttemptId, endpoint: Name) {
    let now_us = self.schedule.now_us;
    let Some(engine) = self.engine_index.get(&endpoint).copied() else {
      return;
    };
    if self.engines[engine].is_dead {
      let event = Event::CancelSettled(attempt, endpoint, CancelAnswer::Unreachable);
      self
        .schedule
        .after(LOCAL_DELAY_US, SimEvent::Deliver(index, event));
      return;
    }
    let target = &mut self.engines[engine];
    target.advance(now_us);
    target.tombstones.insert(attempt.clone());
    let is_prefilling = target
      .prefill
      .as_ref()
      .is_some_and(|prefill| prefill.job.attempt == attempt);
    if is_prefilling && let Some(prefill) = target.prefill.take() {
      // The prefilled part of a cancelled prompt is wasted, too.
      let elapsed_us = now_us - prefill.started_us;
      self.prefilled_tokens += elapsed_us * target.spec.prefill_tokens_per_s / 1_000_000;
    }
    target.remove_attempt(&attempt);
    self.start_next_prefill(engine, now_us);
    self.schedule_progress(engine);
    self.apply_role(engine);
    let event = Event::CancelSettled(attempt, endpoint, CancelAnswer::Cancelled);
    self
      .schedule
      .after(LOCAL_DELAY_US, SimEvent::Deliver(index, event));
  }
}
