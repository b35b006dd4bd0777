//! The decisions of a box: a state machine without I/O, from events to actions.

use {
  super::{
    Action, BoxEntry, CancelAnswer, ConfigurationView, Context, EndpointEvent, EndpointKind,
    EndpointSpec, EndpointState, EndpointStatus, Event, EventKind, Fleet, HeldAttempt, Identity,
    LoadReport, NotRunReason, PeerStatus, PlacementError, PlacementResult, Rank, RequestEvent,
    RequestQueue, Role, StageOutcome, StageReport, Status,
    context::command_key,
    request_machine::{RequestMachine, State},
  },
  crate::{
    ids::{AttemptId, Name, RequestId},
    policy::Clock,
  },
  statig::blocking::InitializedStateMachine,
  std::{collections::BTreeMap, sync::Arc},
};

/// Retry-after delay where no better estimate exists.
pub(super) const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
const EXPIRY_PERIOD_MS: u64 = 50;

/// The initial state of a [`Machine`].
pub struct Setup {
  pub identity: Identity,
  pub endpoints: Vec<EndpointSpec>,
  /// Unix time of zero on the box's clock.
  pub epoch_unix_ms: u64,
  /// Seed of the random number generator.
  pub seed: u64,
}

/// The decisions of a box. It has no clock, thread or socket: each event carries the time.
///
/// ```
/// use rillford::decide::{Event, Identity, Machine, Setup};
/// let identity = Identity { name: "north-1".into(), hall: "north".into(), incarnation: 1 };
/// let setup = Setup { identity, endpoints: Vec::new(), epoch_unix_ms: 0, seed: 7 };
/// let mut machine = Machine::new(setup);
/// assert!(machine.handle(0, Event::Tick).is_empty());
/// ```
pub struct Machine {
  pub(super) context: Context,
  pub(super) timers: super::Timers,
  pub(super) requests: BTreeMap<RequestId, InitializedStateMachine<RequestMachine>>,
  pub(super) queues: BTreeMap<Name, RequestQueue>,
  pub(super) in_progress: BTreeMap<Name, usize>,
  pub(super) last_ranks: BTreeMap<Name, Rank>,
  last_event_ms: u64,
  last_expiry_ms: u64,
}

impl Machine {
  pub fn new(setup: Setup) -> Self {
    let fleet = Fleet::new(setup.endpoints);
    Self {
      last_expiry_ms: 0,
      last_ranks: BTreeMap::new(),
      in_progress: BTreeMap::new(),
      queues: BTreeMap::new(),
      last_event_ms: 0,
      requests: BTreeMap::new(),
      context: Context::new(setup.identity, fleet, setup.epoch_unix_ms, setup.seed),
      timers: super::Timers::default(),
    }
  }

