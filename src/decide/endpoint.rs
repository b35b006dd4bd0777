//! One endpoint: its settings, its last load report, and its lifecycle.

use {
  super::{LoadReport, Role},
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  statig::prelude::*,
  std::collections::VecDeque,
};

const FIRST_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Upper bound on a backoff that an endpoint asks for, in case it asks for hours by mistake.
const MAX_REQUESTED_BACKOFF_MS: u64 = 5 * 60 * 1_000;

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
  Engine {
    /// The role in which it starts.
    role: Role,
    models: Vec<Name>,
    /// Whether it rejects role commands with an old fence.
    checks_fence: bool,
  },
  Service {
    service: Name,
  },
}

/// The settings of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointSpec {
  pub name: Name,
  pub hall: Name,
  pub kind: EndpointKind,
  /// Batch slots: maximum requests at once.
  pub slots: u32,
  /// Prefill throughput.
  pub prefill_tokens_per_s: u64,
  pub kv_bytes_per_token: u64,
  /// Bandwidth of its link for KV transfers.
  pub link_bytes_per_s: u64,
}

/// An input of an endpoint's state machine.
#[derive(Clone, Debug)]
pub enum EndpointEvent {
  /// A load report arrived.
  Reported {
    /// Start of the endpoint's process; higher is later.
    incarnation: u64,
    /// Whether the endpoint reports that it is leaving.
    leaving: bool,
  },
  /// No report arrived within the silence timeout.
  Silent,
  /// A peer or an operator signals that this incarnation is leaving.
  Leaving(u64),
  /// An operator ended the drain.
  Undrained,
}

/// The state machine of an endpoint: unseen, live, suspect or leaving.
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

  /// Left only when a new incarnation reports, or when an operator ends the drain.
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

/// Work sent since the last report and so not included in it.
#[derive(Clone, Copy, Debug)]
struct Sent {
  at_ms: u64,
  amount: u64,
}

/// This box's view of an endpoint.
pub struct Endpoint {
  pub spec: EndpointSpec,
  /// Current role; none for plain services.
  pub role: Option<Role>,
  /// When this box last saw the role change.
  pub role_since_ms: u64,
  /// The incarnation of the last report.
  pub incarnation: u64,
  /// When the endpoint made its last report.
  pub reported_ms: u64,
  /// When this box last received a report.
  pub last_contact_ms: u64,
  /// It was full: no slot is requested until then, unless its owner announces a free one sooner.
  pub full_until_ms: u64,
  /// End of the backoff after a failure.
  pub failure_backoff_until_ms: u64,
  /// End of the backoff that the endpoint asked for.
  pub requested_backoff_until_ms: u64,
  /// Commands that failed in a row.
  pub consecutive_failures: u32,
  /// Slots held by attempts of this box.
  pub own_slots: u32,
  lifecycle: InitializedStateMachine<EndpointLifecycle>,
  report: LoadReport,
  sent: VecDeque<Sent>,
}

impl Endpoint {
  /// An endpoint of which no report has arrived.
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
      lifecycle: EndpointLifecycle::default()
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

  /// Starts a backoff that doubles with each failure in a row.
  pub(crate) fn record_failure(&mut self, now_ms: u64) {
    let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
    self.failure_backoff_until_ms = now_ms + (FIRST_BACKOFF_MS << doublings);
    self.consecutive_failures += 1;
  }

  /// Applies a backoff that the endpoint asked for; of several, the one that ends last counts.
  pub(crate) fn request_backoff(&mut self, now_ms: u64, wanted_ms: u64) {
    let until_ms = now_ms + wanted_ms.min(MAX_REQUESTED_BACKOFF_MS);
    self.requested_backoff_until_ms = self.requested_backoff_until_ms.max(until_ms);
  }

  pub(crate) fn record_success(&mut self) {
    self.consecutive_failures = 0;
    self.failure_backoff_until_ms = 0;
  }

  /// Feeds the state machine; true if the state changed.
  pub(crate) fn apply_event(&mut self, event: &EndpointEvent) -> bool {
    let before = self.lifecycle.state().clone();
    self.lifecycle.handle(event);
    before != *self.lifecycle.state()
  }

  pub fn is_live(&self) -> bool {
    *self.lifecycle.state() == State::Live {}
  }

  /// Whether it is neither full nor in a backoff.
  pub fn is_available(&self, now_ms: u64) -> bool {
    let unavailable_until_ms = self
      .full_until_ms
      .max(self.failure_backoff_until_ms)
      .max(self.requested_backoff_until_ms);
    unavailable_until_ms <= now_ms
  }

  pub fn is_leaving(&self) -> bool {
    *self.lifecycle.state() == State::Leaving {}
  }

  /// Whether no report ever arrived.
  pub fn is_unseen(&self) -> bool {
    *self.lifecycle.state() == State::Unseen {}
  }

  /// Applies a report; false if it is older than the last one, or of an earlier incarnation.
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

  /// Counts work as load until a report includes it.
  pub(crate) fn record_sent(&mut self, now_ms: u64, amount: u64) {
    self.sent.push_back(Sent {
      amount,
      at_ms: now_ms,
    });
  }

  /// Removes the latest unit of sent work of that amount, after it was cancelled.
  pub(crate) fn remove_sent(&mut self, amount: u64) {
    if let Some(place) = self.sent.iter().rposition(|sent| sent.amount == amount) {
      self.sent.remove(place);
    }
  }

  /// The last report with its current age, to relay to peers.
  pub(crate) fn relayed_report(&self, now_ms: u64) -> LoadReport {
    LoadReport {
      age_ms: now_ms.saturating_sub(self.reported_ms),
      leaving: self.is_leaving(),
      ..self.report.clone()
    }
  }

  /// Batch slots, by the last report.
  pub fn slots(&self) -> u32 {
    self.report.slots
  }

  /// Slots in use: those of the last report, and work that this box has sent since.
  pub fn used_slots(&self) -> u32 {
    let recent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
    self.report.used_slots.saturating_add(recent)
  }

  /// Slots in use by the last report alone.
  pub fn reported_slots(&self) -> u32 {
    self.report.used_slots
  }

  /// When a prefill engine is expected to have finished its queue.
  pub fn prefill_free_at_ms(&self) -> u64 {
    let tokens = self.report.queue_tokens + self.sent.iter().map(|sent| sent.amount).sum::<u64>();
    self.reported_ms + self.prefill_ms(tokens)
  }

  /// Time to prefill that many tokens.
  pub fn prefill_ms(&self, tokens: u64) -> u64 {
    tokens * 1_000 / self.spec.prefill_tokens_per_s.max(1)
  }

  /// Time to transfer the KV cache of that many tokens over the engine's link.
  pub fn transfer_ms(&self, tokens: u64) -> u64 {
    tokens * self.spec.kv_bytes_per_token * 1_000 / self.spec.link_bytes_per_s.max(1)
  }

  /// Sort key within a pool, least loaded first: end of the queue for prefill, share of used slots otherwise.
  pub(crate) fn load_key(&self) -> u64 {
    match self.role {
      Some(Role::Prefill) => self.prefill_free_at_ms(),
      Some(Role::Decode) | None => {
        u64::from(self.used_slots()) * 1_000 / u64::from(self.slots().max(1))
      }
    }
  }
}
