//! The life of one request, from its rank to one of its endings.

use {
  super::{
    Action, Arrival, Began, ClaimOutcome, DecodeOrder, Doubt, Ending, Endpoint, ImportOrder,
    NoPlace, NoteKind, PeerMessage, Placement, PrefillOrder, Rank, Refusal, Scene, SeatAsk,
    SeatDecision, SeatMode, ServiceOrder, StageOutcome, Waiting, Work,
  },
  crate::ids::{AttemptId, Name},
  statig::prelude::*,
};

/// What moves a request on.
#[derive(Clone, Debug)]
pub enum Step {
  /// Its claim was settled.
  Claim(ClaimOutcome),
  /// A claim has to be written first.
  AwaitClaim,
  /// It is its turn to be placed.
  Place,
  /// It was put back into its lane.
  Requeued,
  /// A home answered its ask for a seat.
  Seat {
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
  CallerGone,
  /// It can't be served in time, or must make room.
  Refuse(Refusal, u64),
  /// Time has passed.
  Tick,
}

/// How the last try to place the request went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placed {
  /// It left the queue.
  Moved,
  /// It has to wait.
  Waits(NoPlace),
}

/// One request.
#[derive(Debug)]
pub struct Life {
  /// What ingress handed over.
  pub arrival: Arrival,
  /// What policy says of it.
  pub rank: Rank,
  /// When it arrived.
  pub arrived_ms: u64,
  /// When its first byte must come.
  pub deadline_ms: u64,
  /// How the last try to place it went.
  pub placed: Placed,
  /// Whether it wants to be put back before the others of its organisation.
  pub requeue: bool,
  attempt: u32,
  failures: u32,
  placement: Option<Placement>,
  prefilled_ms: u64,
  seat: Option<Name>,
  asked_ms: u64,
  link_wait_ms: u64,
  offset: u64,
  began: bool,
  streaming: bool,
  claimed: bool,
  wasted_tokens: u64,
  read_tokens: u64,
  endpoint: Option<Name>,
  tried: Vec<Name>,
}

impl Life {
  pub(crate) fn new(arrival: Arrival, rank: Rank, now_ms: u64) -> Self {
    let allowed_ms = arrival.deadline_ms.unwrap_or(rank.first_token_ms);
    Self {
      arrived_ms: now_ms,
      asked_ms: 0,
      attempt: 0,
      began: false,
      claimed: false,
      deadline_ms: now_ms + allowed_ms,
      endpoint: None,
      failures: 0,
      link_wait_ms: 0,
      offset: 0,
      placed: Placed::Waits(NoPlace::NoSeat),
      placement: None,
      prefilled_ms: 0,
      read_tokens: 0,
      requeue: false,
      seat: None,
      streaming: false,
      tried: Vec::new(),
      wasted_tokens: 0,
      arrival,
      rank,
    }
  }

  /// The lane it waits in: its model, or its plain service.
  pub fn lane(&self) -> &Name {
    match &self.arrival.work {
      Work::Model(work) => &work.model,
      Work::Service(work) => &work.service,
    }
  }

