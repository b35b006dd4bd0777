//! Placement of a request: choice of engines, reservation of a slot, start of prefill.

use {
  super::{PlacementResult, RequestMachine, State},
  crate::decide::{
    Action, CallCommand, Context, EventKind, NotRunReason, PeerMessage, PrefillCommand,
    SlotDecision, SlotMode, SlotRequest, Work,
  },
  statig::prelude::*,
};

impl RequestMachine {
  pub(super) fn place_model(&mut self, context: &mut Context) -> Outcome<State> {
    let Work::Model(work) = &self.arrival.work else {
      return Handled;
    };
    let placement = match context.place_completion(work, &self.tried) {
      Ok(placement) => placement,
      Err(error) => {
        self.placed = PlacementResult::Waiting(error);
        return Handled;
      }
    };
    let late = placement.first_token_in_ms > self.remaining_ms(context);
    if late && !self.began && context.tuning().early_refusal {
      self.placed = PlacementResult::Dequeued;
      let retry_after_ms = placement.ready_in_ms;
      return self.reject(context, NotRunReason::TooLate, retry_after_ms);
    }
    let max_tokens = work.max_tokens;
    self.placed = PlacementResult::Dequeued;
    self.attempt += 1;
    self.link_wait_ms = 0;
    let reserve = context.tuning().reserve_before_prefill;
    let owner = context.owner(&placement.decode);
    let request = SlotRequest {
      attempt: self.attempt_id(context),
      engine: placement.decode.clone(),
      hold_ms: max_tokens * context.tuning().token_ms,
      kv_bytes: placement.kv_bytes,
      ready_in_ms: placement.ready_in_ms,
    };
    self.placement = Some(placement);
    if !reserve || context.tuning().slot_mode != SlotMode::OwnerGrants {
      return self.start_prefill(context, 0);
    }
    match owner {
      Some(owner) if owner == context.identity.name => match context.grant_slot(&request) {
        SlotDecision::Granted { link_wait_ms } => self.start_prefill(context, link_wait_ms),
        SlotDecision::Full => self.requeue_without_slot(context),
      },
      Some(owner) => {
        self.slot_requested_ms = context.now_ms;
        context.emit(Action::Send(owner, PeerMessage::SlotRequest(request)));
        Transition(State::requesting_slot())
      }
      // No box owns the engine; the engine itself still rejects work when full.
      None => self.start_prefill(context, 0),
    }
  }

  pub(super) fn place_call(&mut self, context: &mut Context) -> Outcome<State> {
    let service = self.queue_name().clone();
    let endpoint = match context.place_service_call(&service, &self.tried) {
      Ok(endpoint) => endpoint,
      Err(error) => {
        self.placed = PlacementResult::Waiting(error);
        return Handled;
      }
    };
    self.placed = PlacementResult::Dequeued;
    self.attempt += 1;
    let attempt = self.attempt_id(context);
    context.fleet.update(&endpoint, |endpoint| {
      endpoint.own_slots += 1;
    });
    context
      .fleet
      .update(&endpoint, |service| service.record_sent(context.now_ms, 1));
    self.slot = Some(endpoint.clone());
    self.endpoint = Some(endpoint.clone());
    context.record(EventKind::ServiceCalled, &attempt, &endpoint);
    context.emit(Action::Call(CallCommand {
      attempt,
      deadline_ms: self.remaining_ms(context),
      endpoint,
    }));
    Transition(State::calling())
  }

  pub(super) fn requeue_without_slot(&mut self, context: &mut Context) -> Outcome<State> {
    if let Some(engine) = self.placement.as_ref().map(|place| place.decode.clone()) {
      let until_ms = context.now_ms + context.tuning().full_backoff_ms;
      context
        .fleet
        .update(&engine, |engine| engine.full_until_ms = until_ms);
      let attempt = self.attempt_id(context);
      context.record(EventKind::SeatRefused, attempt, engine);
    }
    // A rejected slot request does not count as an attempt at an engine.
    self.requeue = true;
    Transition(State::queued())
  }

  /// The owner may have granted the slot, so that it has to be returned.
  pub(super) fn withdraw_slot_request(&mut self, context: &mut Context) {
    let Some(engine) = self.placement.as_ref().map(|place| place.decode.clone()) else {
      return;
    };
    let attempt = self.attempt_id(context);
    if let Some(owner) = context.owner(&engine) {
      context.emit(Action::Send(
        owner,
        PeerMessage::SlotReturn(attempt, engine),
      ));
    }
  }

  pub(super) fn start_prefill(
    &mut self,
    context: &mut Context,
    link_wait_ms: u64,
  ) -> Outcome<State> {
    let Some(placement) = self.placement.clone() else {
      return Handled;
    };
    let attempt = self.attempt_id(context);
    self.link_wait_ms = link_wait_ms;
    self.prefilled_tokens = 0;
    self.slot = Some(placement.decode.clone());
    let now_ms = context.now_ms;
    context.fleet.update(&placement.decode, |engine| {
      engine.own_slots += 1;
      engine.record_sent(now_ms, 1);
    });
    context.fleet.update(&placement.prefill, |engine| {
      engine.record_sent(now_ms, placement.uncached_tokens);
    });
    context.open_command(&attempt, &placement.prefill);
    context.record(EventKind::PrefillOrdered, &attempt, &placement.prefill);
    context.emit(Action::Prefill(PrefillCommand {
      attempt,
      deadline_ms: self.remaining_ms(context),
      engine: placement.prefill,
      hold_ms: context.tuning().hold_ms,
      priority: self.rank.priority,
    }));
    Transition(State::prefilling())
  }
}
