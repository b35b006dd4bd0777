//! What engines and services make of orders.

use {
  super::{
    super::{
      sim_engine::{Job, KEEP_US, Writing},
      sim_service::CALL_US,
    },
    LOCAL_US, STALL_US, What, World,
  },
  rillford::{
    decide::{Action, Began, CancelAnswer, Event, Role, StageOutcome, StageReport},
    ids::{AttemptId, Name},
  },
};

impl World {
  pub(super) fn report(
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
    self.schedule.after(delay_us, What::Tell(index, event));
  }

  pub(super) fn order(&mut self, index: usize, action: Action) {
    match action {
      Action::Prefill(order) => {
        let engine = self.engine_index[&order.engine];
        self.take_prefill(index, engine, order.attempt);
      }
      Action::Import(order) => {
        if order.link_wait_ms > 0 {
          let wait_us = order.link_wait_ms * 1_000;
          let order = rillford::decide::ImportCommand {
            link_wait_ms: 0,
            ..order
          };
          self
            .schedule
            .after(wait_us, What::Order(index, Action::Import(order)));
          return;
        }
        let engine = self.engine_index[&order.engine];
        let source = self.engine_index[&order.source];
        self.take_import(index, engine, source, order.attempt);
      }
      Action::Decode(order) => {
        let engine = self.engine_index[&order.engine];
        self.take_decode(index, engine, order.attempt, order.offset);
      }
      Action::Call(order) => self.take_call(index, order.attempt, order.endpoint),
      Action::Cancel(attempt, endpoint) => self.take_cancel(index, attempt, endpoint),
      Action::ExtendHolds(order) => {
        let engine = self.engine_index[&order.engine];
        if !self.engines[engine].dead {
          let event = Event::HoldsExtended(order.engine);
          self.schedule.after(LOCAL_US, What::Tell(index, event));
        }
      }
      Action::PollLoad(endpoint) => self.poll(index, endpoint),
      Action::SetRole(order) => {
        let engine = self.engine_index[&order.engine];
        self.engines[engine].wanted_role = Some(order.role);
      }
      _ => {}
    }
  }

  pub(super) fn watch_for_stall(&mut self, index: usize, attempt: &AttemptId, engine: usize) {
    let request = attempt.sequence as usize;
    let fate = &mut self.fates[request];
    fate.stage += 1;
    let stage = fate.stage;
    let what = What::TimedOut(index, attempt.clone(), engine, stage);
    self.schedule.after(STALL_US, what);
  }

  /// Egress reports a stall when nothing has moved an order on for so long.
  pub(super) fn timed_out(&mut self, index: usize, attempt: AttemptId, engine: usize, stage: u64) {
    let engine_state = &self.engines[engine];
    if self.fates[attempt.sequence as usize].stage != stage
      || !(engine_state.stalled || engine_state.dead)
    {
      return;
    }
    self.broke(index, attempt, engine, Began::Perhaps);
  }

  pub(super) fn broke(&mut self, index: usize, attempt: AttemptId, engine: usize, began: Began) {
    let name = self.engines[engine].spec.name.clone();
    let writing = self.engines[engine]
      .writing
      .iter()
      .find(|writing| writing.attempt == attempt);
    let offset = writing.map_or(0, |writing| writing.written as u64);
    let outcome = StageOutcome::Failed {
      began,
      offset,
      resumable: true,
    };
    self.report(index, attempt, name, outcome);
  }

  pub(super) fn take_prefill(&mut self, index: usize, engine: usize, attempt: AttemptId) {
    let now_us = self.schedule.now_us;
    let request = attempt.sequence as usize;
    let ask = &self.asks[request];
    let target = &mut self.engines[engine];
    let name = target.spec.name.clone();
    if target.dead {
      return self.broke(index, attempt, engine, Began::Never);
    }
    if target.tombstones.contains(&attempt) {
      return;
    }
    if target.is_full() || target.role != Role::Prefill {
      return self.report(index, attempt, name, StageOutcome::Full);
    }
    target.waiting.push_back(Job {
      attempt: attempt.clone(),
      prefix: ask.prefix.clone(),
      prompt_tokens: ask.prompt_tokens,
      request,
    });
    if target.stalled {
      self.watch_for_stall(index, &attempt, engine);
    }
    self.read_next(engine, now_us);
  }

  pub(super) fn read_next(&mut self, engine: usize, now_us: u64) {
    if let Some(ends_us) = self.engines[engine].read_next(now_us)
      && let Some(reading) = &self.engines[engine].reading
    {
      let attempt = reading.job.attempt.clone();
      self.schedule.at(ends_us, What::PromptRead(engine, attempt));
    }
  }