  /// How it stands in the queue.
  pub(crate) fn waiting(&self) -> Waiting {
    let cost_tokens = match &self.arrival.work {
      Work::Model(work) => work.prompt_tokens + work.max_tokens,
      Work::Service(_) => 1,
    };
    Waiting {
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
    let grace_ms = if self.began { BEGUN_GRACE_MS } else { 0 };
    now_ms >= self.deadline_ms + grace_ms
  }

  fn attempt_id(&self, scene: &Scene) -> AttemptId {
    AttemptId {
      attempt: self.attempt,
      box_name: scene.identity.name.clone(),
      incarnation: scene.identity.incarnation,
      sequence: self.arrival.request.0,
    }
  }

  fn is_current(&self, attempt: &AttemptId) -> bool {
    attempt.attempt == self.attempt
  }

  fn left_ms(&self, scene: &Scene) -> u64 {
    self.deadline_ms.saturating_sub(scene.now_ms)
  }

  fn claim_wanted(&self) -> Option<Name> {
    let key = self.arrival.idempotency_key.clone()?;
    self.arrival.not_repeatable.then_some(key)
  }
}

#[state_machine(initial = "State::queued()", state(derive(Clone, Debug, PartialEq)))]
impl Life {
  /// Its claim is being written.
  #[state(superstate = "unsent")]
  fn claiming(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Claim(ClaimOutcome::Held) => {
        self.claimed = true;
        self.requeue = true;
        context.note(NoteKind::ClaimHeld, self.arrival.request.0, "");
        Transition(State::queued())
      }
      Step::Claim(ClaimOutcome::Taken) => {
        context.note(NoteKind::ClaimTaken, self.arrival.request.0, "");
        self.not_run(context, Refusal::AlreadyClaimed, 0)
      }
      Step::Claim(ClaimOutcome::Unavailable) => {
        context.note(NoteKind::ClaimUnavailable, self.arrival.request.0, "");
        self.not_run(context, Refusal::ClaimUnavailable, CLAIM_RETRY_MS)
      }
      // A claim may have been written: its settling releases or keeps it.
      Step::CallerGone => Transition(State::claim_unwanted()),
      _ => Super,
    }
  }

  /// Its caller left while the claim was being written.
  #[state]
  fn claim_unwanted(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Claim(outcome) => {
        self.claimed = *outcome == ClaimOutcome::Held;
        self.abandoned(context)
      }
      _ => Handled,
    }
  }

  /// It waits for a place.
  #[state(superstate = "unsent")]
  fn queued(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::AwaitClaim => Transition(State::claiming()),
      Step::Requeued => {
        self.requeue = false;
        Handled
      }
      Step::Place => match &self.arrival.work {
        Work::Model(_) => self.place_model(context),
        Work::Service(_) => self.place_call(context),
      },
      _ => Super,
    }
  }

  /// A home was asked for a seat.
  #[state(superstate = "unsent")]
  fn asking(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Seat {
        attempt,
        granted,
        link_wait_ms,
      } if self.is_current(attempt) => {
        if *granted {
          self.order_prefill(context, *link_wait_ms)
        } else {
          self.seat_refused(context)
        }
      }
      Step::Tick if context.now_ms > self.asked_ms + context.tuning().ask_timeout_ms => {
        self.take_ask_back(context);
        self.seat_refused(context)
      }
      Step::CallerGone => {
        self.take_ask_back(context);
        self.abandoned(context)
      }
      _ => Super,
    }
  }

  /// The prompt is being read.
  #[state(superstate = "sent")]
  fn prefilling(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Stage {
        attempt,
        endpoint,
        outcome:
          StageOutcome::Prefilled {
            prompt_tokens,
            cached_tokens,
            ..
          },
      } if self.is_current(attempt) => {
        self.prefilled(context, endpoint, *prompt_tokens, *cached_tokens)
      }
      _ => Super,
    }
  }

  /// The KV cache is on its way.
  #[state(superstate = "sent")]
  fn transferring(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Stage {
        attempt,
        outcome: StageOutcome::Imported,
        ..
      } if self.is_current(attempt) => self.order_decode(context),
      Step::Stage {
        attempt,
        outcome: StageOutcome::Full,
        ..
      } if self.is_current(attempt) => self.decode_full(context),
      _ => Super,
    }
  }

  /// The answer is being written.
  #[state(superstate = "sent")]
  fn decoding(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Stage {
        attempt,
        endpoint,
        outcome: StageOutcome::FirstChunk,
      } if self.is_current(attempt) => {
        self.streaming = true;
        context.fleet.change(endpoint, Endpoint::succeeded);
        context.note(NoteKind::FirstChunk, attempt, "");
        Handled
      }
      Step::Stage {
        attempt,
        outcome: StageOutcome::Finished { .. },
        ..
      } if self.is_current(attempt) => self.answered(context),
      _ => Super,
    }
  }

  /// A plain service is at work.
  #[state(superstate = "sent")]
  fn calling(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::Stage {
        attempt,
        outcome: StageOutcome::FirstChunk,
        ..
      } if self.is_current(attempt) => {
        self.streaming = true;
        self.began = true;
        Handled
      }
      Step::Stage {
        attempt,
        outcome: StageOutcome::Finished { .. },
        ..
      } if self.is_current(attempt) => self.answered(context),
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
  fn unsent(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::CallerGone => self.abandoned(context),
      Step::Refuse(reason, retry_after_ms) => self.give_up(context, *reason, *retry_after_ms),
      _ => Handled,
    }
  }

  /// An order of the present attempt has left.
  #[superstate]
  fn sent(&mut self, context: &mut Scene, event: &Step) -> Outcome<State> {
    match event {
      Step::CallerGone => self.abandoned(context),
      Step::Stage {
        attempt,
        endpoint,
        outcome: StageOutcome::Full,
      } if self.is_current(attempt) => {
        context.close(attempt, endpoint);
        self.refused_as_full(context, endpoint)
      }
      Step::Stage {
        attempt,
        endpoint,
        outcome:
          StageOutcome::Broke {
            began,
            offset,
            resumable,
          },
      } if self.is_current(attempt) => {
        self.offset = (*offset).max(self.offset);
        self.failed(context, endpoint, *began, *resumable)
      }
      _ => Handled,
    }
  }
}

