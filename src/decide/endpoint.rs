//! One endpoint: what settings say of it, what it reported, and its life.

use {
  super::{LoadReport, Role},
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  statig::prelude::*,
  std::collections::VecDeque,
};

const FIRST_SHUN_MS: u64 = 1_000;
const MOST_SHUN_DOUBLINGS: u32 = 4;
/// The longest pause that is kept at one word: an endpoint that asks for hours by mistake is asked again after this.
const MOST_PAUSE_MS: u64 = 5 * 60 * 1_000;

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
  pub seats: u32,
  /// Prompt tokens read a second.
  pub prefill_tokens_per_s: u64,
  /// Size of a token in the KV cache.
  pub kv_bytes_per_token: u64,
  /// Rate of its link for KV transfers.
  pub link_bytes_per_s: u64,
}

/// What moves an endpoint through its life.
#[derive(Clone, Debug)]
pub enum Sign {
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

/// The life of an endpoint: unseen, live, suspect, leaving.
#[derive(Clone, Debug, Default)]
pub struct EndpointIncarnation {
  incarnation: u64,
}

#[state_machine(initial = "State::unseen()", state(derive(Clone, Debug, PartialEq)))]
impl EndpointIncarnation {
  #[state]
  fn unseen(&mut self, event: &Sign) -> Outcome<State> {
    self.usual(event)
  }

  #[state]
  fn live(&mut self, event: &Sign) -> Outcome<State> {
    self.usual(event)
  }

  #[state]
  fn suspect(&mut self, event: &Sign) -> Outcome<State> {
    self.usual(event)
  }