  pub(super) fn prompt_read(&mut self, engine: usize, attempt: &AttemptId) {
    let now_us = self.schedule.now_us;
    let target = &mut self.engines[engine];
    let is_it = target
      .reading
      .as_ref()
      .is_some_and(|reading| reading.job.attempt == *attempt && reading.ends_us <= now_us);
    if !is_it || target.stalled || target.dead {
      return;
    }
    let Some(reading) = target.reading.take() else {
      return;
    };
    let job = reading.job;
    let tokens = job.prompt_tokens - reading.cached_tokens;
    target.remember(&job.prefix);
    self.read_tokens += tokens;
    *self.read.entry(job.attempt.clone()).or_default() += tokens;
    let target = &mut self.engines[engine];
    let name = target.spec.name.clone();
    let kv_bytes = job.prompt_tokens * target.spec.kv_bytes_per_token;
    target.exports.insert(job.attempt.clone(), now_us + KEEP_US);
    let lapse = What::ExportLapses(engine, job.attempt.clone());
    self.schedule.after(KEEP_US, lapse);
    let outcome = StageOutcome::Prefilled {
      cached_tokens: reading.cached_tokens,
      kv_bytes,
      prompt_tokens: job.prompt_tokens,
    };
    let index = self.fates[job.request].box_index;
    self.report(index, job.attempt, name, outcome);
    self.read_next(engine, now_us);
  }

  pub(super) fn take_import(
    &mut self,
    index: usize,
    engine: usize,
    source: usize,
    attempt: AttemptId,
  ) {
    let now_us = self.schedule.now_us;
    let target = &mut self.engines[engine];
    let name = target.spec.name.clone();
    if target.dead {
      return self.broke(index, attempt, engine, Began::Perhaps);
    }
    if target.tombstones.contains(&attempt) {
      return;
    }
    if target.is_full() || target.role != Role::Decode {
      return self.report(index, attempt, name, StageOutcome::Full);
    }
    if self.engines[source].exports.remove(&attempt).is_none() {
      return self.broke(index, attempt, engine, Began::Perhaps);
    }
    let request = attempt.sequence as usize;
    let bytes = self.asks[request].prompt_tokens * self.engines[engine].spec.kv_bytes_per_token;
    let target = &mut self.engines[engine];
    let move_us = bytes * 1_000_000 / target.spec.link_bytes_per_s;
    target.link_free_us = target.link_free_us.max(now_us) + move_us;
    target.importing.insert(attempt.clone());
    let done_us = target.link_free_us;
    if target.stalled {
      self.watch_for_stall(index, &attempt, engine);
      return;
    }
    self
      .schedule
      .at(done_us, What::Moved(engine, attempt, index));
  }

  pub(super) fn moved(&mut self, engine: usize, attempt: AttemptId, index: usize) {
    let target = &mut self.engines[engine];
    if target.dead || target.stalled || !target.importing.remove(&attempt) {
      return;
    }
    target.imported.insert(attempt.clone());
    let name = target.spec.name.clone();
    self.report(index, attempt, name, StageOutcome::Imported);
  }

  pub(super) fn take_decode(
    &mut self,
    index: usize,
    engine: usize,
    attempt: AttemptId,
    offset: u64,
  ) {
    let now_us = self.schedule.now_us;
    let target = &mut self.engines[engine];
    if target.dead || !target.imported.remove(&attempt) {
      return self.broke(index, attempt, engine, Began::Perhaps);
    }
    target.advance(now_us);
    let request = attempt.sequence as usize;
    let tokens = (self.asks[request].output_tokens.saturating_sub(offset)).max(1);
    target.writing.push(Writing {
      attempt: attempt.clone(),
      began_us: now_us,
      first_us: None,
      request,
      tokens: tokens as f64,
      written: 0.0,
    });
    if target.stalled {
      self.watch_for_stall(index, &attempt, engine);
    }
    self.plan_mark(engine);
  }

  pub(super) fn plan_mark(&mut self, engine: usize) {
    if let Some(at_us) = self.engines[engine].next_mark() {
      let version = self.engines[engine].version;
      self.schedule.at(at_us, What::Mark(engine, version));
    }
  }