/// Time after which a full decode engine is tried again while the export lasts.
const FULL_AGAIN_MS: u64 = 60;
const BEGUN_GRACE_MS: u64 = 20_000;
const CLAIM_RETRY_MS: u64 = 2_000;
const BUSY_RETRY_MS: u64 = 1_000;

impl Life {
  fn place_model(&mut self, context: &mut Scene) -> Outcome<State> {
    let Work::Model(work) = &self.arrival.work else {
      return Handled;
    };
    let placement = match context.place(work, &self.tried) {
      Ok(placement) => placement,
      Err(no_place) => {
        self.placed = Placed::Waits(no_place);
        return Handled;
      }
    };
    let late = placement.first_token_in_ms > self.left_ms(context);
    if late && !self.began && context.tuning().early_refusal {
      self.placed = Placed::Moved;
      let retry_after_ms = placement.ready_in_ms;
      return self.give_up(context, Refusal::TooLate, retry_after_ms);
    }
    let max_tokens = work.max_tokens;
    self.placed = Placed::Moved;
    self.attempt += 1;
    self.link_wait_ms = 0;
    let reserve = context.tuning().reserve_before_prefill;
    let home = context.home(&placement.decode);
    let ask = SeatAsk {
      attempt: self.attempt_id(context),
      engine: placement.decode.clone(),
      hold_ms: max_tokens * context.tuning().token_ms,
      kv_bytes: placement.kv_bytes,
      ready_in_ms: placement.ready_in_ms,
    };
    self.placement = Some(placement);
    if !reserve || context.tuning().seat_mode != SeatMode::HomeGrants {
      return self.order_prefill(context, 0);
    }
    match home {
      Some(home) if home == context.identity.name => match context.grant(&ask) {
        SeatDecision::Granted { link_wait_ms } => self.order_prefill(context, link_wait_ms),
        SeatDecision::Full => self.seat_refused(context),
      },
      Some(home) => {
        self.asked_ms = context.now_ms;
        context.act(Action::Send(home, PeerMessage::SeatAsk(ask)));
        Transition(State::asking())
      }
      // No home lives: the engine itself still refuses when full.
      None => self.order_prefill(context, 0),
    }
  }

  fn place_call(&mut self, context: &mut Scene) -> Outcome<State> {
    let service = self.lane().clone();
    let endpoint = match context.place_call(&service, &self.tried) {
      Ok(endpoint) => endpoint,
      Err(no_place) => {
        self.placed = Placed::Waits(no_place);
        return Handled;
      }
    };
    self.placed = Placed::Moved;
    self.attempt += 1;
    let attempt = self.attempt_id(context);
    context.fleet.change(&endpoint, |endpoint| {
      endpoint.own_seats += 1;
    });
    context
      .fleet
      .change(&endpoint, |service| service.note_sent(context.now_ms, 1));
    self.seat = Some(endpoint.clone());
    self.endpoint = Some(endpoint.clone());
    context.note(NoteKind::ServiceCalled, &attempt, &endpoint);
    context.act(Action::Call(ServiceOrder {
      attempt,
      deadline_ms: self.left_ms(context),
      endpoint,
    }));
    Transition(State::calling())
  }

