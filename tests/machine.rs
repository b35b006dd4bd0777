//! The real `decide`, held against the engine of the specification over drawn histories: orders and
//! cancels in any order, lost answers, callers who leave, failures, claims.

use {
  proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
  },
  rillford::{
    decide::{
      Action, Arrival, Began, CancelAnswer, ClaimOutcome, ConfigurationView, EndpointKind,
      EndpointSpec, Event, Identity, LoadReport, Machine, ModelWork, RequestOutcome, Role, Setup,
      StageOutcome, StageReport, Work,
    },
    ids::{AttemptId, Name, RequestId},
  },
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
};

const HISTORIES: u32 = 400;
const MODEL: &str = "model";

/// What may happen next. Numbers choose among what is there.
#[derive(Clone, Debug)]
enum Chance {
  Arrive {
    not_repeatable: bool,
  },
  Leave(usize),
  /// An order reaches its engine and is worked on.
  Deliver(usize),
  /// An order is lost on its way, and that is noticed.
  Refuse(usize),
  /// An engine's work ends, and its answer comes.
  Answer(usize),
  /// An engine's work ends or not, and its answer is lost.
  LoseAnswer(usize),
  /// A cancel reaches its engine; its answer comes or is lost.
  Cancel(usize, bool),
  /// A claim is settled.
  Claim(usize, u8),
  Wait(u16),
}