  /// Leaving holds until a new incarnation reports, or an operator takes the endpoint back.
  #[state]
  fn leaving(&mut self, event: &Sign) -> Outcome<State> {
    match event {
      Sign::Reported {
        incarnation,
        leaving: false,
      } if *incarnation > self.incarnation => {
        self.incarnation = *incarnation;
        Transition(State::live())
      }
      Sign::Leaving(incarnation) => {
        self.incarnation = self.incarnation.max(*incarnation);
        Handled
      }
      Sign::Undrained => Transition(State::suspect()),
      _ => Handled,
    }
  }
}

impl EndpointIncarnation {
  fn usual(&mut self, event: &Sign) -> Outcome<State> {
    match event {
      Sign::Reported { incarnation, .. } if *incarnation < self.incarnation => Handled,
      Sign::Reported {
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
      Sign::Silent => Transition(State::suspect()),
      Sign::Leaving(incarnation) if *incarnation >= self.incarnation => {
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
  pub heard_ms: u64,
  /// It was full: no seat is asked for here until then, or until its home says sooner.
  pub refused_until_ms: u64,
  /// An order failed here: it gets no work until then.
  pub shunned_until_ms: u64,
  /// It turned an order away and wanted none until then.
  pub paused_until_ms: u64,
  /// Orders that failed here since one came to something.
  pub failures_in_a_row: u32,
  /// Own attempts that hold a seat here.
  pub own_seats: u32,
  life: InitializedStateMachine<EndpointIncarnation>,
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
      seats: spec.seats,
      used_seats: 0,
    };
    Self {
      failures_in_a_row: 0,
      heard_ms: 0,
      incarnation: 0,
      life: EndpointIncarnation::default()
        .uninitialized_state_machine()
        .init(),
      own_seats: 0,
      paused_until_ms: 0,
      refused_until_ms: 0,
      report,
      reported_ms: 0,
      role,
      role_since_ms: 0,
      shunned_until_ms: 0,
      sent: VecDeque::new(),
      spec,
    }
  }

  /// An order failed here: it is shunned, each time for longer.
  pub(crate) fn failed(&mut self, now_ms: u64) {
    let doublings = self.failures_in_a_row.min(MOST_SHUN_DOUBLINGS);
    self.shunned_until_ms = now_ms + (FIRST_SHUN_MS << doublings);
    self.failures_in_a_row += 1;
  }

  /// It wants no orders for a while; of several pauses the one that ends last counts.
  pub(crate) fn pause(&mut self, now_ms: u64, wanted_ms: u64) {
    let until_ms = now_ms + wanted_ms.min(MOST_PAUSE_MS);
    self.paused_until_ms = self.paused_until_ms.max(until_ms);
  }

  /// An order came to something here.
  pub(crate) fn succeeded(&mut self) {
    self.failures_in_a_row = 0;
    self.shunned_until_ms = 0;
  }

  /// Moves the endpoint through its life; true when its state changed.
  pub(crate) fn sign(&mut self, sign: &Sign) -> bool {
    let before = self.life.state().clone();
    self.life.handle(sign);
    before != *self.life.state()
  }

  /// Whether it may get new work.
  pub fn is_live(&self) -> bool {
    *self.life.state() == State::Live {}
  }

  /// Whether it can be asked for anything now.
  pub fn is_open(&self, now_ms: u64) -> bool {
    let closed_until_ms = self
      .refused_until_ms
      .max(self.shunned_until_ms)
      .max(self.paused_until_ms);
    closed_until_ms <= now_ms
  }

  /// Whether it is leaving.
  pub fn is_leaving(&self) -> bool {
    *self.life.state() == State::Leaving {}
  }

  /// Whether nothing was ever heard of it.
  pub fn is_unseen(&self) -> bool {
    *self.life.state() == State::Unseen {}
  }

  /// Takes in a report; one older than the last is dropped.
  pub(crate) fn take(&mut self, now_ms: u64, report: &LoadReport) -> bool {
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
    self.heard_ms = now_ms;
    self.report = report.clone();
    while self.sent.front().is_some_and(|sent| sent.at_ms < made_ms) {
      self.sent.pop_front();
    }
    true
  }

  /// Remembers work sent here, until a report can show it.
  pub(crate) fn note_sent(&mut self, now_ms: u64, amount: u64) {
    self.sent.push_back(Sent {
      amount,
      at_ms: now_ms,
    });
  }

  /// Forgets one unit of sent work that was taken back.
  pub(crate) fn forget_sent(&mut self, amount: u64) {
    if let Some(place) = self.sent.iter().rposition(|sent| sent.amount == amount) {
      self.sent.remove(place);
    }
  }

  /// The last report, as it can be relayed now.
  pub(crate) fn relay(&self, now_ms: u64) -> LoadReport {
    LoadReport {
      age_ms: now_ms.saturating_sub(self.reported_ms),
      leaving: self.is_leaving(),
      ..self.report.clone()
    }
  }

  /// Seats that the engine has, by its own report.
  pub fn seats(&self) -> u32 {
    self.report.seats
  }

  /// Seats taken, by the last report and own work since.
  pub fn used_seats(&self) -> u32 {
    let recent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
    self.report.used_seats.saturating_add(recent)
  }

  /// Seats taken by the last report alone.
  pub fn reported_seats(&self) -> u32 {
    self.report.used_seats
  }

  /// Time at which a prefill engine is expected to have read all that waits.
  pub fn prefill_free_at_ms(&self) -> u64 {
    let tokens = self.report.queue_tokens + self.sent.iter().map(|sent| sent.amount).sum::<u64>();
    self.reported_ms + self.read_ms(tokens)
  }

  /// Time to read so many tokens.
  pub fn read_ms(&self, tokens: u64) -> u64 {
    tokens * 1_000 / self.spec.prefill_tokens_per_s.max(1)
  }

  /// Time to move a KV cache of so many tokens over the engine's link.
  pub fn transfer_ms(&self, tokens: u64) -> u64 {
    tokens * self.spec.kv_bytes_per_token * 1_000 / self.spec.link_bytes_per_s.max(1)
  }

  /// The order in which endpoints of one pool are tried: least first.
  pub(crate) fn pool_key(&self) -> u64 {
    match self.role {
      Some(Role::Prefill) => self.prefill_free_at_ms(),
      Some(Role::Decode) | None => {
        u64::from(self.used_seats()) * 1_000 / u64::from(self.seats().max(1))
      }
    }
  }
}
