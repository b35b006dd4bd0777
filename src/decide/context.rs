//! The state that all requests of a box share: endpoints, peers, slot tables, retry budget; and the actions
//! that the current event has caused.

use {
  super::{
    Action, CommandKey, ConfigurationView, EngineView, EventKind, Fleet, Hold, Membership,
    OpenCommands, PeerMessage, PrefixHints, RetryBudget, Role, SlotDecision, SlotMode, SlotRequest,
    SlotResponse, SlotTable, TimelineEvent, Tuning, rendezvous_order,
  },
  crate::ids::{AttemptId, Name},
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  std::{collections::BTreeMap, sync::Arc},
};

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
  pub name: Name,
  pub hall: Name,
  /// Start of the box, in Unix milliseconds.
  pub incarnation: u64,
}

/// The state that all requests of a box share.
pub struct Context {
  pub(crate) identity: Identity,
  pub(crate) now_ms: u64,
  pub(crate) epoch_unix_ms: u64,
  pub(crate) fleet: Fleet,
  pub(crate) members: Membership,
  pub(crate) open_commands: OpenCommands,
  pub(crate) hints: PrefixHints,
  pub(crate) budget: RetryBudget,
  pub(crate) slot_tables: BTreeMap<Name, SlotTable>,
  pub(crate) configuration: Arc<ConfigurationView>,
  pub(crate) configured: bool,
  pub(crate) stopping: bool,
  pub(crate) random: ChaCha8Rng,
  pub(crate) rotation: usize,
  owners: BTreeMap<Name, Option<Name>>,
  actions: Vec<Action>,
}

impl Context {
  pub(crate) fn new(identity: Identity, fleet: Fleet, epoch_unix_ms: u64, seed: u64) -> Self {
    let configuration = Arc::new(ConfigurationView::default());
    let tuning = &configuration.tuning;
    Self {
      actions: Vec::new(),
      slot_tables: BTreeMap::new(),
      budget: RetryBudget::new(tuning.retry_share, tuning.retry_burst),
      configuration: configuration.clone(),
      configured: false,
      epoch_unix_ms,
      fleet,
      hints: PrefixHints::default(),
      owners: BTreeMap::new(),
      members: Membership::new(identity.name.clone(), identity.hall.clone()),
      now_ms: 0,
      open_commands: OpenCommands::default(),
      random: ChaCha8Rng::seed_from_u64(seed),
      stopping: false,
      rotation: 0,
      identity,
    }
  }

  pub(crate) fn tuning(&self) -> &Tuning {
    &self.configuration.tuning
  }

  pub(crate) fn emit(&mut self, action: Action) {
    self.actions.push(action);
  }

  pub(crate) fn record(&mut self, kind: EventKind, subject: impl ToString, detail: impl ToString) {
    let event = TimelineEvent::new(kind, subject.to_string(), detail.to_string());
    self.emit(Action::Record(event));
  }

  pub(crate) fn take_actions(&mut self) -> Vec<Action> {
    std::mem::take(&mut self.actions)
  }

  /// Tracks a command that is sent to an endpoint.
  pub(crate) fn open_command(&mut self, attempt: &AttemptId, endpoint: &Name) {
    let hold = Hold {
      duration_ms: self.tuning().hold_ms,
      start_ms: self.now_ms,
    };
    self
      .open_commands
      .open(command_key(attempt, endpoint), hold);
  }

  /// The endpoint holds no memory for the command any more.
  pub(crate) fn close_command(&mut self, attempt: &AttemptId, endpoint: &Name) {
    self.open_commands.close(&command_key(attempt, endpoint));
  }

  /// Cancels a command if it is still open.
  pub(crate) fn cancel_command(&mut self, attempt: &AttemptId, endpoint: &Name) {
    let key = command_key(attempt, endpoint);
    if self.open_commands.cancel(self.now_ms, &key) {
      self.record(EventKind::CancelSent, attempt, endpoint);
      self.emit(Action::Cancel(attempt.clone(), endpoint.clone()));
    }
  }

