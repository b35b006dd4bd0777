//! Retries, outcomes, and release of the resources of an attempt.

use {
  super::{MAX_SILENCE_MS, RequestMachine, State},
  crate::{
    decide::{
      Action, Began, Context, EventKind, NotRunReason, RequestOutcome, UnknownReason, Work,
    },
    ids::Name,
  },
  statig::prelude::*,
};

const BUSY_RETRY_AFTER_MS: u64 = 1_000;

impl RequestMachine {
  /// Nothing began: the request is queued again, without a charge to the retry budget.
  pub(super) fn requeue_after_full(
    &mut self,
    context: &mut Context,
    endpoint: &Name,
  ) -> Outcome<State> {
    let until_ms = context.now_ms + context.tuning().full_backoff_ms;
    context
      .fleet
      .update(endpoint, |endpoint| endpoint.full_until_ms = until_ms);
    self.abandon_attempt(context);
    self.requeue = true;
    Transition(State::queued())
  }

  /// A stream is silent: ends it once a retry is taken for it. Without one its engine may still continue it.
  pub(super) fn handle_stall(&mut self, context: &mut Context, endpoint: &Name, silence_ms: u64) {
    if self.retry_taken {
      return;
    }
    let attempt = self.attempt_id(context);
    if self.may_retry(true) && self.failures + 1 < context.tuning().max_attempts {
      self.retry_taken = context.budget.take_retry();
      if !self.retry_taken {
        context.record(EventKind::RetryDenied, &attempt, "");
      }
    }
    if self.retry_taken || silence_ms >= MAX_SILENCE_MS {
      context.emit(Action::EndStream(attempt, endpoint.clone()));
    }
  }

  /// A command failed: retries the request if that is allowed, or finishes it.
  pub(super) fn handle_failure(
    &mut self,
    context: &mut Context,
    endpoint: &Name,
    began: Began,
    resumable: bool,
  ) -> Outcome<State> {
    let attempt = self.attempt_id(context);
    context.record(EventKind::OrderFailed, &attempt, endpoint);
    self.began |= began == Began::Perhaps;
    self.abandon_attempt(context);
    self.tried.push(endpoint.clone());
    self.failures += 1;
    let now_ms = context.now_ms;
    context
      .fleet
      .update(endpoint, |endpoint| endpoint.record_failure(now_ms));
    let unknown_reason = if self.streaming {
      UnknownReason::AnswerBroken
    } else {
      UnknownReason::EndpointFailed
    };
    if !self.may_retry(resumable) {
      return self.finish_failed(context, NotRunReason::NeverBegan, unknown_reason);
    }
    if self.failures >= context.tuning().max_attempts {
      return self.finish_failed(context, NotRunReason::NeverBegan, unknown_reason);
    }
    if !std::mem::take(&mut self.retry_taken) && !context.budget.take_retry() {
      context.record(EventKind::RetryDenied, &attempt, "");
      return self.finish_failed(context, NotRunReason::RetryBudget, unknown_reason);
    }
    self.requeue = true;
    Transition(State::queued())
  }

  pub(super) fn may_retry(&self, resumable: bool) -> bool {
    if self.streaming && !resumable {
      return false;
    }
    match &self.arrival.work {
      _ if self.arrival.not_repeatable => !self.began,
      Work::Model(_) => true,
      Work::Service(work) => !self.streaming && (work.idempotent || !self.began),
    }
  }

  pub(super) fn finish_failed(
    &mut self,
    context: &mut Context,
    reason: NotRunReason,
    unknown_reason: UnknownReason,
  ) -> Outcome<State> {
    self.return_retry(context);
    if self.began {
      return self.finish_unknown(context, unknown_reason);
    }
    self.finish_not_run(context, reason, BUSY_RETRY_AFTER_MS)
  }