  /// Handles one event and returns the actions to perform.
  pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
    self.context.now_ms = now_ms;
    self.check_clock();
    // A request whose claim was settled waits for the next event, so that a disconnect of its caller is handled first.
    let places_queued = !matches!(event, Event::ClaimSettled(..));
    self.dispatch(event);
    if places_queued {
      self.place_queued();
    }
    self.context.take_actions()
  }

  fn dispatch(&mut self, event: Event) {
    match event {
      Event::Arrived(arrival) => self.handle_arrival(arrival),
      Event::CallerDisconnected(request) => {
        self.advance_request(request, &RequestEvent::CallerDisconnected)
      }
      Event::ClaimSettled(request, outcome) => {
        self.advance_request(request, &RequestEvent::Claim(outcome))
      }
      Event::Stage(report) => self.handle_stage_report(report),
      Event::CancelSettled(attempt, endpoint, answer) => {
        self.handle_cancel_answer(&attempt, &endpoint, answer);
      }
      Event::LoadReported(report) => self.handle_load_report(&report),
      Event::EndpointBackoff(endpoint, wanted_ms) => {
        let now_ms = self.context.now_ms;
        self.context.fleet.update(&endpoint, |endpoint| {
          endpoint.request_backoff(now_ms, wanted_ms)
        });
      }
      // The poll or the extension is repeated.
      Event::PollFailed(_) | Event::HoldExtensionFailed(_) => {}
      Event::CacheReported(engine, blocks) => {
        self
          .context
          .hints
          .record_cached(self.context.now_ms, &engine, &blocks);
      }
      Event::AttemptsListed(engine, held) => self.cancel_orphans(&engine, held),
      Event::HoldsExtended(command) => self.record_hold_extension(&command),
      Event::Peer(from, message) => self.handle_peer_message(from, message),
      Event::Boxes(entries) => self.apply_box_list(&entries),
      Event::Configured(view) => self.apply_configuration(view),
      Event::LeaseHeld { until_ms, fence } => self.timers.hold_lease(until_ms, fence),
      Event::Drain(endpoint, leaving) => self.drain(&endpoint, leaving),
      Event::Stopping => self.begin_stop(),
      Event::Tick => self.tick(),
    }
  }

  /// Whether the box has a configuration and is not stopping.
  pub fn is_ready(&self) -> bool {
    self.context.configured && !self.context.stopping
  }

  pub fn in_progress(&self) -> usize {
    self.requests.len()
  }

  /// The number of queued requests.
  pub fn queued(&self) -> usize {
    self.queues.values().map(|queue| queue.entries.len()).sum()
  }

  /// Commands that are open or being cancelled.
  pub fn open_commands(&self) -> usize {
    self.context.open_commands.len()
  }

  /// The state that operators can see.
  pub fn status(&mut self) -> Status {
    let endpoints = self.endpoint_statuses();
    let context = &self.context;
    Status {
      configuration_digest: context.configuration.digest(),
      endpoints,
      in_progress: self.in_progress(),
      open_orders: context.open_commands.len(),
      peers: context
        .members
        .peers()
        .map(|peer| PeerStatus {
          hall: peer.entry.hall.clone(),
          leaving: peer.leaving,
          live: peer.live && peer.incarnation > 0,
          name: peer.entry.name.clone(),
        })
        .collect(),
      ready: self.is_ready(),
      seats_granted: context
        .slot_tables
        .values()
        .map(super::SlotTable::len)
        .sum(),
      steward: self.timers.holds_lease(context.now_ms),
      stopping: context.stopping,
      waiting: self.queued(),
    }
  }

  fn endpoint_statuses(&mut self) -> Vec<EndpointStatus> {
    let names = self
      .context
      .fleet
      .iter()
      .map(|endpoint| endpoint.spec.name.clone())
      .collect::<Vec<_>>();
    names
      .into_iter()
      .filter_map(|name| {
        let owner = self.context.owner(&name);
        let now_ms = self.context.now_ms;
        let endpoint = self.context.fleet.get(&name)?;
        Some(EndpointStatus {
          hall: endpoint.spec.hall.clone(),
          home: owner,
          queue_tokens_ms: endpoint.prefill_free_at_ms().saturating_sub(now_ms),
          role: endpoint.role,
          seats: endpoint.slots(),
          state: if endpoint.is_live() {
            EndpointState::Live
          } else if endpoint.is_leaving() {
            EndpointState::Leaving
          } else if endpoint.is_unseen() {
            EndpointState::Unseen
          } else {
            EndpointState::Suspect
          },
          used_seats: endpoint.used_slots(),
          name,
        })
      })
      .collect()
  }

  /// After a jump of the clock this box was probably paused: peers are given a full timeout again, its own lease is
  /// treated as lost, and streams whose holds may have ended are aborted.
  fn check_clock(&mut self) {
    let now_ms = self.context.now_ms;
    let jump_ms = now_ms.saturating_sub(self.last_event_ms);
    let started = self.last_event_ms > 0;
    self.last_event_ms = now_ms;
    if !started || jump_ms < self.context.tuning().clock_jump_ms {
      return;
    }
    self.context.record(EventKind::ClockJumped, jump_ms, "");
    self.context.members.reset_contact_times(now_ms);
    self.timers.drop_lease();
    self.abort_expiring_holds();
  }

  pub(super) fn clock(&self) -> Clock {
    Clock::at(
      self.context.epoch_unix_ms + self.context.now_ms,
      self.context.configuration.utc_offset_minutes,
    )
  }

  fn handle_stage_report(&mut self, report: StageReport) {
    let request = report.attempt.request();
    if matches!(report.outcome, StageOutcome::Finished { .. }) {
      self
        .context
        .close_command(&report.attempt, &report.endpoint);
    }
    self.advance_request(
      request,
      &RequestEvent::Stage {
        attempt: report.attempt,
        endpoint: report.endpoint,
        outcome: report.outcome,
      },
    );
  }

  /// Feeds the state machine of a request, then queues or removes it as the new state requires.
  pub(super) fn advance_request(&mut self, request: RequestId, event: &RequestEvent) {
    let Some(machine) = self.requests.get_mut(&request) else {
      return;
    };
    let was_queued = *machine.state() == State::Queued {};
    machine.handle_with_context(event, &mut self.context);
    let is_queued = *machine.state() == State::Queued {};
    let finished = *machine.state() == State::Finished {};
    let request_machine = machine.inner();
    let entry = request_machine.queue_entry();
    let queue_name = request_machine.queue_name().clone();
    let requeue = request_machine.requeue;
    if was_queued
      && !is_queued
      && let Some(queue) = self.queues.get_mut(&queue_name)
    {
      queue
        .entries
        .remove(entry.priority, &entry.organisation, request);
    }
    if requeue && is_queued {
      machine.handle_with_context(&RequestEvent::Requeued, &mut self.context);
      self
        .queues
        .entry(queue_name)
        .or_default()
        .entries
        .push_front(entry.clone());
    }
    if finished {
      self.requests.remove(&request);
      if let Some(count) = self.in_progress.get_mut(&entry.organisation) {
        *count -= 1;
        if *count == 0 {
          self.in_progress.remove(&entry.organisation);
        }
      }
    }
  }

  /// Whether a request waits for the response to this slot request.
  pub(super) fn is_requesting_slot(&self, attempt: &AttemptId) -> bool {
    self
      .requests
      .get(&attempt.request())
      .is_some_and(|machine| *machine.state() == State::RequestingSlot {})
      && attempt.incarnation == self.context.identity.incarnation
  }

  /// Places as many queued requests as there are free slots for.
  fn place_queued(&mut self) {
    let queue_names = self
      .queues
      .iter()
      .filter(|(_, queue)| !queue.entries.is_empty())
      .map(|(name, _)| name.clone())
      .collect::<Vec<_>>();
    for queue_name in queue_names {
      while self.place_next(&queue_name) {}
    }
  }

  /// Places the next request of a queue; false if it has to wait.
  fn place_next(&mut self, queue_name: &Name) -> bool {
    let Some(queue) = self.queues.get_mut(queue_name) else {
      return false;
    };
    let Some(next) = queue.entries.peek().map(|entry| entry.request) else {
      return false;
    };
    self.place_one(queue_name, next)
  }

  fn place_one(&mut self, queue_name: &Name, request: RequestId) -> bool {
    let Some(machine) = self.requests.get_mut(&request) else {
      if let Some(queue) = self.queues.get_mut(queue_name) {
        queue.entries.pop();
      }
      return true;
    };
    machine.handle_with_context(&RequestEvent::Place, &mut self.context);
    if let PlacementResult::Waiting(error) = machine.inner().placed {
      return error == PlacementError::NoEngine && self.reject_without_engine(request);
    }
    if let Some(queue) = self.queues.get_mut(queue_name) {
      queue.entries.pop();
      queue.record_start(self.context.now_ms);
    }
    // The state machine has advanced already; this only applies its new state.
    self.advance_request(request, &RequestEvent::Tick);
    true
  }

  fn reject_without_engine(&mut self, request: RequestId) -> bool {
    self.advance_request(
      request,
      &RequestEvent::Reject(NotRunReason::NoEndpoint, DEFAULT_RETRY_AFTER_MS),
    );
    true
  }

  fn handle_cancel_answer(&mut self, attempt: &AttemptId, endpoint: &Name, answer: CancelAnswer) {
    let key = command_key(attempt, endpoint);
    if self.context.open_commands.settle(&key, answer) {
      self.context.record(
        EventKind::CancelSettled,
        attempt,
        format!("{endpoint} {answer:?}"),
      );
    }
  }

  fn handle_load_report(&mut self, report: &LoadReport) {
    let before = self
      .context
      .fleet
      .get(&report.endpoint)
      .map(|known| known.incarnation);
    if before.is_some_and(|before| before > 0 && report.incarnation > before) {
      self.context.open_commands.remove_endpoint(&report.endpoint);
      self.context.slot_tables.remove(&report.endpoint);
      self.context.record(
        EventKind::EndpointReturned,
        &report.endpoint,
        report.incarnation,
      );
    }
    if self.context.fleet.apply_report(self.context.now_ms, report) {
      self.record_endpoint_state(&report.endpoint);
    }
  }

  pub(super) fn record_endpoint_state(&mut self, name: &Name) {
    let Some(endpoint) = self.context.fleet.get(name) else {
      return;
    };
    let kind = if endpoint.is_live() {
      EventKind::EndpointLive
    } else if endpoint.is_leaving() {
      EventKind::EndpointLeaving
    } else {
      EventKind::EndpointSuspect
    };
    self.context.record(kind, name, "");
  }

  /// As owner of an engine: cancels attempts that no box holds any more.
  fn cancel_orphans(&mut self, engine: &Name, held: Vec<HeldAttempt>) {
    for held in held {
      if !self.is_orphan(engine, &held) {
        continue;
      }
      let attempt = held.attempt;
      let key = command_key(&attempt, engine);
      if self.context.open_commands.is_open(&key) {
        continue;
      }
      self
        .context
        .record(EventKind::OrphanSwept, &attempt, engine);
      self.context.open_command(&attempt, engine);
      self.context.cancel_command(&attempt, engine);
    }
  }

  fn is_orphan(&self, engine: &Name, held: &HeldAttempt) -> bool {
    let holder = &held.attempt.box_name;
    let identity = &self.context.identity;
    if *holder == identity.name {
      let key = command_key(&held.attempt, engine);
      let ours = held.attempt.incarnation == identity.incarnation;
      return !ours || held.hold_left_ms <= 0 && !self.context.open_commands.is_open(&key);
    }
    let replaced = self
      .context
      .members
      .peer(holder)
      .is_some_and(|peer| peer.incarnation > held.attempt.incarnation);
    replaced || held.hold_left_ms <= 0
  }

  fn apply_box_list(&mut self, entries: &[BoxEntry]) {
    self
      .context
      .members
      .apply_box_list(self.context.now_ms, entries);
    self.context.clear_owners();
  }

  fn apply_configuration(&mut self, view: Arc<ConfigurationView>) {
    self
      .context
      .budget
      .configure(view.tuning.retry_share, view.tuning.retry_burst);
    let first = !self.context.configured;
    self.context.configuration = view;
    self.context.configured = true;
    let digest = self.context.configuration.digest();
    self.context.record(
      EventKind::ConfigurationApplied,
      format!("{digest:016x}"),
      "",
    );
    if first {
      self
        .context
        .record(EventKind::BoxReady, self.context.identity.name.clone(), "");
    }
  }

  fn drain(&mut self, name: &Name, leaving: bool) {
    let event = if leaving {
      let incarnation = self
        .context
        .fleet
        .get(name)
        .map_or(0, |known| known.incarnation);
      EndpointEvent::Leaving(incarnation)
    } else {
      EndpointEvent::Undrained
    };
    if self.context.fleet.apply_event(name, &event) {
      self.record_endpoint_state(name);
      self.timers.send_heartbeat_soon();
    }
  }

  fn begin_stop(&mut self) {
    self.context.stopping = true;
    self.context.clear_owners();
    self.timers.send_heartbeat_soon();
    self
      .context
      .record(EventKind::StopBegan, self.context.identity.name.clone(), "");
  }

  /// Rejects queued requests that can no longer be served in time, and checks slot requests for timeouts.
  pub(super) fn expire_requests(&mut self) {
    let now_ms = self.context.now_ms;
    if now_ms < self.last_expiry_ms + EXPIRY_PERIOD_MS {
      return;
    }
    self.last_expiry_ms = now_ms;
    let requesting = self
      .requests
      .iter()
      .filter(|(_, machine)| *machine.state() == State::RequestingSlot {})
      .map(|(request, _)| *request)
      .collect::<Vec<_>>();
    for request in requesting {
      self.advance_request(request, &RequestEvent::Tick);
    }
    let late = self
      .queues
      .values()
      .flat_map(|queue| queue.entries.iter())
      .map(|entry| entry.request)
      .filter(|request| {
        self
          .requests
          .get(request)
          .is_some_and(|machine| machine.inner().is_overdue(now_ms))
      })
      .collect::<Vec<_>>();
    for request in late {
      self.advance_request(
        request,
        &RequestEvent::Reject(NotRunReason::TooLate, DEFAULT_RETRY_AFTER_MS),
      );
    }
  }

  /// Live engines of this box's hall that serve a model.
  pub(super) fn engines_of(&self, model: &Name) -> impl Iterator<Item = &super::Endpoint> {
    self.context.fleet.iter().filter(move |endpoint| {
      endpoint.spec.hall == self.context.identity.hall
        && endpoint.is_live()
        && matches!(&endpoint.spec.kind, EndpointKind::Engine { models, .. } if models.contains(model))
        && matches!(endpoint.role, Some(Role::Prefill | Role::Decode))
    })
  }
}