  /// The box that owns an endpoint; none if no box of its hall is live.
  pub(crate) fn owner(&mut self, endpoint: &Name) -> Option<Name> {
    if let Some(owner) = self.owners.get(endpoint) {
      return owner.clone();
    }
    let hall = self.fleet.get(endpoint)?.spec.hall.clone();
    let candidates = self.members.owner_candidates(&hall, self.stopping);
    let owner = rendezvous_order(endpoint, &candidates).into_iter().next();
    self.owners.insert(endpoint.clone(), owner.clone());
    owner
  }

  /// Whether this box owns an endpoint.
  pub(crate) fn is_owner(&mut self, endpoint: &Name) -> bool {
    self.owner(endpoint).as_ref() == Some(&self.identity.name)
  }

  /// To be called when the set of live boxes has changed.
  pub(crate) fn clear_owners(&mut self) {
    self.owners.clear();
  }

  /// Decides on a slot request, as owner of the engine.
  pub(crate) fn grant_slot(&mut self, request: &SlotRequest) -> SlotDecision {
    let Some(engine) = self.fleet.get(&request.engine) else {
      return SlotDecision::Full;
    };
    if !engine.is_live() || engine.role != Some(Role::Decode) {
      return SlotDecision::Full;
    }
    let view = EngineView {
      certainty: self.tuning().slot_certainty,
      link_bytes_per_s: engine.spec.link_bytes_per_s,
      reported_slots: engine.reported_slots(),
      slots: engine.slots(),
    };
    let table = self.slot_tables.entry(request.engine.clone()).or_default();
    table.request_slot(self.now_ms, request, view)
  }

  /// Releases a slot, as owner of the engine, and notifies a box whose request was rejected.
  pub(crate) fn release_granted_slot(&mut self, attempt: &AttemptId, engine: &Name) {
    let waiting = self
      .slot_tables
      .get_mut(engine)
      .and_then(|table| table.release(attempt));
    let Some(waiting) = waiting else { return };
    if waiting == self.identity.name {
      self.mark_available(engine);
    } else {
      self.emit(Action::Send(
        waiting,
        PeerMessage::SlotFreed(engine.clone()),
      ));
    }
  }

  /// Slots of an engine that was full may be requested again.
  pub(crate) fn mark_available(&mut self, engine: &Name) {
    self.fleet.update(engine, |engine| engine.full_until_ms = 0);
  }

  /// Returns a slot to the current owner of the engine.
  pub(crate) fn return_slot(&mut self, attempt: &AttemptId, engine: &Name) {
    self.fleet.update(engine, |engine| {
      engine.own_slots = engine.own_slots.saturating_sub(1);
      engine.remove_sent(1);
    });
    if self.tuning().slot_mode != SlotMode::OwnerGrants {
      return;
    }
    match self.owner(engine) {
      Some(owner) if owner == self.identity.name => self.release_granted_slot(attempt, engine),
      Some(owner) => self.emit(Action::Send(
        owner,
        PeerMessage::SlotReturn(attempt.clone(), engine.clone()),
      )),
      None => {}
    }
  }

  /// Answers a peer's slot request.
  pub(crate) fn handle_slot_request(&mut self, from: Name, request: SlotRequest) {
    let decision = self.grant_slot(&request);
    let link_wait_ms = match decision {
      SlotDecision::Granted { link_wait_ms } => link_wait_ms,
      SlotDecision::Full => 0,
    };
    let response = SlotResponse {
      attempt: request.attempt,
      engine: request.engine,
      granted: matches!(decision, SlotDecision::Granted { .. }),
      link_wait_ms,
    };
    self.emit(Action::Send(from, PeerMessage::SlotResponse(response)));
  }
}

pub(crate) fn command_key(attempt: &AttemptId, endpoint: &Name) -> CommandKey {
  CommandKey {
    attempt: attempt.clone(),
    endpoint: endpoint.clone(),
  }
}
