//! Property test of `decide` against simulated engines, over random histories of commands and cancels in any order, lost
//! responses, disconnects, failures and claims.

use {
  proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
  },
  rillford::{
    decide::{
      Action, Arrival, Began, CancelAnswer, ClaimOutcome, ConfigurationView, EndpointKind,
      EndpointSpec, Event, HoldCommand, Identity, LoadReport, Machine, ModelWork, RequestOutcome,
      Role, Setup, StageOutcome, StageReport, Tuning, Work,
    },
    ids::{AttemptId, Name, RequestId},
  },
  rstest::rstest,
  std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
  },
};

const CASES: u32 = 400;
const MODEL: &str = "model";

/// A step of a history. Its numbers select among the pending commands, cancels, claims or requests.
#[derive(Clone, Debug)]
enum Step {
  Arrive {
    not_repeatable: bool,
  },
  Disconnect(usize),
  /// A command reaches its engine and begins to run.
  Deliver(usize),
  /// A command is lost in transit, and the connection error is reported.
  LoseCommand(usize),
  /// An engine completes a command, and its response arrives.
  Complete(usize),
  /// The response of a running command is lost.
  LoseResponse(usize),
  /// A cancel reaches its engine; its response arrives or is lost.
  Cancel(usize, bool),
  SettleClaim(usize, u8),
  /// A stream is silent.
  Stall(usize),
  /// Egress ends a silent stream.
  EndStream(usize),
  Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
  let which = 0..64_usize;
  prop_oneof![
    2 => any::<bool>().prop_map(|not_repeatable| Step::Arrive { not_repeatable }),
    1 => which.clone().prop_map(Step::Disconnect),
    6 => which.clone().prop_map(Step::Deliver),
    1 => which.clone().prop_map(Step::LoseCommand),
    6 => which.clone().prop_map(Step::Complete),
    2 => which.clone().prop_map(Step::LoseResponse),
    3 => (which.clone(), any::<bool>()).prop_map(|(which, lost)| Step::Cancel(which, lost)),
    3 => (which.clone(), 0..3_u8).prop_map(|(which, how)| Step::SettleClaim(which, how)),
    1 => which.clone().prop_map(Step::Stall),
    1 => which.prop_map(Step::EndStream),
    4 => (1..400_u16).prop_map(Step::Wait),
  ]
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Stage {
  Prefill,
  Import,
  Decode,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Command {
  attempt: AttemptId,
  engine: Name,
  stage: Stage,
}

/// How engines answer extensions of holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ExtensionAnswer {
  Acknowledged,
  Failed,
  /// No answer yet.
  Pending,
}

/// A box with its commands in transit, and engines that follow the rules of `model::attempts`.
struct Simulation {
  machine: Machine,
  now_ms: u64,
  requests: u64,
  in_transit: Vec<Command>,
  running: Vec<Command>,
  cancels: Vec<(AttemptId, Name)>,
  claims: Vec<RequestId>,
  held: BTreeSet<(AttemptId, Name)>,
  tombstones: BTreeSet<(AttemptId, Name)>,
  began: BTreeMap<u64, u64>,
  not_repeatable: BTreeSet<u64>,
  outcomes: BTreeMap<u64, Vec<RequestOutcome>>,
  extension_answer: ExtensionAnswer,
  extensions_sent_ms: Vec<u64>,
  pending_extensions: Vec<HoldCommand>,
  stream_ends: Vec<(AttemptId, Name)>,
  streams_aborted_ms: Vec<u64>,
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

impl Simulation {
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
    let mut simulation = Self {
      began: BTreeMap::new(),
      cancels: Vec::new(),
      claims: Vec::new(),
      extension_answer: ExtensionAnswer::Acknowledged,
      extensions_sent_ms: Vec::new(),
      outcomes: BTreeMap::new(),
      pending_extensions: Vec::new(),
      stream_ends: Vec::new(),
      streams_aborted_ms: Vec::new(),
      held: BTreeSet::new(),
      machine,
      not_repeatable: BTreeSet::new(),
      now_ms: 1,
      in_transit: Vec::new(),
      requests: 0,
      tombstones: BTreeSet::new(),
      running: Vec::new(),
    };
    simulation.handle(Event::Configured(Arc::new(ConfigurationView::default())));
    simulation.report(&names);
    simulation
  }