  fn seat_refused(&mut self, context: &mut Scene) -> Outcome<State> {
    if let Some(engine) = self.placement.as_ref().map(|place| place.decode.clone()) {
      let until_ms = context.now_ms + context.tuning().full_pause_ms;
      context
        .fleet
        .change(&engine, |engine| engine.refused_until_ms = until_ms);
      let attempt = self.attempt_id(context);
      context.note(NoteKind::SeatRefused, attempt, engine);
    }
    // The ask was no try at an engine.
    self.requeue = true;
    Transition(State::queued())
  }

  /// The home may have granted what this box no longer waits for.
  fn take_ask_back(&mut self, context: &mut Scene) {
    let Some(engine) = self.placement.as_ref().map(|place| place.decode.clone()) else {
      return;
    };
    let attempt = self.attempt_id(context);
    if let Some(home) = context.home(&engine) {
      context.act(Action::Send(home, PeerMessage::SeatReturn(attempt, engine)));
    }
  }

  fn order_prefill(&mut self, context: &mut Scene, link_wait_ms: u64) -> Outcome<State> {
    let Some(placement) = self.placement.clone() else {
      return Handled;
    };
    let attempt = self.attempt_id(context);
    self.link_wait_ms = link_wait_ms;
    self.read_tokens = 0;
    self.seat = Some(placement.decode.clone());
    let now_ms = context.now_ms;
    context.fleet.change(&placement.decode, |engine| {
      engine.own_seats += 1;
      engine.note_sent(now_ms, 1);
    });
    context.fleet.change(&placement.prefill, |engine| {
      engine.note_sent(now_ms, placement.uncached_tokens);
    });
    context.open(&attempt, &placement.prefill);
    context.note(NoteKind::PrefillOrdered, &attempt, &placement.prefill);
    context.act(Action::Prefill(PrefillOrder {
      attempt,
      deadline_ms: self.left_ms(context),
      engine: placement.prefill,
      hold_ms: context.tuning().hold_ms,
      priority: self.rank.priority,
    }));
    Transition(State::prefilling())
  }

  fn prefilled(
    &mut self,
    context: &mut Scene,
    endpoint: &Name,
    prompt_tokens: u64,
    cached_tokens: u64,
  ) -> Outcome<State> {
    self.began = true;
    context.fleet.change(endpoint, Endpoint::succeeded);
    self.read_tokens = prompt_tokens.saturating_sub(cached_tokens);
    self.prefilled_ms = context.now_ms;
    let attempt = self.attempt_id(context);
    if let Work::Model(work) = &mut self.arrival.work {
      let found = usize::try_from(cached_tokens / super::BLOCK_TOKENS).unwrap_or(usize::MAX);
      let missed = work.prefix.get(found..).unwrap_or_default().to_vec();
      context.hints.missed(endpoint, &missed);
      context.hints.saw(context.now_ms, endpoint, &work.prefix);
      work.prompt_tokens = prompt_tokens.max(1);
    }
    context.note(NoteKind::PrefillDone, &attempt, cached_tokens);
    self.order_import(context)
  }

  fn order_import(&mut self, context: &mut Scene) -> Outcome<State> {
    let Some(placement) = self.placement.clone() else {
      return Handled;
    };
    let attempt = self.attempt_id(context);
    context.open(&attempt, &placement.decode);
    context.note(NoteKind::TransferOrdered, &attempt, &placement.decode);
    context.act(Action::Import(ImportOrder {
      attempt,
      deadline_ms: self.left_ms(context),
      engine: placement.decode,
      hold_ms: context.tuning().hold_ms,
      link_wait_ms: self.link_wait_ms,
      source: placement.prefill,
    }));
    self.link_wait_ms = 0;
    Transition(State::transferring())
  }

