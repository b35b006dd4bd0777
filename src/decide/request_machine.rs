//! The state machine of a request, from its rank to its outcome.

use {
  super::{
    Arrival, ClaimOutcome, Context, Endpoint, EventKind, NotRunReason, Placement, PlacementError,
    QueueEntry, Rank, StageOutcome, Work,
  },
  crate::ids::{AttemptId, Name},
  statig::prelude::*,
};

/// Grace period after the deadline for work that may have begun.
const STARTED_GRACE_MS: u64 = 20_000;
/// Silence after which a stream ends although no retry is left for it.
const MAX_SILENCE_MS: u64 = STARTED_GRACE_MS;
const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

mod completion;
mod dispatch;
mod transfer;

/// An input of a request's state machine.
#[derive(Clone, Debug)]
pub enum RequestEvent {
  /// Result of writing its claim.
  Claim(ClaimOutcome),
  /// A claim has to be written before it is queued.
  AwaitClaim,
  /// The request is first in its queue.
  Place,
  /// The request was put back into its queue.
  Requeued,
  /// The response to a slot request.
  Slot {
    attempt: AttemptId,
    granted: bool,
    /// Wait for the link window after the requested time.
    link_wait_ms: u64,
  },
  /// Result of one of its commands.
  Stage {
    attempt: AttemptId,
    endpoint: Name,
    outcome: StageOutcome,
  },
  CallerDisconnected,
  /// The request can't be served in time, or is shed; with the retry-after delay.
  Reject(NotRunReason, u64),
  Tick,
}

/// Result of an attempt to place a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementResult {
  /// The request has left the queue.
  Dequeued,
  /// The request has to wait.
  Waiting(PlacementError),
}

/// The state of one request.
#[derive(Debug)]
pub struct RequestMachine {
  pub arrival: Arrival,
  pub rank: Rank,
  pub arrived_ms: u64,
  /// Deadline of its first byte.
  pub deadline_ms: u64,
  /// Result of the last attempt to place it.
  pub placed: PlacementResult,
  /// Whether it is to be put back in front of its organisation's requests.
  pub requeue: bool,
  attempt: u32,
  failures: u32,
  placement: Option<Placement>,
  prefilled_ms: u64,
  slot: Option<Name>,
  slot_requested_ms: u64,
  link_wait_ms: u64,
  offset: u64,
  began: bool,
  streaming: bool,
  /// A retry was taken for the current attempt, whose stream is silent.
  retry_taken: bool,
  claimed: bool,
  prefilled_tokens: u64,
  endpoint: Option<Name>,
  tried: Vec<Name>,
}

impl RequestMachine {
  pub(crate) fn new(arrival: Arrival, rank: Rank, now_ms: u64) -> Self {
    let allowed_ms = arrival.deadline_ms.unwrap_or(rank.first_token_ms);
    Self {
      arrived_ms: now_ms,
      slot_requested_ms: 0,
      attempt: 0,
      began: false,
      claimed: false,
      deadline_ms: now_ms + allowed_ms,
      endpoint: None,
      failures: 0,
      link_wait_ms: 0,
      offset: 0,
      placed: PlacementResult::Waiting(PlacementError::NoSlot),
      placement: None,
      prefilled_ms: 0,
      prefilled_tokens: 0,
      requeue: false,
      retry_taken: false,
      slot: None,
      streaming: false,
      tried: Vec::new(),
      arrival,
      rank,
    }
  }

  /// The name of its queue: its model or its plain service.
  pub fn queue_name(&self) -> &Name {
    match &self.arrival.work {
      Work::Model(work) => &work.model,
      Work::Service(work) => &work.service,
    }
  }

