//! Admission of a request: ranks it, then rejects or queues it.

use {
  super::{
    Action, Arrival, EventKind, Machine, NotRunReason, PlacementError, Rank, RequestEvent,
    RequestMachine, RequestOutcome, Work, machine::DEFAULT_RETRY_AFTER_MS,
  },
  crate::{ids::RequestId, policy::RequestAttributes},
  statig::prelude::*,
};

const MIN_RETRY_AFTER_MS: u64 = 100;

impl Machine {
  pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
    let rank = self.rank(&arrival);
    self
      .context
      .record(EventKind::RequestArrived, arrival.request.0, &rank.class);
    if let Some(outcome) = self.rejection(&arrival, &rank) {
      self.reject(arrival.request, outcome);
      return;
    }
    self.context.budget.earn();
    *self
      .in_progress
      .entry(arrival.organisation.clone())
      .or_default() += 1;
    let request = arrival.request;
    let request_machine = RequestMachine::new(arrival, rank, self.context.now_ms);
    let claim = request_machine.needs_claim();
    let entry = request_machine.queue_entry();
    let queue_name = request_machine.queue_name().clone();
    let mut machine = request_machine
      .uninitialized_state_machine()
      .init_with_context(&mut self.context);
    if let Some(key) = claim {
      machine.handle_with_context(&RequestEvent::AwaitClaim, &mut self.context);
      self
        .context
        .emit(Action::Claim(request, entry.organisation.clone(), key));
    } else {
      self
        .queues
        .entry(queue_name)
        .or_default()
        .entries
        .push(entry);
    }
    self.requests.insert(request, machine);
  }

  pub(super) fn rank(&mut self, arrival: &Arrival) -> Rank {
    let Some(policy) = self.context.configuration.policy.clone() else {
      return Rank::without_policy();
    };
    let (subject, kind, prompt_tokens, max_tokens) = match &arrival.work {
      Work::Model(work) => (&work.model, "model", work.prompt_tokens, work.max_tokens),
      Work::Service(work) => (&work.service, "service", 0, 0),
    };
    let attributes = RequestAttributes {
      kind: kind.into(),
      max_tokens,
      organisation: arrival.organisation.clone(),
      prompt_tokens,
      subject: subject.clone(),
      task: arrival.task.clone(),
    };
    match policy.rank(&attributes, self.clock()) {
      Ok(rank) => {
        self.last_ranks.insert(arrival.task.clone(), rank.clone());
        rank
      }
      Err(error) => {
        self
          .context
          .record(EventKind::PolicyFailed, &arrival.task, error);
        let last = self.last_ranks.get(&arrival.task).cloned();
        last.unwrap_or_else(Rank::without_policy)
      }
    }
  }

  /// The outcome with which a request is rejected on arrival, if it is. May shed another request to make room.
  pub(super) fn rejection(&mut self, arrival: &Arrival, rank: &Rank) -> Option<RequestOutcome> {
    let not_run = |reason, retry_after_ms| {
      Some(RequestOutcome::NotRun {
        reason,
        retry_after_ms,
      })
    };
    if !self.context.configured {
      return not_run(NotRunReason::NotReady, DEFAULT_RETRY_AFTER_MS);
    }
    let organisation = &arrival.organisation;
    let view = &self.context.configuration;
    let limit = view
      .organisations
      .get(organisation)
      .and_then(|limits| limits.in_progress)
      .unwrap_or(view.tuning.organisation_limit);
    if self.in_progress.get(organisation).copied().unwrap_or(0) >= limit {
      return not_run(NotRunReason::OrganisationLimit, DEFAULT_RETRY_AFTER_MS);
    }
    let allowed_ms = arrival.deadline_ms.unwrap_or(rank.first_token_ms);
    let Some(predicted_ms) = self.predicted_ms(&arrival.work, rank) else {
      return not_run(NotRunReason::NoEndpoint, DEFAULT_RETRY_AFTER_MS);
    };
    if self.context.tuning().early_refusal && predicted_ms > allowed_ms {
      let retry_after_ms = (predicted_ms - allowed_ms).max(MIN_RETRY_AFTER_MS);
      return not_run(NotRunReason::TooLate, retry_after_ms);
    }
    if !self.make_room(&arrival.work, rank) {
      return not_run(
        NotRunReason::QueueFull,
        predicted_ms.max(DEFAULT_RETRY_AFTER_MS),
      );
    }
    None
  }

  /// Predicted time to the first byte; none if no endpoint could serve the work.
  pub(super) fn predicted_ms(&mut self, work: &Work, rank: &Rank) -> Option<u64> {
    let queue_name = match work {
      Work::Model(work) => &work.model,
      Work::Service(work) => &work.service,
    };
    let wait_ms = self
      .queues
      .get(queue_name)
      .map_or(0, |queue| queue.wait_ms(rank.priority));
    let serving_ms = match work {
      Work::Model(work) => self.context.min_first_token_ms(work)?,
      Work::Service(work) => match self.context.place_service_call(&work.service, &[]) {
        Ok(_) | Err(PlacementError::NoSlot) => 0,
        Err(PlacementError::NoEngine) => return None,
      },
    };
    Some(wait_ms + serving_ms)
  }

  /// Sheds the lowest-ranked request of a full queue; false if the arriving request ranks lowest itself.
  pub(super) fn make_room(&mut self, work: &Work, rank: &Rank) -> bool {
    let queue_name = match work {
      Work::Model(work) => &work.model,
      Work::Service(work) => &work.service,
    };
    let Some(queue) = self
      .queues
      .get(queue_name)
      .filter(|queue| queue.entries.len() >= self.context.tuning().queue_limit)
    else {
      return true;
    };
    let Some(lowest) = queue.entries.shed_candidate() else {
      return false;
    };
    let arrival_ranks_lower =
      rank.may_wait && (rank.priority, rank.weight) <= (lowest.priority, lowest.weight);
    if arrival_ranks_lower || rank.priority < lowest.priority {
      return false;
    }
    let retry_after_ms = queue.wait_ms(lowest.priority).max(DEFAULT_RETRY_AFTER_MS);
    self.advance_request(
      lowest.request,
      &RequestEvent::Reject(NotRunReason::Shed, retry_after_ms),
    );
    true
  }

  pub(super) fn reject(&mut self, request: RequestId, outcome: RequestOutcome) {
    if let RequestOutcome::NotRun { reason, .. } = outcome {
      self
        .context
        .record(EventKind::RequestNotRun, request.0, format!("{reason:?}"));
    }
    self.context.emit(Action::Complete(request, outcome));
  }
}