  fn report(&mut self, names: &[Name]) {
    for name in names {
      self.handle(Event::LoadReported(LoadReport {
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

  fn handle(&mut self, event: Event) {
    for action in self.machine.handle(self.now_ms, event) {
      self.perform(action);
    }
  }

  fn perform(&mut self, action: Action) {
    let new_command = |attempt, engine, stage| Command {
      attempt,
      engine,
      stage,
    };
    match action {
      Action::Prefill(command) => {
        self
          .in_transit
          .push(new_command(command.attempt, command.engine, Stage::Prefill));
      }
      Action::Import(command) => {
        self
          .in_transit
          .push(new_command(command.attempt, command.engine, Stage::Import));
      }
      Action::Decode(command) => {
        self
          .in_transit
          .push(new_command(command.attempt, command.engine, Stage::Decode));
      }
      Action::Cancel(attempt, engine) => {
        // Egress stops waiting for the attempt's response.
        self.cancels.push((attempt, engine));
      }
      Action::Claim(request, ..) => self.claims.push(request),
      Action::Complete(request, outcome) => {
        self.outcomes.entry(request.0).or_default().push(outcome);
      }
      Action::PollLoad(engine) => self.report_load(engine),
      Action::ExtendHolds(command) => self.extend_holds(command),
      Action::AbortStream(..) => self.streams_aborted_ms.push(self.now_ms),
      Action::EndStream(attempt, engine) => self.stream_ends.push((attempt, engine)),
      _ => {}
    }
  }

  fn report_load(&mut self, engine: Name) {
    self.report(&[engine]);
  }

  fn extend_holds(&mut self, command: HoldCommand) {
    self.extensions_sent_ms.push(self.now_ms);
    match self.extension_answer {
      ExtensionAnswer::Acknowledged => self.acknowledge(command),
      ExtensionAnswer::Failed => self.handle(Event::HoldExtensionFailed(command.engine)),
      ExtensionAnswer::Pending => self.pending_extensions.push(command),
    }
  }

  fn acknowledge(&mut self, command: HoldCommand) {
    self.handle(Event::HoldsExtended(command));
  }

  fn report_stage(&mut self, command: &Command, outcome: StageOutcome) {
    self.handle(Event::Stage(StageReport {
      attempt: command.attempt.clone(),
      endpoint: command.engine.clone(),
      outcome,
    }));
  }

  fn fail(&mut self, command: &Command, began: Began) {
    let outcome = StageOutcome::Failed {
      began,
      offset: 0,
      resumable: true,
    };
    self.report_stage(command, outcome);
  }

  fn apply(&mut self, step: &Step) {
    match step {
      Step::Arrive { not_repeatable } => self.arrive(*not_repeatable),
      Step::Disconnect(which) => {
        if self.requests > 0 {
          let request = *which as u64 % self.requests;
          self.handle(Event::CallerDisconnected(RequestId(request)));
        }
      }
      Step::Deliver(which) => self.deliver(*which),
      Step::LoseCommand(which) => {
        if let Some(command) = take(&mut self.in_transit, *which) {
          self.fail(&command, Began::Never);
        }
      }
      Step::Complete(which) => self.complete(*which),
      Step::LoseResponse(which) => {
        if let Some(command) = take(&mut self.running, *which) {
          self.fail(&command, Began::Perhaps);
        }
      }
      Step::Cancel(which, lost) => self.cancel(*which, *lost),
      Step::SettleClaim(which, how) => {
        if let Some(request) = take(&mut self.claims, *which) {
          let outcome = [
            ClaimOutcome::Held,
            ClaimOutcome::Taken,
            ClaimOutcome::Unavailable,
          ][usize::from(*how)];
          self.handle(Event::ClaimSettled(request, outcome));
        }
      }
      Step::Stall(which) => {
        let decodes = self
          .running
          .iter()
          .filter(|command| command.stage == Stage::Decode)
          .cloned();
        if let Some(command) = take(&mut decodes.collect::<Vec<_>>(), *which) {
          self.stall(&command, 3_000);
        }
      }
      Step::EndStream(which) => {
        if let Some((attempt, engine)) = take(&mut self.stream_ends, *which) {
          self.end_stream(&attempt, &engine);
        }
      }
      Step::Wait(wait_ms) => {
        self.now_ms += u64::from(*wait_ms);
        self.handle(Event::Tick);
      }
    }
  }

  fn arrive(&mut self, not_repeatable: bool) {
    let request = self.requests;
    self.requests += 1;
    if not_repeatable {
      self.not_repeatable.insert(request);
    }
    self.handle(Event::Arrived(Arrival {
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
    let Some(command) = take(&mut self.in_transit, which) else {
      return;
    };
    let key = (command.attempt.clone(), command.engine.clone());
    if self.tombstones.contains(&key) {
      self.fail(&command, Began::Never);
      return;
    }
    if command.stage == Stage::Prefill {
      *self.began.entry(command.attempt.sequence).or_default() += 1;
    }
    self.held.insert(key);
    self.running.push(command);
  }

  fn complete(&mut self, which: usize) {
    let Some(command) = take(&mut self.running, which) else {
      return;
    };
    let key = (command.attempt.clone(), command.engine.clone());
    if !self.held.contains(&key) {
      return;
    }
    match command.stage {
      Stage::Prefill => self.report_stage(
        &command,
        StageOutcome::Prefilled {
          cached_tokens: 0,
          kv_bytes: 100,
          prompt_tokens: 100,
        },
      ),
      Stage::Import => {
        // The transfer consumes the source's export.
        let attempt = command.attempt.clone();
        self
          .held
          .retain(|(held, engine)| *held != attempt || !engine.starts_with('p'));
        self.report_stage(&command, StageOutcome::Imported);
      }
      Stage::Decode => {
        self.held.remove(&key);
        self.report_stage(&command, StageOutcome::FirstChunk);
        self.report_stage(&command, StageOutcome::Finished { tokens: 10 });
      }
    }
  }

  fn stall(&mut self, command: &Command, silence_ms: u64) {
    self.report_stage(command, StageOutcome::Stalled { silence_ms });
  }

  fn end_stream(&mut self, attempt: &AttemptId, engine: &Name) {
    let index = self.running.iter().position(|command| {
      command.stage == Stage::Decode && (&command.attempt, &command.engine) == (attempt, engine)
    });
    if let Some(index) = index {
      let command = self.running.remove(index);
      self.fail(&command, Began::Perhaps);
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
      .running
      .retain(|command| (&command.attempt, &command.engine) != (&attempt, &engine));
    let answer = match (lost, was_held) {
      (true, _) => CancelAnswer::Unreachable,
      (false, true) => CancelAnswer::Cancelled,
      (false, false) => CancelAnswer::UnknownAttempt,
    };
    self.handle(Event::CancelSettled(attempt, engine, answer));
  }

  fn configure(&mut self, tuning: Tuning) {
    self.handle(Event::Configured(Arc::new(ConfigurationView {
      tuning,
      ..ConfigurationView::default()
    })));
  }

  /// Starts a request and completes its stages up to the first chunk of its stream.
  fn start_stream(&mut self) -> Command {
    self.arrive(false);
    for _ in [Stage::Prefill, Stage::Import] {
      self.deliver(0);
      self.complete(self.running.len() - 1);
    }
    self.deliver(0);
    let decode = self.running.last().unwrap().clone();
    self.report_stage(&decode, StageOutcome::FirstChunk);
    decode
  }

  fn wait_ms(&mut self, wait_ms: u64) {
    for _ in 0..wait_ms / 10 {
      self.apply(&Step::Wait(10));
    }
  }

  /// Waits until another extension of holds is sent; returns when that was.
  fn wait_for_extension(&mut self) -> u64 {
    let sent = self.extensions_sent_ms.len();
    for _ in 0..hold_ms() {
      if let Some(sent_ms) = self.extensions_sent_ms.get(sent) {
        return *sent_ms;
      }
      self.wait_ms(10);
    }
    panic!("no extension was sent");
  }

  /// Lets all work end: callers disconnect, commands arrive, cancels are acknowledged, time passes.
  fn settle(&mut self) {
    for request in 0..self.requests {
      self.handle(Event::CallerDisconnected(RequestId(request)));
    }
    for _ in 0..400 {
      while !self.claims.is_empty() {
        self.apply(&Step::SettleClaim(0, 0));
      }
      while !self.in_transit.is_empty() {
        self.deliver(0);
      }
      while !self.cancels.is_empty() {
        self.cancel(0, false);
      }
      self.apply(&Step::Wait(50));
    }
  }

  fn check_outcomes(&self) -> Result<(), TestCaseError> {
    for (request, outcomes) in &self.outcomes {
      prop_assert!(
        outcomes.len() <= 1,
        "request {request} has outcomes {outcomes:?}"
      );
      let began = self.began.get(request).copied().unwrap_or(0);
      if let [RequestOutcome::NotRun { .. }] = outcomes.as_slice() {
        prop_assert_eq!(began, 0, "request {} was reported as not run", request);
      }
    }
    for request in &self.not_repeatable {
      let began = self.began.get(request).copied().unwrap_or(0);
      prop_assert!(began <= 1, "request {request} began {began} times");
    }
    Ok(())
  }
}

fn hold_ms() -> u64 {
  Tuning::default().hold_ms
}

fn take<T>(items: &mut Vec<T>, which: usize) -> Option<T> {
  if items.is_empty() {
    return None;
  }
  Some(items.remove(which % items.len()))
}

#[test]
fn any_history_gives_each_request_one_true_outcome_and_holds_nothing() {
  let config = Config {
    cases: CASES,
    failure_persistence: None,
    ..Config::default()
  };
  let random = TestRng::deterministic_rng(config.rng_algorithm);
  let mut runner = TestRunner::new_with_rng(config, random);
  let result = runner.run(&vec(step(), 1..120), |history| {
    let mut simulation = Simulation::new();
    for step in &history {
      simulation.apply(step);
      simulation.check_outcomes()?;
    }
    simulation.settle();
    simulation.check_outcomes()?;
    prop_assert_eq!(
      simulation.outcomes.len() as u64,
      simulation.requests,
      "some requests have no outcome"
    );
    prop_assert!(simulation.held.is_empty(), "held: {:?}", simulation.held);
    prop_assert_eq!(simulation.machine.open_commands(), 0);
    prop_assert_eq!(simulation.machine.status().seats_granted, 0);
    Ok(())
  });
  if let Err(error) = result {
    panic!("{error}");
  }
}

// Guards against the abort of all streams at an engine after one second without an extension of their holds.
#[rstest]
#[case::failed(ExtensionAnswer::Failed)]
#[case::unanswered(ExtensionAnswer::Pending)]
fn streams_continue_after_a_missed_hold_extension(#[case] missed: ExtensionAnswer) {
  let mut simulation = Simulation::new();
  simulation.start_stream();
  simulation.wait_for_extension();
  simulation.extension_answer = missed;
  simulation.wait_for_extension();
  simulation.wait_ms(1_000);
  simulation.extension_answer = ExtensionAnswer::Acknowledged;
  simulation.wait_ms(3 * hold_ms());
  assert_eq!(simulation.streams_aborted_ms, Vec::<u64>::new());
}

// Guards against the abort of a stream long before its hold ends, and against one that continues after that.
#[rstest]
#[case::never_acknowledged(None)]
#[case::acknowledged_at_once(Some(0))]
#[case::acknowledged_late(Some(1_500))]
fn stream_is_aborted_shortly_before_its_hold_ends(#[case] acknowledged_after_ms: Option<u64>) {
  for start_ms in (0..hold_ms()).step_by(270) {
    let mut simulation = Simulation::new();
    simulation.wait_ms(start_ms);
    simulation.start_stream();
    let mut hold_start_ms = simulation.now_ms;
    simulation.extension_answer = ExtensionAnswer::Pending;
    if let Some(after_ms) = acknowledged_after_ms {
      hold_start_ms = simulation.wait_for_extension();
      simulation.wait_ms(after_ms);
      let command = simulation.pending_extensions.remove(0);
      simulation.acknowledge(command);
    }
    simulation.wait_ms(2 * hold_ms());
    let aborted = simulation.streams_aborted_ms.first();
    let left_ms = aborted.map(|aborted_ms| (hold_start_ms + hold_ms()).checked_sub(*aborted_ms));
    assert!(
      matches!(left_ms, Some(Some(left_ms)) if left_ms > 0 && left_ms <= hold_ms() / 5),
      "started after {start_ms} ms: {left_ms:?} ms left"
    );
  }
}

// Guards against holds that end before their extension because a longer hold time was configured meanwhile.
#[test]
fn holds_are_extended_in_time_after_the_hold_time_was_raised() {
  let mut simulation = Simulation::new();
  simulation.configure(Tuning {
    hold_ms: 2_000,
    ..Tuning::default()
  });
  simulation.start_stream();
  let first_ms = simulation.wait_for_extension();
  simulation.configure(Tuning {
    hold_ms: 60_000,
    ..Tuning::default()
  });
  let second_ms = simulation.wait_for_extension();
  assert!(second_ms - first_ms < 2_000, "{} ms", second_ms - first_ms);
  assert_eq!(simulation.streams_aborted_ms, Vec::<u64>::new());
}

// Guards against more silent streams that are ended than retries are left, and against the loss of an unused retry.
#[test]
fn silent_streams_end_only_with_a_retry_taken_for_each() {
  let mut simulation = Simulation::new();
  simulation.configure(Tuning {
    retry_burst: 1.0,
    retry_share: 0.0,
    ..Tuning::default()
  });
  let streams = [simulation.start_stream(), simulation.start_stream()];
  let keys = streams
    .clone()
    .map(|stream| (stream.attempt, stream.engine));
  for stream in &streams {
    simulation.stall(stream, 3_000);
  }
  assert_eq!(simulation.stream_ends, keys[..1]);
  assert_eq!(simulation.cancels, []);
  // The first stream continues after all.
  simulation.report_stage(&streams[0], StageOutcome::Finished { tokens: 10 });
  simulation.stall(&streams[1], 6_000);
  assert_eq!(simulation.stream_ends, keys);
  simulation.end_stream(&keys[1].0, &keys[1].1);
  assert_eq!(
    simulation.in_transit.len(),
    1,
    "the second stream is not retried"
  );
}

// Guards against streams that stay open for ever at an engine that extends their holds.
#[test]
fn stream_without_a_retry_left_ends_after_a_long_silence() {
  let mut simulation = Simulation::new();
  simulation.configure(Tuning {
    max_attempts: 1,
    ..Tuning::default()
  });
  let stream = simulation.start_stream();
  simulation.stall(&stream, 19_000);
  assert_eq!(simulation.stream_ends, []);
  simulation.stall(&stream, 20_000);
  assert_eq!(simulation.stream_ends, [(stream.attempt, stream.engine)]);
}