  /// Its entry for the queue.
  pub(crate) fn queue_entry(&self) -> QueueEntry {
    let cost_tokens = match &self.arrival.work {
      Work::Model(work) => work.prompt_tokens + work.max_tokens,
      Work::Service(_) => 1,
    };
    QueueEntry {
      cost_tokens,
      may_wait: self.rank.may_wait,
      organisation: self.arrival.organisation.clone(),
      priority: self.rank.priority,
      request: self.arrival.request,
      weight: self.rank.weight,
    }
  }

  /// Whether it has waited too long. Work that may have begun gets a grace period: a late answer is better than an
  /// unknown outcome.
  pub(crate) fn is_overdue(&self, now_ms: u64) -> bool {
    let grace_ms = if self.began { STARTED_GRACE_MS } else { 0 };
    now_ms >= self.deadline_ms + grace_ms
  }

  fn attempt_id(&self, context: &Context) -> AttemptId {
    AttemptId {
      attempt: self.attempt,
      box_name: context.identity.name.clone(),
      incarnation: context.identity.incarnation,
      sequence: self.arrival.request.0,
    }
  }

  fn is_current(&self, attempt: &AttemptId) -> bool {
    attempt.attempt == self.attempt
  }

  fn remaining_ms(&self, context: &Context) -> u64 {
    self.deadline_ms.saturating_sub(context.now_ms)
  }

  fn claim_key(&self) -> Option<Name> {
    let key = self.arrival.idempotency_key.clone()?;
    self.arrival.not_repeatable.then_some(key)
  }
}

