//! From the end of prefill to the start of decode.

use {
  super::{RequestMachine, State},
  crate::{
    decide::{
      Action, BLOCK_TOKENS, Began, Context, DecodeCommand, Endpoint, EventKind, ImportCommand, Work,
    },
    ids::Name,
  },
  statig::prelude::*,
};

/// Delay before a full decode engine is tried again, while the export is available.
const FULL_RETRY_INTERVAL_MS: u64 = 60;

impl RequestMachine {
  pub(super) fn handle_prefilled(
    &mut self,
    context: &mut Context,
    endpoint: &Name,
    prompt_tokens: u64,
    cached_tokens: u64,
  ) -> Outcome<State> {
    self.began = true;
    context.fleet.update(endpoint, Endpoint::record_success);
    self.prefilled_tokens = prompt_tokens.saturating_sub(cached_tokens);
    self.prefilled_ms = context.now_ms;
    let attempt = self.attempt_id(context);
    if let Work::Model(work) = &mut self.arrival.work {
      let found = usize::try_from(cached_tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
      let missing = work.prefix.get(found..).unwrap_or_default().to_vec();
      context.hints.record_missing(endpoint, &missing);
      context
        .hints
        .record_cached(context.now_ms, endpoint, &work.prefix);
      work.prompt_tokens = prompt_tokens.max(1);
    }
    context.record(EventKind::PrefillDone, &attempt, cached_tokens);
    self.start_import(context)
  }

  pub(super) fn start_import(&mut self, context: &mut Context) -> Outcome<State> {
    let Some(placement) = self.placement.clone() else {
      return Handled;
    };
    let attempt = self.attempt_id(context);
    context.open_command(&attempt, &placement.decode);
    context.record(EventKind::TransferOrdered, &attempt, &placement.decode);
    context.emit(Action::Import(ImportCommand {
      attempt,
      deadline_ms: self.remaining_ms(context),
      engine: placement.decode,
      hold_ms: context.tuning().hold_ms,
      link_wait_ms: self.link_wait_ms,
      source: placement.prefill,
    }));
    self.link_wait_ms = 0;
    Transition(State::transferring())
  }

  /// The decode engine rejected the transfer because it is full: tries another one, or the same one after a delay, while
  /// the prefill engine still has the export.
  pub(super) fn handle_decode_full(&mut self, context: &mut Context) -> Outcome<State> {
    let attempt = self.attempt_id(context);
    let Some(full) = self.placement.as_ref().map(|place| place.decode.clone()) else {
      return Handled;
    };
    context.close_command(&attempt, &full);
    let until_ms = context.now_ms + FULL_RETRY_INTERVAL_MS;
    context
      .fleet
      .update(&full, |engine| engine.full_until_ms = until_ms);
    let export_expires_ms = self.prefilled_ms + context.tuning().export_keep_ms;
    if context.now_ms + FULL_RETRY_INTERVAL_MS >= export_expires_ms {
      return self.handle_failure(context, &full, Began::Perhaps, true);
    }
    let Work::Model(work) = &self.arrival.work else {
      return Handled;
    };
    match context.free_decode_engine(work, &full) {
      Some(other) => self.move_slot(context, other),
      None => self.link_wait_ms = FULL_RETRY_INTERVAL_MS,
    }
    self.start_import(context)
  }

  pub(super) fn move_slot(&mut self, context: &mut Context, other: Name) {
    self.release_slot(context);
    let now_ms = context.now_ms;
    context.fleet.update(&other, |engine| {
      engine.own_slots += 1;
      engine.record_sent(now_ms, 1);
    });
    self.slot = Some(other.clone());
    if let Some(placement) = &mut self.placement {
      placement.decode = other;
    }
  }

  pub(super) fn start_decode(&mut self, context: &mut Context) -> Outcome<State> {
    let Some(placement) = self.placement.clone() else {
      return Handled;
    };
    let attempt = self.attempt_id(context);
    context.close_command(&attempt, &placement.prefill);
    self.prefilled_tokens = 0;
    context.record(EventKind::TransferDone, &attempt, &placement.decode);
    let kind = if self.offset > 0 {
      EventKind::DecodeResumed
    } else {
      EventKind::DecodeOrdered
    };
    context.record(kind, &attempt, &placement.decode);
    context.emit(Action::Decode(DecodeCommand {
      attempt,
      engine: placement.decode,
      offset: self.offset,
    }));
    Transition(State::decoding())
  }
}