  pub(super) fn mark(&mut self, engine: usize, version: u64) {
    if self.engines[engine].version != version {
      return;
    }
    let now_us = self.schedule.now_us;
    self.engines[engine].advance(now_us);
    let name = self.engines[engine].spec.name.clone();
    let mut ended = Vec::new();
    let mut begun = Vec::new();
    for writing in &self.engines[engine].writing {
      if writing.written >= writing.tokens - 1e-6 {
        ended.push(writing.clone());
      } else if writing.first_us.is_some() && self.read.contains_key(&writing.attempt) {
        begun.push((writing.attempt.clone(), writing.request));
      }
    }
    for (attempt, request) in begun {
      self.first_token(&attempt, request, now_us);
      let index = self.fates[request].box_index;
      self.report(index, attempt, name.clone(), StageOutcome::FirstChunk);
    }
    for writing in ended {
      self.first_token(&writing.attempt, writing.request, now_us);
      let fate = &mut self.fates[writing.request];
      let first_us = writing.first_us.unwrap_or(writing.began_us);
      fate.between_ms = (now_us - first_us) as f64 / 1_000.0 / (writing.tokens - 1.0).max(1.0);
      fate.finished_us = now_us;
      fate.stage += 1;
      let index = fate.box_index;
      self.engines[engine].drop_attempt(&writing.attempt);
      let outcome = StageOutcome::Finished {
        tokens: writing.tokens as u64,
      };
      self.report(index, writing.attempt, name.clone(), outcome);
    }
    self.plan_mark(engine);
    self.turn_role(engine);
  }

  pub(super) fn first_token(&mut self, attempt: &AttemptId, request: usize, now_us: u64) {
    if let Some(tokens) = self.read.remove(attempt) {
      self.used += tokens;
      let fate = &mut self.fates[request];
      fate.first_us.get_or_insert(now_us);
      fate.stage += 1;
    }
  }

  /// A role changes once the engine is empty.
  pub(super) fn turn_role(&mut self, engine: usize) {
    let target = &mut self.engines[engine];
    if let Some(role) = target.wanted_role
      && target.used() == 0
    {
      target.role = role;
      target.wanted_role = None;
    }
  }

  pub(super) fn take_call(&mut self, index: usize, attempt: AttemptId, endpoint: Name) {
    let request = attempt.sequence as usize;
    self.fates[request].box_index = index;
    self.calls.insert(request, (attempt, endpoint.clone()));
    let Some(service) = self.services.get_mut(&endpoint) else {
      return;
    };
    if service.busy < 16 {
      service.busy += 1;
      self.schedule.after(CALL_US, What::CallDone(request));
    } else {
      service.waiting.push_back(request);
    }
  }

  pub(super) fn call_done(&mut self, request: usize) {
    let Some((attempt, endpoint)) = self.calls.remove(&request) else {
      return;
    };
    let now_us = self.schedule.now_us;
    self.fates[request].first_us = Some(now_us);
    let index = self.fates[request].box_index;
    let next = self.services.get_mut(&endpoint).and_then(|service| {
      let next = service.waiting.pop_front();
      if next.is_none() {
        service.busy -= 1;
      }
      next
    });
    if let Some(next) = next {
      self.schedule.after(CALL_US, What::CallDone(next));
    }
    self.report(
      index,
      attempt,
      endpoint,
      StageOutcome::Finished { tokens: 0 },
    );
  }

  pub(super) fn take_cancel(&mut self, index: usize, attempt: AttemptId, endpoint: Name) {
    let now_us = self.schedule.now_us;
    let Some(engine) = self.engine_index.get(&endpoint).copied() else {
      return;
    };
    if self.engines[engine].dead {
      let event = Event::CancelSettled(attempt, endpoint, CancelAnswer::Unreachable);
      self.schedule.after(LOCAL_US, What::Tell(index, event));
      return;
    }
    let target = &mut self.engines[engine];
    target.advance(now_us);
    target.tombstones.insert(attempt.clone());
    let reads_it = target
      .reading
      .as_ref()
      .is_some_and(|reading| reading.job.attempt == attempt);
    if reads_it && let Some(reading) = target.reading.take() {
      // What was read of a cancelled prompt is wasted too.
      let passed_us = now_us - reading.began_us;
      self.read_tokens += passed_us * target.spec.prefill_tokens_per_s / 1_000_000;
    }
    target.drop_attempt(&attempt);
    self.read_next(engine, now_us);
    self.plan_mark(engine);
    self.turn_role(engine);
    let event = Event::CancelSettled(attempt, endpoint, CancelAnswer::Cancelled);
    self.schedule.after(LOCAL_US, What::Tell(index, event));
  }
}
