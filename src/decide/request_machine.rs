//! The request_machine of one request, from its rank to one of its endings.

use {
  super::{
    Arrival, ClaimOutcome, Context, Endpoint, EventKind, NotRunReason, Placement, PlacementError,
    QueueEntry, Rank, StageOutcome, Work,
  },
  crate::ids::{AttemptId, Name},
  statig::prelude::*,
};

/// Grace beyond the deadline for work that began.
const STARTED_GRACE_MS: u64 = 20_000;
/// When to come back after the key-value service did not answer.
const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

mod completion;
mod dispatch;
mod transfer;

/// What moves a request on.
#[derive(Clone, Debug)]
pub enum RequestEvent {
  /// Its claim was settled.
  Claim(ClaimOutcome),
  /// A claim has to be written first.
  AwaitClaim,
  /// It is its turn to be placed.
  Place,
  /// It was put back into its lane.
  Requeued,
  /// A home answered its ask for a seat.
  Slot {
    /// The attempt that asked.
    attempt: AttemptId,
    /// Whether the seat is reserved.
    granted: bool,
    /// Wait for the link beyond the time asked for.
    link_wait_ms: u64,
  },
  /// One of its orders came to something.
  Stage {
    /// The attempt.
    attempt: AttemptId,
    /// The endpoint.
    endpoint: Name,
    /// What became of it.
    outcome: StageOutcome,
  },
  /// Its caller has gone.
  CallerDisconnected,
  /// It can't be served in time, or must make room.
  Reject(NotRunReason, u64),
  /// Time has passed.
  Tick,
}

/// How the last try to place the request went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementResult {
  /// It left the queue.
  Dequeued,
  /// It has to wait.
  Waiting(PlacementError),
}

/// One request.
#[derive(Debug)]
pub struct RequestMachine {
  /// What ingress handed over.
  pub arrival: Arrival,
  /// What policy says of it.
  pub rank: Rank,
  /// When it arrived.
  pub arrived_ms: u64,
  /// When its first byte must come.
  pub deadline_ms: u64,
  /// How the last try to place it went.
  pub placed: PlacementResult,
  /// Whether it wants to be put back before the others of its organisation.
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
      slot: None,
      streaming: false,
      tried: Vec::new(),
      arrival,
      rank,
    }
  }

  /// The lane it waits in: its model, or its plain service.
  pub fn queue_name(&self) -> &Name {
    match &self.arrival.work {
      Work::Model(work) => &work.model,
      Work::Service(work) => &work.service,
    }
  }

  /// How it stands in the queue.
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

  /// Whether it has waited for longer than makes sense. Work that began was accepted for good: late is
  /// better for it than "unknown", up to a bound.
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
  /// Its claim is being written.
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
      // A claim may have been written: its settling releases or keeps it.
      RequestEvent::CallerDisconnected => Transition(State::claim_orphaned()),
      _ => Super,
    }
  }

  /// Its caller left while the claim was being written.
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

  /// It waits for a place.
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

  /// A home was asked for a seat.
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

  /// The prompt is being read.
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

  /// The KV cache is on its way.
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

  /// The answer is being written.
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
        outcome: StageOutcome::Finished { .. },
        ..
      } if self.is_current(attempt) => self.finish_answered(context),
      _ => Super,
    }
  }

  /// A plain service is at work.
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
        outcome: StageOutcome::Finished { .. },
        ..
      } if self.is_current(attempt) => self.finish_answered(context),
      _ => Super,
    }
  }

  /// It has ended.
  #[state]
  fn ended() -> Outcome<State> {
    Handled
  }

  /// No order has left for the present attempt.
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

  /// An order of the present attempt has left.
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
  /// Begins with the claim where one is needed.
  pub(crate) fn needs_claim(&self) -> Option<Name> {
    if self.claimed { None } else { self.claim_key() }
  }
}