  /// Finishes a queued request: as not run if nothing ever began, else as unknown.
  pub(super) fn reject(
    &mut self,
    context: &mut Context,
    reason: NotRunReason,
    retry_after_ms: u64,
  ) -> Outcome<State> {
    if self.began {
      let unknown_reason = match reason {
        _ if self.streaming => UnknownReason::AnswerBroken,
        NotRunReason::TooLate => UnknownReason::TimedOut,
        _ => UnknownReason::EndpointFailed,
      };
      return self.finish_unknown(context, unknown_reason);
    }
    self.finish_not_run(context, reason, retry_after_ms)
  }

  pub(super) fn finish_not_run(
    &mut self,
    context: &mut Context,
    reason: NotRunReason,
    retry_after_ms: u64,
  ) -> Outcome<State> {
    self.release_claim(context);
    let request = self.arrival.request;
    context.record(EventKind::RequestNotRun, request.0, format!("{reason:?}"));
    context.emit(Action::Complete(
      request,
      RequestOutcome::NotRun {
        reason,
        retry_after_ms,
      },
    ));
    Transition(State::finished())
  }

  pub(super) fn finish_unknown(
    &mut self,
    context: &mut Context,
    reason: UnknownReason,
  ) -> Outcome<State> {
    let request = self.arrival.request;
    context.record(EventKind::RequestUnknown, request.0, format!("{reason:?}"));
    context.emit(Action::Complete(
      request,
      RequestOutcome::Unknown { reason },
    ));
    Transition(State::finished())
  }

  pub(super) fn finish_answered(&mut self, context: &mut Context) -> Outcome<State> {
    self.return_retry(context);
    let attempt = self.attempt_id(context);
    if let Some(placement) = &self.placement {
      context.close_command(&attempt, &placement.decode);
    }
    self.release_slot(context);
    let request = self.arrival.request;
    context.record(EventKind::RequestAnswered, request.0, &attempt);
    context.emit(Action::Complete(request, RequestOutcome::Answered));
    Transition(State::finished())
  }

  pub(super) fn finish_abandoned(&mut self, context: &mut Context) -> Outcome<State> {
    self.return_retry(context);
    self.abandon_attempt(context);
    if !self.began && self.attempt == 0 {
      self.release_claim(context);
    }
    let request = self.arrival.request;
    context.record(EventKind::RequestAbandoned, request.0, "");
    context.emit(Action::Complete(request, RequestOutcome::Abandoned));
    Transition(State::finished())
  }

  pub(super) fn release_claim(&mut self, context: &mut Context) {
    if !std::mem::take(&mut self.claimed) {
      return;
    }
    let Some(key) = self.arrival.idempotency_key.clone() else {
      return;
    };
    context.record(EventKind::ClaimReleased, self.arrival.request.0, "");
    context.emit(Action::ReleaseClaim(
      self.arrival.request,
      self.arrival.organisation.clone(),
      key,
    ));
  }

  /// Cancels all commands of the current attempt and releases its slot.
  pub(super) fn abandon_attempt(&mut self, context: &mut Context) {
    let attempt = self.attempt_id(context);
    if self.prefilled_tokens > 0 {
      context.record(EventKind::PrefillWasted, &attempt, self.prefilled_tokens);
      self.prefilled_tokens = 0;
    }
    if let Some(placement) = self.placement.clone() {
      context.cancel_command(&attempt, &placement.prefill);
      context.cancel_command(&attempt, &placement.decode);
    }
    self.release_slot(context);
  }

  fn return_retry(&mut self, context: &mut Context) {
    if std::mem::take(&mut self.retry_taken) {
      context.budget.return_retry();
    }
  }

  pub(super) fn release_slot(&mut self, context: &mut Context) {
    let Some(engine) = self.slot.take() else {
      return;
    };
    let attempt = self.attempt_id(context);
    if self.placement.is_some() {
      context.return_slot(&attempt, &engine);
    } else {
      context.fleet.update(&engine, |service| {
        service.own_slots = service.own_slots.saturating_sub(1);
        service.remove_sent(1);
      });
    }
  }
}
