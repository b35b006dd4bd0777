//! One endpoint: what settings say of it, what it reported, and its request_machine.

use {
  super::{LoadReport, Role},
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  statig::prelude::*,
  std::collections::VecDeque,
};

const FIRST_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The longest pause that is kept at one word: an endpoint that asks for hours by mistake is asked again after this.
const MAX_REQUESTED_BACKOFF_MS: u64 = 5 * 60 * 1_000;

/// What an endpoint is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
  /// A model engine.
  Engine {
    /// The role it starts with.
    role: Role,
    /// The models it serves.
    models: Vec<Name>,
    /// Whether it refuses orders with an old fence.
    checks_fence: bool,
  },
  /// An instance of a plain service.
  Service {
    /// The service's name.
    service: Name,
  },
}

/// What settings say of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointSpec {
  /// Its name.
  pub name: Name,
  /// Its hall.
  pub hall: Name,
  /// What it is.
  pub kind: EndpointKind,
  /// Requests it may hold at once.
  pub slots: u32,
  /// Prompt tokens read a second.
  pub prefill_tokens_per_s: u64,
  /// Size of a token in the KV cache.
  pub kv_bytes_per_token: u64,
  /// Rate of its link for KV transfers.
  pub link_bytes_per_s: u64,
}

/// What moves an endpoint through its request_machine.
#[derive(Clone, Debug)]
pub enum EndpointEvent {
  /// It reported.
  Reported {
    /// Its start.
    incarnation: u64,
    /// Whether it says that it is leaving.
    leaving: bool,
  },
  /// It has been silent for too long.
  Silent,
  /// Somebody says that this incarnation is leaving.
  Leaving(u64),
  /// An operator takes it back.
  Undrained,
}

/// The request_machine of an endpoint: unseen, live, suspect, leaving.
#[derive(Clone, Debug, Default)]
pub struct EndpointLifecycle {
  incarnation: u64,
}

#[state_machine(initial = "State::unseen()", state(derive(Clone, Debug, PartialEq)))]
impl EndpointLifecycle {
  #[state]
  fn unseen(&mut self, event: &EndpointEvent) -> Outcome<State> {
    self.handle_common(event)
  }

  #[state]
  fn live(&mut self, event: &EndpointEvent) -> Outcome<State> {
    self.handle_common(event)
  }

  #[state]
  fn suspect(&mut self, event: &EndpointEvent) -> Outcome<State> {
    self.handle_common(event)
  }

  /// Leaving holds until a new incarnation reports, or an operator takes the endpoint back.
  #[state]
  fn leaving(&mut self, event: &EndpointEvent) -> Outcome<State> {
    match event {
      EndpointEvent::Reported {
        incarnation,
        leaving: false,
      } if *incarnation > self.incarnation => {
        self.incarnation = *incarnation;
        Transition(State::live())
      }
      EndpointEvent::Leaving(incarnation) => {
        self.incarnation = self.incarnation.max(*incarnation);
        Handled
      }
      EndpointEvent::Undrained => Transition(State::suspect()),
      _ => Handled,
    }
  }
}

impl EndpointLifecycle {
  fn handle_common(&mut self, event: &EndpointEvent) -> Outcome<State> {
    match event {
      EndpointEvent::Reported { incarnation, .. } if *incarnation < self.incarnation => Handled,
      EndpointEvent::Reported {
        incarnation,
        leaving,
      } => {
        self.incarnation = *incarnation;
        if *leaving {
          Transition(State::leaving())
        } else {
          Transition(State::live())
        }
      }
      EndpointEvent::Silent => Transition(State::suspect()),
      EndpointEvent::Leaving(incarnation) if *incarnation >= self.incarnation => {
        self.incarnation = *incarnation;
        Transition(State::leaving())
      }
      _ => Handled,
    }
  }
}

/// Work sent since the last report, which that report can't show.
#[derive(Clone, Copy, Debug)]
struct Sent {
  at_ms: u64,
  amount: u64,
}

/// An endpoint as this box sees it.
pub struct Endpoint {
  /// What settings say.
  pub spec: EndpointSpec,
  /// Its present role, if it is an engine.
  pub role: Option<Role>,
  /// When its role was last seen to change.
  pub role_since_ms: u64,
  /// Its start, as last reported.
  pub incarnation: u64,
  /// When its last report was made.
  pub reported_ms: u64,
  /// When anything was last heard of it.
  pub last_contact_ms: u64,
  /// It was full: no seat is asked for here until then, or until its home says sooner.
  pub full_until_ms: u64,
  /// An order failed here: it gets no work until then.
  pub failure_backoff_until_ms: u64,
  /// It turned an order away and wanted none until then.
  pub requested_backoff_until_ms: u64,
  /// OpenCommands that failed here since one came to something.
  pub consecutive_failures: u32,
  /// Own attempts that hold a seat here.
  pub own_slots: u32,
  request_machine: InitializedStateMachine<EndpointLifecycle>,
  report: LoadReport,
  sent: VecDeque<Sent>,
}