#[state_machine(initial = "State::queued()", state(derive(Clone, Debug, PartialEq)))]
impl RequestMachine {
  #[state(superstate = "not_dispatched")]
  fn claiming(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Claim(ClaimOutcome::Held) => {
        self.claimed = true;
        self.requeue = true;
        context.record(EventKind::ClaimHeld, self.arrival.request.0, "");
        Transition(State::queued())
      }
      RequestEvent::Claim(ClaimOutcome::Taken) => {
        context.record(EventKind::ClaimTaken, self.arrival.request.0, "");
        self.finish_not_run(context, NotRunReason::AlreadyClaimed, 0)
      }
      RequestEvent::Claim(ClaimOutcome::Unavailable) => {
        context.record(EventKind::ClaimUnavailable, self.arrival.request.0, "");
        self.finish_not_run(
          context,
          NotRunReason::ClaimUnavailable,
          CLAIM_RETRY_AFTER_MS,
        )
      }
      // The claim may have been written: `claim_orphaned` releases it.
      RequestEvent::CallerDisconnected => Transition(State::claim_orphaned()),
      _ => Super,
    }
  }

  /// The caller disconnected while the claim was being written.
  #[state]
  fn claim_orphaned(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Claim(outcome) => {
        self.claimed = *outcome == ClaimOutcome::Held;
        self.finish_abandoned(context)
      }
      _ => Handled,
    }
  }

  /// Waits in its queue.
  #[state(superstate = "not_dispatched")]
  fn queued(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::AwaitClaim => Transition(State::claiming()),
      RequestEvent::Requeued => {
        self.requeue = false;
        Handled
      }
      RequestEvent::Place => match &self.arrival.work {
        Work::Model(_) => self.place_model(context),
        Work::Service(_) => self.place_call(context),
      },
      _ => Super,
    }
  }

  /// Waits for the response to a slot request.
  #[state(superstate = "not_dispatched")]
  fn requesting_slot(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Slot {
        attempt,
        granted,
        link_wait_ms,
      } if self.is_current(attempt) => {
        if *granted {
          self.start_prefill(context, *link_wait_ms)
        } else {
          self.requeue_without_slot(context)
        }
      }
      RequestEvent::Tick
        if context.now_ms > self.slot_requested_ms + context.tuning().slot_request_timeout_ms =>
      {
        self.withdraw_slot_request(context);
        self.requeue_without_slot(context)
      }
      RequestEvent::CallerDisconnected => {
        self.withdraw_slot_request(context);
        self.finish_abandoned(context)
      }
      _ => Super,
    }
  }

  #[state(superstate = "dispatched")]
  fn prefilling(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Stage {
        attempt,
        endpoint,
        outcome:
          StageOutcome::Prefilled {
            prompt_tokens,
            cached_tokens,
            ..
          },
      } if self.is_current(attempt) => {
        self.handle_prefilled(context, endpoint, *prompt_tokens, *cached_tokens)
      }
      _ => Super,
    }
  }

  /// The KV cache is being transferred.
  #[state(superstate = "dispatched")]
  fn transferring(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Stage {
        attempt,
        outcome: StageOutcome::Imported,
        ..
      } if self.is_current(attempt) => self.start_decode(context),
      RequestEvent::Stage {
        attempt,
        outcome: StageOutcome::Full,
        ..
      } if self.is_current(attempt) => self.handle_decode_full(context),
      _ => Super,
    }
  }

  #[state(superstate = "dispatched")]
  fn decoding(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Stage {
        attempt,
        endpoint,
        outcome: StageOutcome::FirstChunk,
      } if self.is_current(attempt) => {
        self.streaming = true;
        context.fleet.update(endpoint, Endpoint::record_success);
        context.record(EventKind::FirstChunk, attempt, "");
        Handled
      }
      RequestEvent::Stage {
        attempt,
        endpoint,
        outcome: StageOutcome::Stalled { silence_ms },
      } if self.is_current(attempt) => {
        self.handle_stall(context, endpoint, *silence_ms);
        Handled
      }
      RequestEvent::Stage {
        attempt,
        outcome: StageOutcome::Finished { .. },
        ..
      } if self.is_current(attempt) => self.finish_answered(context),
      _ => Super,
    }
  }

  /// A plain service is being called.
  #[state(superstate = "dispatched")]
  fn calling(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::Stage {
        attempt,
        outcome: StageOutcome::FirstChunk,
        ..
      } if self.is_current(attempt) => {
        self.streaming = true;
        self.began = true;
        Handled
      }
      RequestEvent::Stage {
        attempt,
        endpoint,
        outcome: StageOutcome::Stalled { silence_ms },
      } if self.is_current(attempt) => {
        self.handle_stall(context, endpoint, *silence_ms);
        Handled
      }
      RequestEvent::Stage {
        attempt,
        outcome: StageOutcome::Finished { .. },
        ..
      } if self.is_current(attempt) => self.finish_answered(context),
      _ => Super,
    }
  }

  #[state]
  fn finished() -> Outcome<State> {
    Handled
  }

  /// No command of the current attempt has been sent.
  #[superstate]
  fn not_dispatched(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::CallerDisconnected => self.finish_abandoned(context),
      RequestEvent::Reject(reason, retry_after_ms) => {
        self.reject(context, *reason, *retry_after_ms)
      }
      _ => Handled,
    }
  }

  /// A command of the current attempt has been sent.
  #[superstate]
  fn dispatched(&mut self, context: &mut Context, event: &RequestEvent) -> Outcome<State> {
    match event {
      RequestEvent::CallerDisconnected => self.finish_abandoned(context),
      RequestEvent::Stage {
        attempt,
        endpoint,
        outcome: StageOutcome::Full,
      } if self.is_current(attempt) => {
        context.close_command(attempt, endpoint);
        self.requeue_after_full(context, endpoint)
      }
      RequestEvent::Stage {
        attempt,
        endpoint,
        outcome:
          StageOutcome::Failed {
            began,
            offset,
            resumable,
          },
      } if self.is_current(attempt) => {
        self.offset = (*offset).max(self.offset);
        self.handle_failure(context, endpoint, *began, *resumable)
      }
      _ => Handled,
    }
  }
}

impl RequestMachine {
  /// The key of the claim that has to be written first, if any.
  pub(crate) fn needs_claim(&self) -> Option<Name> {
    if self.claimed { None } else { self.claim_key() }
  }
}