  /// The decode engine was full at the end: another in the hall, or the same a little later, while
  /// the export lasts.
  fn decode_full(&mut self, context: &mut Scene) -> Outcome<State> {
    let attempt = self.attempt_id(context);
    let Some(full) = self.placement.as_ref().map(|place| place.decode.clone()) else {
      return Handled;
    };
    context.close(&attempt, &full);
    let until_ms = context.now_ms + FULL_AGAIN_MS;
    context
      .fleet
      .change(&full, |engine| engine.refused_until_ms = until_ms);
    let lasts_until_ms = self.prefilled_ms + context.tuning().export_keep_ms;
    if context.now_ms + FULL_AGAIN_MS >= lasts_until_ms {
      return self.failed(context, &full, Began::Perhaps, true);
    }
    let Work::Model(work) = &self.arrival.work else {
      return Handled;
    };
    match context.free_decode(work, &full) {
      Some(other) => self.move_seat(context, other),
      None => self.link_wait_ms = FULL_AGAIN_MS,
    }
    self.order_import(context)
  }

  fn move_seat(&mut self, context: &mut Scene, other: Name) {
    self.release_seat(context);
    let now_ms = context.now_ms;
    context.fleet.change(&other, |engine| {
      engine.own_seats += 1;
      engine.note_sent(now_ms, 1);
    });
    self.seat = Some(other.clone());
    if let Some(placement) = &mut self.placement {
      placement.decode = other;
    }
  }

  fn order_decode(&mut self, context: &mut Scene) -> Outcome<State> {
    let Some(placement) = self.placement.clone() else {
      return Handled;
    };
    let attempt = self.attempt_id(context);
    context.close(&attempt, &placement.prefill);
    self.read_tokens = 0;
    context.note(NoteKind::TransferDone, &attempt, &placement.decode);
    let kind = if self.offset > 0 {
      NoteKind::DecodeResumed
    } else {
      NoteKind::DecodeOrdered
    };
    context.note(kind, &attempt, &placement.decode);
    context.act(Action::Decode(DecodeOrder {
      attempt,
      engine: placement.decode,
      offset: self.offset,
    }));
    Transition(State::decoding())
  }

  /// Nothing began: the request waits for its turn again, and no retry is spent.
  fn refused_as_full(&mut self, context: &mut Scene, endpoint: &Name) -> Outcome<State> {
    let until_ms = context.now_ms + context.tuning().full_pause_ms;
    context
      .fleet
      .change(endpoint, |endpoint| endpoint.refused_until_ms = until_ms);
    self.leave_attempt(context);
    self.requeue = true;
    Transition(State::queued())
  }

  /// An order failed: try again where that is allowed, or end.
  fn failed(
    &mut self,
    context: &mut Scene,
    endpoint: &Name,
    began: Began,
    resumable: bool,
  ) -> Outcome<State> {
    let attempt = self.attempt_id(context);
    context.note(NoteKind::OrderFailed, &attempt, endpoint);
    self.began |= began == Began::Perhaps;
    self.leave_attempt(context);
    self.tried.push(endpoint.clone());
    self.failures += 1;
    let now_ms = context.now_ms;
    context
      .fleet
      .change(endpoint, |endpoint| endpoint.failed(now_ms));
    let doubt = if self.streaming {
      Doubt::AnswerBroken
    } else {
      Doubt::EndpointFailed
    };
    if !self.may_retry(resumable) {
      return self.end_failed(context, Refusal::NeverBegan, doubt);
    }
    if self.failures >= context.tuning().max_attempts {
      return self.end_failed(context, Refusal::NeverBegan, doubt);
    }
    if !context.budget.take() {
      context.note(NoteKind::RetryDenied, &attempt, "");
      return self.end_failed(context, Refusal::RetryBudget, doubt);
    }
    self.requeue = true;
    Transition(State::queued())
  }

  fn may_retry(&self, resumable: bool) -> bool {
    if self.streaming && !resumable {
      return false;
    }
    match &self.arrival.work {
      _ if self.arrival.not_repeatable => !self.began,
      Work::Model(_) => true,
      Work::Service(work) => !self.streaming && (work.idempotent || !self.began),
    }
  }

