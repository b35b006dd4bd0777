//! What all requests of a box share: the fleet, the peers, the grants, the budget; and the actions
//! that came of the event at hand.

use {
  super::{
    Action, CommandKey, ConfigurationView, EngineView, EventKind, Fleet, Membership, OpenCommands,
    PeerMessage, PrefixHints, RetryBudget, Role, SlotDecision, SlotMode, SlotRequest, SlotResponse,
    SlotTable, TimelineEvent, Tuning, rendezvous_order,
  },
  crate::ids::{AttemptId, Name},
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  std::{collections::BTreeMap, sync::Arc},
};

/// Who a box is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
  /// Its name.
  pub name: Name,
  /// Its hall.
  pub hall: Name,
  /// Its start, as milliseconds of the Unix epoch.
  pub incarnation: u64,
}

/// What all requests of a box share.
pub struct Context {
  pub(crate) identity: Identity,
  pub(crate) now_ms: u64,
  pub(crate) epoch_unix_ms: u64,
  pub(crate) fleet: Fleet,
  pub(crate) members: Membership,
  pub(crate) open_commands: OpenCommands,
  pub(crate) hints: PrefixHints,
  pub(crate) budget: RetryBudget,
  pub(crate) books: BTreeMap<Name, SlotTable>,
  pub(crate) configuration: Arc<ConfigurationView>,
  pub(crate) configured: bool,
  pub(crate) stopping: bool,
  pub(crate) random: ChaCha8Rng,
  pub(crate) turn: usize,
  homes: BTreeMap<Name, Option<Name>>,
  actions: Vec<Action>,
}

impl Context {
  pub(crate) fn new(identity: Identity, fleet: Fleet, epoch_unix_ms: u64, seed: u64) -> Self {
    let configuration = Arc::new(ConfigurationView::default());
    let tuning = &configuration.tuning;
    Self {
      actions: Vec::new(),
      books: BTreeMap::new(),
      budget: RetryBudget::new(tuning.retry_share, tuning.retry_burst),
      configuration: configuration.clone(),
      configured: false,
      epoch_unix_ms,
      fleet,
      hints: PrefixHints::default(),
      homes: BTreeMap::new(),
      members: Membership::new(identity.name.clone(), identity.hall.clone()),
      now_ms: 0,
      open_commands: OpenCommands::default(),
      random: ChaCha8Rng::seed_from_u64(seed),
      stopping: false,
      turn: 0,
      identity,
    }
  }

  pub(crate) fn tuning(&self) -> &Tuning {
    &self.configuration.tuning
  }

  pub(crate) fn act(&mut self, action: Action) {
    self.actions.push(action);
  }

  pub(crate) fn record(&mut self, kind: EventKind, subject: impl ToString, detail: impl ToString) {
    let event = TimelineEvent::new(kind, subject.to_string(), detail.to_string());
    self.act(Action::Record(event));
  }

  pub(crate) fn take_actions(&mut self) -> Vec<Action> {
    std::mem::take(&mut self.actions)
  }

  /// Remembers that an order leaves for an endpoint.
  pub(crate) fn open(&mut self, attempt: &AttemptId, endpoint: &Name) {
    self.open_commands.opened(command_key(attempt, endpoint));
  }

  /// The endpoint holds nothing for the order any more.
  pub(crate) fn close(&mut self, attempt: &AttemptId, endpoint: &Name) {
    self.open_commands.closed(&command_key(attempt, endpoint));
  }

  /// Cancels an order if it is still open.
  pub(crate) fn cancel(&mut self, attempt: &AttemptId, endpoint: &Name) {
    let key = command_key(attempt, endpoint);
    if self.open_commands.cancel(self.now_ms, &key) {
      self.record(EventKind::CancelSent, attempt, endpoint);
      self.act(Action::Cancel(attempt.clone(), endpoint.clone()));
    }
  }

  /// The home box of an endpoint, if any box of its hall lives.
  pub(crate) fn home(&mut self, endpoint: &Name) -> Option<Name> {
    if let Some(home) = self.homes.get(endpoint) {
      return home.clone();
    }
    let hall = self.fleet.get(endpoint)?.spec.hall.clone();
    let candidates = self.members.candidates(&hall, self.stopping);
    let home = rendezvous_order(endpoint, &candidates).into_iter().next();
    self.homes.insert(endpoint.clone(), home.clone());
    home
  }

  /// Whether this box is home of an endpoint.
  pub(crate) fn is_home(&mut self, endpoint: &Name) -> bool {
    self.home(endpoint).as_ref() == Some(&self.identity.name)
  }

  /// Homes are worked out anew after the set of live boxes changed.
  pub(crate) fn forget_homes(&mut self) {
    self.homes.clear();
  }

  /// Answers an ask for a seat as the engine's home.
  pub(crate) fn grant(&mut self, ask: &SlotRequest) -> SlotDecision {
    let Some(engine) = self.fleet.get(&ask.engine) else {
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
    let book = self.books.entry(ask.engine.clone()).or_default();
    book.ask(self.now_ms, ask, view)
  }

  /// Takes a seat back as the engine's home, and tells a box that waits.
  pub(crate) fn take_back(&mut self, attempt: &AttemptId, engine: &Name) {
    let waiting = self
      .books
      .get_mut(engine)
      .and_then(|book| book.give_back(attempt));
    let Some(waiting) = waiting else { return };
    if waiting == self.identity.name {
      self.reopen(engine);
    } else {
      self.act(Action::Send(
        waiting,
        PeerMessage::SlotFreed(engine.clone()),
      ));
    }
  }

  /// An engine that refused may be asked again.
  pub(crate) fn reopen(&mut self, engine: &Name) {
    self.fleet.update(engine, |engine| engine.full_until_ms = 0);
  }

  /// Gives a seat back, to whichever box is home now.
  pub(crate) fn return_slot(&mut self, attempt: &AttemptId, engine: &Name) {
    self.fleet.update(engine, |engine| {
      engine.own_slots = engine.own_slots.saturating_sub(1);
      engine.remove_sent(1);
    });
    if self.tuning().slot_mode != SlotMode::OwnerGrants {
      return;
    }
    match self.home(engine) {
      Some(home) if home == self.identity.name => self.take_back(attempt, engine),
      Some(home) => self.act(Action::Send(
        home,
        PeerMessage::SlotReturn(attempt.clone(), engine.clone()),
      )),
      None => {}
    }
  }

  /// Answers a peer's ask.
  pub(crate) fn answer_ask(&mut self, from: Name, ask: SlotRequest) {
    let decision = self.grant(&ask);
    let link_wait_ms = match decision {
      SlotDecision::Granted { link_wait_ms } => link_wait_ms,
      SlotDecision::Full => 0,
    };
    let answer = SlotResponse {
      attempt: ask.attempt,
      engine: ask.engine,
      granted: matches!(decision, SlotDecision::Granted { .. }),
      link_wait_ms,
    };
    self.act(Action::Send(from, PeerMessage::SlotResponse(answer)));
  }
}

pub(crate) fn command_key(attempt: &AttemptId, endpoint: &Name) -> CommandKey {
  CommandKey {
    attempt: attempt.clone(),
    endpoint: endpoint.clone(),
  }
}