impl Endpoint {
  /// An endpoint that has not been heard of yet.
  pub(crate) fn new(spec: EndpointSpec) -> Self {
    let role = match &spec.kind {
      EndpointKind::Engine { role, .. } => Some(*role),
      EndpointKind::Service { .. } => None,
    };
    let report = LoadReport {
      age_ms: 0,
      endpoint: spec.name.clone(),
      incarnation: 0,
      leaving: false,
      queue_tokens: 0,
      role,
      slots: spec.slots,
      used_slots: 0,
    };
    Self {
      consecutive_failures: 0,
      last_contact_ms: 0,
      incarnation: 0,
      request_machine: EndpointLifecycle::default()
        .uninitialized_state_machine()
        .init(),
      own_slots: 0,
      requested_backoff_until_ms: 0,
      full_until_ms: 0,
      report,
      reported_ms: 0,
      role,
      role_since_ms: 0,
      failure_backoff_until_ms: 0,
      sent: VecDeque::new(),
      spec,
    }
  }

  /// An order failed here: it is shunned, each time for longer.
  pub(crate) fn record_failure(&mut self, now_ms: u64) {
    let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
    self.failure_backoff_until_ms = now_ms + (FIRST_BACKOFF_MS << doublings);
    self.consecutive_failures += 1;
  }

  /// It wants no orders for a while; of several pauses the one that ends last counts.
  pub(crate) fn request_backoff(&mut self, now_ms: u64, wanted_ms: u64) {
    let until_ms = now_ms + wanted_ms.min(MAX_REQUESTED_BACKOFF_MS);
    self.requested_backoff_until_ms = self.requested_backoff_until_ms.max(until_ms);
  }

  /// An order came to something here.
  pub(crate) fn record_success(&mut self) {
    self.consecutive_failures = 0;
    self.failure_backoff_until_ms = 0;
  }

  /// Moves the endpoint through its request_machine; true when its state changed.
  pub(crate) fn apply_event(&mut self, event: &EndpointEvent) -> bool {
    let before = self.request_machine.state().clone();
    self.request_machine.handle(event);
    before != *self.request_machine.state()
  }

  /// Whether it may get new work.
  pub fn is_live(&self) -> bool {
    *self.request_machine.state() == State::Live {}
  }

  /// Whether it can be asked for anything now.
  pub fn is_available(&self, now_ms: u64) -> bool {
    let unavailable_until_ms = self
      .full_until_ms
      .max(self.failure_backoff_until_ms)
      .max(self.requested_backoff_until_ms);
    unavailable_until_ms <= now_ms
  }

  /// Whether it is leaving.
  pub fn is_leaving(&self) -> bool {
    *self.request_machine.state() == State::Leaving {}
  }

  /// Whether nothing was ever heard of it.
  pub fn is_unseen(&self) -> bool {
    *self.request_machine.state() == State::Unseen {}
  }

  /// Takes in a report; one older than the last is dropped.
  pub(crate) fn apply_report(&mut self, now_ms: u64, report: &LoadReport) -> bool {
    let made_ms = now_ms.saturating_sub(report.age_ms);
    if made_ms < self.reported_ms || report.incarnation < self.incarnation {
      return false;
    }
    if report.role.is_some() && report.role != self.role {
      self.role = report.role;
      self.role_since_ms = now_ms;
    }
    self.incarnation = report.incarnation;
    self.reported_ms = made_ms;
    self.last_contact_ms = now_ms;
    self.report = report.clone();
    while self.sent.front().is_some_and(|sent| sent.at_ms < made_ms) {
      self.sent.pop_front();
    }
    true
  }

  /// Remembers work sent here, until a report can show it.
  pub(crate) fn record_sent(&mut self, now_ms: u64, amount: u64) {
    self.sent.push_back(Sent {
      amount,
      at_ms: now_ms,
    });
  }

  /// Forgets one unit of sent work that was taken back.
  pub(crate) fn remove_sent(&mut self, amount: u64) {
    if let Some(place) = self.sent.iter().rposition(|sent| sent.amount == amount) {
      self.sent.remove(place);
    }
  }

  /// The last report, as it can be relayed now.
  pub(crate) fn relayed_report(&self, now_ms: u64) -> LoadReport {
    LoadReport {
      age_ms: now_ms.saturating_sub(self.reported_ms),
      leaving: self.is_leaving(),
      ..self.report.clone()
    }
  }

  /// Seats that the engine has, by its own report.
  pub fn slots(&self) -> u32 {
    self.report.slots
  }

  /// Seats taken, by the last report and own work since.
  pub fn used_slots(&self) -> u32 {
    let recent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
    self.report.used_slots.saturating_add(recent)
  }

  /// Seats taken by the last report alone.
  pub fn reported_slots(&self) -> u32 {
    self.report.used_slots
  }

  /// Time at which a prefill engine is expected to have read all that waits.
  pub fn prefill_free_at_ms(&self) -> u64 {
    let tokens = self.report.queue_tokens + self.sent.iter().map(|sent| sent.amount).sum::<u64>();
    self.reported_ms + self.prefill_ms(tokens)
  }

  /// Time to read so many tokens.
  pub fn prefill_ms(&self, tokens: u64) -> u64 {
    tokens * 1_000 / self.spec.prefill_tokens_per_s.max(1)
  }

  /// Time to move a KV cache of so many tokens over the engine's link.
  pub fn transfer_ms(&self, tokens: u64) -> u64 {
    tokens * self.spec.kv_bytes_per_token * 1_000 / self.spec.link_bytes_per_s.max(1)
  }

  /// The order in which endpoints of one pool are tried: least first.
  pub(crate) fn load_key(&self) -> u64 {
    match self.role {
      Some(Role::Prefill) => self.prefill_free_at_ms(),
      Some(Role::Decode) | None => {
        u64::from(self.used_slots()) * 1_000 / u64::from(self.slots().max(1))
      }
    }
  }
}