  fn end_failed(&mut self, context: &mut Scene, reason: Refusal, doubt: Doubt) -> Outcome<State> {
    if self.began {
      return self.unknown(context, doubt);
    }
    self.not_run(context, reason, BUSY_RETRY_MS)
  }

  /// Ends a request that waits: "not run" if nothing ever began, else "unknown".
  fn give_up(
    &mut self,
    context: &mut Scene,
    reason: Refusal,
    retry_after_ms: u64,
  ) -> Outcome<State> {
    if self.began {
      let doubt = match reason {
        _ if self.streaming => Doubt::AnswerBroken,
        Refusal::TooLate => Doubt::TimedOut,
        _ => Doubt::EndpointFailed,
      };
      return self.unknown(context, doubt);
    }
    self.not_run(context, reason, retry_after_ms)
  }

  fn not_run(
    &mut self,
    context: &mut Scene,
    reason: Refusal,
    retry_after_ms: u64,
  ) -> Outcome<State> {
    self.release_claim(context);
    let request = self.arrival.request;
    context.note(NoteKind::RequestNotRun, request.0, format!("{reason:?}"));
    context.act(Action::End(
      request,
      Ending::NotRun {
        reason,
        retry_after_ms,
      },
    ));
    Transition(State::ended())
  }

  fn unknown(&mut self, context: &mut Scene, reason: Doubt) -> Outcome<State> {
    let request = self.arrival.request;
    context.note(NoteKind::RequestUnknown, request.0, format!("{reason:?}"));
    context.act(Action::End(request, Ending::Unknown { reason }));
    Transition(State::ended())
  }

  fn answered(&mut self, context: &mut Scene) -> Outcome<State> {
    let attempt = self.attempt_id(context);
    if let Some(placement) = &self.placement {
      context.close(&attempt, &placement.decode);
    }
    self.release_seat(context);
    let request = self.arrival.request;
    context.note(NoteKind::RequestAnswered, request.0, &attempt);
    context.act(Action::End(request, Ending::Answered));
    Transition(State::ended())
  }

  fn abandoned(&mut self, context: &mut Scene) -> Outcome<State> {
    self.leave_attempt(context);
    if !self.began && self.attempt == 0 {
      self.release_claim(context);
    }
    let request = self.arrival.request;
    context.note(NoteKind::RequestAbandoned, request.0, "");
    context.act(Action::End(request, Ending::Abandoned));
    Transition(State::ended())
  }

  fn release_claim(&mut self, context: &mut Scene) {
    if !std::mem::take(&mut self.claimed) {
      return;
    }
    let Some(key) = self.arrival.idempotency_key.clone() else {
      return;
    };
    context.note(NoteKind::ClaimReleased, self.arrival.request.0, "");
    context.act(Action::ReleaseClaim(
      self.arrival.request,
      self.arrival.organisation.clone(),
      key,
    ));
  }

  /// Cancels all that the present attempt may hold anywhere.
  fn leave_attempt(&mut self, context: &mut Scene) {
    let attempt = self.attempt_id(context);
    if self.read_tokens > 0 {
      self.wasted_tokens += self.read_tokens;
      context.note(NoteKind::PrefillWasted, &attempt, self.read_tokens);
      self.read_tokens = 0;
    }
    if let Some(placement) = self.placement.clone() {
      context.cancel(&attempt, &placement.prefill);
      context.cancel(&attempt, &placement.decode);
    }
    self.release_seat(context);
  }

  fn release_seat(&mut self, context: &mut Scene) {
    let Some(engine) = self.seat.take() else {
      return;
    };
    let attempt = self.attempt_id(context);
    if self.placement.is_some() {
      context.return_seat(&attempt, &engine);
    } else {
      context.fleet.change(&engine, |service| {
        service.own_seats = service.own_seats.saturating_sub(1);
        service.forget_sent(1);
      });
    }
  }

  /// Begins with the claim where one is needed.
  pub(crate) fn needs_claim(&self) -> Option<Name> {
    if self.claimed {
      None
    } else {
      self.claim_wanted()
    }
  }
}