fn chance() -> impl Strategy<Value = Chance> {
  let which = 0..64_usize;
  prop_oneof![
    2 => any::<bool>().prop_map(|not_repeatable| Chance::Arrive { not_repeatable }),
    1 => which.clone().prop_map(Chance::Leave),
    6 => which.clone().prop_map(Chance::Deliver),
    1 => which.clone().prop_map(Chance::Refuse),
    6 => which.clone().prop_map(Chance::Answer),
    2 => which.clone().prop_map(Chance::LoseAnswer),
    3 => (which.clone(), any::<bool>()).prop_map(|(which, lost)| Chance::Cancel(which, lost)),
    3 => (which, 0..3_u8).prop_map(|(which, how)| Chance::Claim(which, how)),
    4 => (1..400_u16).prop_map(Chance::Wait),
  ]
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Stage {
  Prefill,
  Import,
  Decode,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Order {
  attempt: AttemptId,
  engine: Name,
  stage: Stage,
}

/// Boxes' orders on their way, and engines as the specification has them.
struct World {
  machine: Machine,
  now_ms: u64,
  requests: u64,
  on_the_way: Vec<Order>,
  working: Vec<Order>,
  cancels: Vec<(AttemptId, Name)>,
  claims: Vec<RequestId>,
  held: BTreeSet<(AttemptId, Name)>,
  tombstones: BTreeSet<(AttemptId, Name)>,
  began: BTreeMap<u64, u64>,
  not_repeatable: BTreeSet<u64>,
  endings: BTreeMap<u64, Vec<RequestOutcome>>,
}

fn engine(name: &str, role: Role) -> EndpointSpec {
  EndpointSpec {
    hall: "hall".into(),
    kind: EndpointKind::Engine {
      checks_fence: true,
      models: vec![MODEL.into()],
      role,
    },
    kv_bytes_per_token: 1_000,
    link_bytes_per_s: 1_000_000_000,
    name: name.into(),
    prefill_tokens_per_s: 100_000,
    slots: 4,
  }
}

impl World {
  fn new() -> Self {
    let specs = vec![
      engine("p1", Role::Prefill),
      engine("p2", Role::Prefill),
      engine("d1", Role::Decode),
      engine("d2", Role::Decode),
    ];
    let names = specs
      .iter()
      .map(|spec| spec.name.clone())
      .collect::<Vec<_>>();
    let machine = Machine::new(Setup {
      endpoints: specs,
      epoch_unix_ms: 0,
      identity: Identity {
        hall: "hall".into(),
        incarnation: 1,
        name: "box".into(),
      },
      seed: 1,
    });
    let mut world = Self {
      began: BTreeMap::new(),
      cancels: Vec::new(),
      claims: Vec::new(),
      endings: BTreeMap::new(),
      held: BTreeSet::new(),
      machine,
      not_repeatable: BTreeSet::new(),
      now_ms: 1,
      on_the_way: Vec::new(),
      requests: 0,
      tombstones: BTreeSet::new(),
      working: Vec::new(),
    };
    world.tell(Event::Configured(Arc::new(ConfigurationView::default())));
    world.report(&names);
    world
  }

  fn report(&mut self, names: &[Name]) {
    for name in names {
      self.tell(Event::LoadReported(LoadReport {
        age_ms: 0,
        endpoint: name.clone(),
        incarnation: 1,
        leaving: false,
        queue_tokens: 0,
        role: Some(if name.starts_with('p') {
          Role::Prefill
        } else {
          Role::Decode
        }),
        slots: 4,
        used_slots: 0,
      }));
    }
  }

  fn tell(&mut self, event: Event) {
    for action in self.machine.handle(self.now_ms, event) {
      self.act(action);
    }
  }

  fn act(&mut self, action: Action) {
    let order = |attempt, engine, stage| Order {
      attempt,
      engine,
      stage,
    };
    match action {
      Action::Prefill(sent) => {
        self
          .on_the_way
          .push(order(sent.attempt, sent.engine, Stage::Prefill));
      }
      Action::Import(sent) => {
        self
          .on_the_way
          .push(order(sent.attempt, sent.engine, Stage::Import));
      }
      Action::Decode(sent) => {
        self
          .on_the_way
          .push(order(sent.attempt, sent.engine, Stage::Decode));
      }
      Action::Cancel(attempt, engine) => {
        // Egress stops waiting for the attempt's answer.
        self.cancels.push((attempt, engine));
      }
      Action::Claim(request, ..) => self.claims.push(request),
      Action::Complete(request, ending) => {
        self.endings.entry(request.0).or_default().push(ending);
      }
      Action::PollLoad(engine) => self.report_later(engine),
      Action::ExtendHolds(order) => self.extended_later(order.engine),
      _ => {}
    }
  }

  fn report_later(&mut self, engine: Name) {
    self.report(&[engine]);
  }

  fn extended_later(&mut self, engine: Name) {
    self.tell(Event::HoldsExtended(engine));
  }

  fn stage(&mut self, order: &Order, outcome: StageOutcome) {
    self.tell(Event::Stage(StageReport {
      attempt: order.attempt.clone(),
      endpoint: order.engine.clone(),
      outcome,
    }));
  }

  fn broke(&mut self, order: &Order, began: Began) {
    let outcome = StageOutcome::Failed {
      began,
      offset: 0,
      resumable: true,
    };
    self.stage(order, outcome);
  }

  fn happen(&mut self, chance: &Chance) {
    match chance {
      Chance::Arrive { not_repeatable } => self.arrive(*not_repeatable),
      Chance::Leave(which) => {
        if self.requests > 0 {
          let request = *which as u64 % self.requests;
          self.tell(Event::CallerDisconnected(RequestId(request)));
        }
      }
      Chance::Deliver(which) => self.deliver(*which),
      Chance::Refuse(which) => {
        if let Some(order) = take(&mut self.on_the_way, *which) {
          self.broke(&order, Began::Never);
        }
      }
      Chance::Answer(which) => self.answer(*which),
      Chance::LoseAnswer(which) => {
        if let Some(order) = take(&mut self.working, *which) {
          self.broke(&order, Began::Perhaps);
        }
      }
      Chance::Cancel(which, lost) => self.cancel(*which, *lost),
      Chance::Claim(which, how) => {
        if let Some(request) = take(&mut self.claims, *which) {
          let outcome = [
            ClaimOutcome::Held,
            ClaimOutcome::Taken,
            ClaimOutcome::Unavailable,
          ][usize::from(*how)];
          self.tell(Event::ClaimSettled(request, outcome));
        }
      }
      Chance::Wait(wait_ms) => {
        self.now_ms += u64::from(*wait_ms);
        self.tell(Event::Tick);
      }
    }
  }

  fn arrive(&mut self, not_repeatable: bool) {
    let request = self.requests;
    self.requests += 1;
    if not_repeatable {
      self.not_repeatable.insert(request);
    }
    self.tell(Event::Arrived(Arrival {
      deadline_ms: Some(5_000),
      idempotency_key: not_repeatable.then(|| "key".into()),
      not_repeatable,
      organisation: "organisation".into(),
      request: RequestId(request),
      task: "task".into(),
      work: Work::Model(ModelWork {
        max_tokens: 10,
        model: MODEL.into(),
        prefix: Vec::new(),
        prompt_tokens: 100,
      }),
    }));
  }

  fn deliver(&mut self, which: usize) {
    let Some(order) = take(&mut self.on_the_way, which) else {
      return;
    };
    let key = (order.attempt.clone(), order.engine.clone());
    if self.tombstones.contains(&key) {
      self.broke(&order, Began::Never);
      return;
    }
    if order.stage == Stage::Prefill {
      *self.began.entry(order.attempt.sequence).or_default() += 1;
    }
    self.held.insert(key);
    self.working.push(order);
  }

  fn answer(&mut self, which: usize) {
    let Some(order) = take(&mut self.working, which) else {
      return;
    };
    let key = (order.attempt.clone(), order.engine.clone());
    if !self.held.contains(&key) {
      return;
    }
    match order.stage {
      Stage::Prefill => self.stage(
        &order,
        StageOutcome::Prefilled {
          cached_tokens: 0,
          kv_bytes: 100,
          prompt_tokens: 100,
        },
      ),
      Stage::Import => {
        // The source's export is consumed by the transfer.
        let attempt = order.attempt.clone();
        self
          .held
          .retain(|(held, engine)| *held != attempt || !engine.starts_with('p'));
        self.stage(&order, StageOutcome::Imported);
      }
      Stage::Decode => {
        self.held.remove(&key);
        self.stage(&order, StageOutcome::FirstChunk);
        self.stage(&order, StageOutcome::Finished { tokens: 10 });
      }
    }
  }

  fn cancel(&mut self, which: usize, lost: bool) {
    let Some((attempt, engine)) = take(&mut self.cancels, which) else {
      return;
    };
    let key = (attempt.clone(), engine.clone());
    self.tombstones.insert(key.clone());
    let was_held = self.held.remove(&key);
    self
      .working
      .retain(|order| (&order.attempt, &order.engine) != (&attempt, &engine));
    let answer = match (lost, was_held) {
      (true, _) => CancelAnswer::Unreachable,
      (false, true) => CancelAnswer::Cancelled,
      (false, false) => CancelAnswer::UnknownAttempt,
    };
    self.tell(Event::CancelSettled(attempt, engine, answer));
  }

  /// Lets everything end: orders arrive, cancels are answered, time passes.
  fn settle(&mut self) {
    for request in 0..self.requests {
      self.tell(Event::CallerDisconnected(RequestId(request)));
    }
    for _ in 0..400 {
      while !self.claims.is_empty() {
        self.happen(&Chance::Claim(0, 0));
      }
      while !self.on_the_way.is_empty() {
        self.deliver(0);
      }
      while !self.cancels.is_empty() {
        self.cancel(0, false);
      }
      self.happen(&Chance::Wait(50));
    }
  }

  fn check_endings(&self) -> Result<(), TestCaseError> {
    for (request, endings) in &self.endings {
      prop_assert!(endings.len() <= 1, "request {request} ended as {endings:?}");
      let began = self.began.get(request).copied().unwrap_or(0);
      if let [RequestOutcome::NotRun { .. }] = endings.as_slice() {
        prop_assert_eq!(began, 0, "request {} was told not run", request);
      }
    }
    for request in &self.not_repeatable {
      let began = self.began.get(request).copied().unwrap_or(0);
      prop_assert!(began <= 1, "request {request} began {began} times");
    }
    Ok(())
  }
}

fn take<T>(items: &mut Vec<T>, which: usize) -> Option<T> {
  if items.is_empty() {
    return None;
  }
  Some(items.remove(which % items.len()))
}

#[test]
fn any_history_ends_each_request_once_truthfully_and_holds_nothing() {
  let config = Config {
    cases: HISTORIES,
    failure_persistence: None,
    ..Config::default()
  };
  let random = TestRng::deterministic_rng(config.rng_algorithm);
  let mut runner = TestRunner::new_with_rng(config, random);
  let outcome = runner.run(&vec(chance(), 1..120), |history| {
    let mut world = World::new();
    for chance in &history {
      world.happen(chance);
      world.check_endings()?;
    }
    world.settle();
    world.check_endings()?;
    prop_assert_eq!(
      world.endings.len() as u64,
      world.requests,
      "some were told nothing"
    );
    prop_assert!(world.held.is_empty(), "held: {:?}", world.held);
    prop_assert_eq!(world.machine.open_commands(), 0);
    prop_assert_eq!(world.machine.status().seats_granted, 0);
    Ok(())
  });
  if let Err(error) = outcome {
    panic!("{error}");
  }
}
