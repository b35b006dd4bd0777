//! The simulation: boxes, engines, services and callers in virtual time.

use {
  super::{
    figures::Figures,
    schedule::Schedule,
    sim_engine::SimEngine,
    sim_service::{CALL_US, SimService},
    variant::{Fault, Knowledge, Variant},
    workload::{BETWEEN_TOKEN_MS, Day, RequestSpec, Site, SitePlan, WARM_UP_S, requests, run_s},
  },
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    decide::{
      Action, Arrival, BoxEntry, ClaimOutcome, ConfigurationView, Document, EndpointKind, Event,
      Identity, Machine, ModelWork, PeerMessage, RequestOutcome, Role, ServiceWork, Setup, Work,
    },
    ids::{AttemptId, Name, RequestId},
    observe::Stamp,
    peers::{Frame, encode},
    policy::Program,
  },
  std::{collections::BTreeMap, sync::Arc},
};

const BOX_START_UNIX_MS: u64 = 36_000_000;
/// Fraction of the cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.2;
const CACHE_EVENT_DELAY_US: u64 = 1_000_000;
/// Latency of the key-value service.
const KEY_VALUE_US: u64 = 3_000;
/// Timeout of a call while the key-value service is unavailable.
const KEY_VALUE_TIMEOUT_US: u64 = 1_000_000;
/// Network delay within a hall.
const LOCAL_DELAY_US: u64 = 250;
/// Time after the load in which requests complete.
const QUIET_S: u64 = 60;
const REPORT_DELAY_US: u64 = 300_000;
const SLOW_REPORT_DELAY_US: u64 = 3_000_000;
const STALL_TIMEOUT_US: u64 = 1_500_000;
const TICK_US: u64 = 10_000;
/// Delay of a caller's retry in a retry storm.
const STORM_RETRY_US: u64 = 100_000;
const MAX_STORM_TRIES: u32 = 5;

mod commands;
mod faults;
mod reports;

enum SimEvent {
  RequestArrives(usize),
  CallerDisconnects(usize),
  Tick(usize),
  /// An event reaches a box.
  Deliver(usize, Event),
  /// A box's command reaches an engine or service.
  Command(usize, Action),
  PrefillCompletes(usize, AttemptId),
  ExportExpires(usize, AttemptId),
  TransferCompletes(usize, AttemptId, usize),
  /// A decode of an engine reaches its first token or its end.
  DecodeProgress(usize, u64),
  CallCompletes(usize),
  StallTimeout(usize, AttemptId, usize, u64),
  FaultStarts,
  FaultEnds,
}

/// The progress and outcome of a request.
#[derive(Clone, Default)]
struct RequestState {
  box_index: usize,
  outcome: Option<RequestOutcome>,
  first_us: Option<u64>,
  between_tokens_ms: f64,
  tries: u32,
  arrived_us: u64,
  /// Counts changes of the stage: a stall timeout of an earlier stage is ignored.
  stage: u64,
  finished_us: u64,
  ended_us: u64,
}

struct SimBox {
  machine: Machine,
  name: Name,
  hall: usize,
  is_alive: bool,
}

struct World {
  schedule: Schedule<SimEvent>,
  plan: SitePlan,
  variant: Variant,
  requests: Vec<RequestSpec>,
  request_states: Vec<RequestState>,
  boxes: Vec<SimBox>,
  box_index: BTreeMap<Name, usize>,
  engines: Vec<SimEngine>,
  engine_index: BTreeMap<Name, usize>,
  services: BTreeMap<Name, SimService>,
  calls: BTreeMap<usize, (AttemptId, Name)>,
  /// Prefilled tokens of attempts that have not reached the first token.
  unused_prefills: BTreeMap<AttemptId, u64>,
  used_tokens: u64,
  prefilled_tokens: u64,
  random: ChaCha8Rng,
  figures: Figures,
  is_fault_active: bool,
  end_us: u64,
}

/// Runs a variant with a seed.
pub fn simulate(site: Site, day: Day, variant: &Variant, seed: u64) -> Figures {
  let mut world = World::new(site, day, variant, seed);
  world.run();
  world.into_figures()
}

fn engine_role(kind: &EndpointKind) -> Option<Role> {
  match kind {
    EndpointKind::Engine { role, .. } => Some(*role),
    EndpointKind::Service { .. } => None,
  }
}

impl World {
  fn new(site: Site, day: Day, variant: &Variant, seed: u64) -> Self {
    let plan = SitePlan::of(site);
    let mut requests = requests(&plan, site, day, variant.load, seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xb0b);
    if variant.fault == Fault::CallersLeave {
      for spec in &mut requests {
        if random.random::<f64>() < 0.5 {
          spec.disconnects_after_us = Some(random.random_range(50_000..2_000_000));
        }
      }
    }
    let mut engines = Vec::new();
    let mut services = BTreeMap::new();
    for spec in &plan.engines {
      match engine_role(&spec.kind) {
        Some(role) => engines.push(SimEngine::new(
          spec.clone(),
          role,
          plan.token_base_us,
          plan.token_slope_us,
        )),
        None => {
          services.insert(spec.name.clone(), SimService::default());
        }
      }
    }
    let end_us = run_s(day) * 1_000_000;
    let mut world = Self {
      box_index: BTreeMap::new(),
      boxes: Vec::new(),
      calls: BTreeMap::new(),
      end_us,
      engine_index: engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (engine.spec.name.clone(), index))
        .collect(),
      engines,
      request_states: vec![RequestState::default(); requests.len()],
      requests,
      is_fault_active: false,
      figures: Figures::default(),
      plan,
      random,
      unused_prefills: BTreeMap::new(),
      prefilled_tokens: 0,
      schedule: Schedule::new(),
      services,
      used_tokens: 0,
      variant: variant.clone(),
    };
    world.add_boxes(seed);
    world
  }

  fn add_boxes(&mut self, seed: u64) {
    let view = ConfigurationView {
      documents: vec![Document {
        key: "platform".into(),
        revision: 1,
        text: "{}".into(),
      }],
      policy: Some(Program::compile(self.plan.policy).expect("the example compiles")),
      tuning: self.tuning(),
      ..ConfigurationView::default()
    };
    let view = Arc::new(view);
    let counts = match self.variant.knowledge {
      Knowledge::Real => self.plan.boxes.clone(),
      Knowledge::Perfect => vec![1; self.plan.halls.len()],
    };
    let mut entries = Vec::new();
    for (hall, count) in counts.iter().enumerate() {
      for index in 0..*count {
        let name: Name = format!("{}-b{index}", self.plan.halls[hall]).into();
        entries.push(BoxEntry {
          hall: self.plan.halls[hall].clone(),
          leaving: false,
          name: name.clone(),
          peer_address: "".into(),
        });
        let machine = Machine::new(Setup {
          endpoints: self.plan.engines.clone(),
          epoch_unix_ms: BOX_START_UNIX_MS,
          identity: Identity {
            hall: self.plan.halls[hall].clone(),
            incarnation: 1,
            name: name.clone(),
          },
          seed: seed + entries.len() as u64,
        });
        self.box_index.insert(name.clone(), self.boxes.len());
        self.boxes.push(SimBox {
          is_alive: true,
          hall,
          machine,
          name,
        });
      }
    }
    for index in 0..self.boxes.len() {
      self.deliver(index, Event::Boxes(entries.clone()));
      self.deliver(index, Event::Configured(view.clone()));
      // Ticks of different boxes are spread over time.
      let offset_us = 1_300 * index as u64 % TICK_US;
      self.schedule.after(offset_us, SimEvent::Tick(index));
    }
  }

  fn tuning(&self) -> rillford::decide::Tuning {
    let mut tuning = self.variant.tuning.clone();
    if self.variant.knowledge == Knowledge::Perfect {
      tuning.poll_ms = 10;
    }
    tuning
  }

  fn run(&mut self) {
    for index in 0..self.requests.len() {
      self
        .schedule
        .at(self.requests[index].at_us, SimEvent::RequestArrives(index));
    }
    let middle_us = (WARM_UP_S + 20) * 1_000_000;
    if self.variant.fault != Fault::None {
      self.schedule.at(middle_us, SimEvent::FaultStarts);
      self
        .schedule
        .at(middle_us + 60_000_000, SimEvent::FaultEnds);
    }
    let stop_us = self.end_us + QUIET_S * 1_000_000;
    while let Some(event) = self.schedule.next() {
      if self.schedule.now_us > stop_us {
        break;
      }
      self.handle(event);
    }
  }

  fn handle(&mut self, event: SimEvent) {
    match event {
      SimEvent::RequestArrives(request) => self.handle_arrival(request),
      SimEvent::CallerDisconnects(request) => self.handle_disconnect(request),
      SimEvent::Tick(index) => {
        if self.boxes[index].is_alive {
          self.deliver(index, Event::Tick);
          self.schedule.after(TICK_US, SimEvent::Tick(index));
        }
      }
      SimEvent::Deliver(index, event) => {
        if self.boxes[index].is_alive {
          self.deliver(index, event);
        }
      }
      SimEvent::Command(index, action) => self.execute(index, action),
      SimEvent::PrefillCompletes(engine, attempt) => self.complete_prefill(engine, &attempt),
      SimEvent::ExportExpires(engine, attempt) => {
        self.engines[engine].exports.remove(&attempt);
      }
      SimEvent::TransferCompletes(engine, attempt, box_index) => {
        self.complete_transfer(engine, attempt, box_index)
      }
      SimEvent::DecodeProgress(engine, version) => self.handle_progress(engine, version),
      SimEvent::CallCompletes(request) => self.complete_call(request),
      SimEvent::StallTimeout(box_index, attempt, engine, stage) => {
        self.handle_stall_timeout(box_index, attempt, engine, stage);
      }
      SimEvent::FaultStarts => self.set_fault(true),
      SimEvent::FaultEnds => self.set_fault(false),
    }
  }

  fn deliver(&mut self, index: usize, event: Event) {
    let now_ms = self.schedule.now_us / 1_000;
    let actions = self.boxes[index].machine.handle(now_ms, event);
    for action in actions {
      self.perform(index, action);
    }
  }

  fn delay_us(&self, one: usize, other: usize) -> u64 {
    match self.variant.knowledge {
      Knowledge::Perfect => 0,
      Knowledge::Real if one == other => LOCAL_DELAY_US,
      Knowledge::Real => self.plan.hall_delay_us,
    }
  }

  fn is_partitioned(&self, one: usize, other: usize) -> bool {
    self.is_fault_active
      && self.variant.fault == Fault::HallCut
      && one != other
      && (one == 0 || other == 0)
  }

  /// Performs an action of a box; commands take a network delay.
  fn perform(&mut self, index: usize, action: Action) {
    match action {
      Action::Record(_) | Action::AbortStream(..) => {}
      Action::Complete(request, outcome) => self.complete_request(request, outcome),
      Action::Send(to, message) => self.send(index, &to, message),
      Action::Claim(request, ..) => {
        self.figures.platform_calls += 1;
        let is_unavailable = self.is_fault_active && self.variant.fault == Fault::PlatformAway;
        let (delay_us, outcome) = if is_unavailable {
          (KEY_VALUE_TIMEOUT_US, ClaimOutcome::Unavailable)
        } else {
          (KEY_VALUE_US, ClaimOutcome::Held)
        };
        let event = Event::ClaimSettled(request, outcome);
        self
          .schedule
          .after(delay_us, SimEvent::Deliver(index, event));
      }
      Action::ReleaseClaim(..) => self.figures.platform_calls += 2,
      command => {
        let delay_us = self.delay_us(0, 0);
        self
          .schedule
          .after(delay_us, SimEvent::Command(index, command));
      }
    }
  }

  fn send(&mut self, index: usize, to: &Name, message: PeerMessage) {
    let Some(target) = self.box_index.get(to).copied() else {
      return;
    };
    let frame = Frame {
      from: self.boxes[index].name.clone(),
      message,
      stamp: Stamp(self.schedule.now_us),
    };
    let bytes = encode(&frame).map_or(0, |bytes| bytes.len() as u64);
    if self.schedule.now_us > WARM_UP_S * 1_000_000 && self.schedule.now_us < self.end_us {
      self.figures.peer_bytes += bytes;
    }
    let (one, other) = (self.boxes[index].hall, self.boxes[target].hall);
    if self.is_partitioned(one, other) {
      return;
    }
    let event = Event::Peer(frame.from, frame.message);
    let delay_us = self.delay_us(one, other);
    self
      .schedule
      .after(delay_us, SimEvent::Deliver(target, event));
  }

  fn handle_arrival(&mut self, request: usize) {
    let hall = self.requests[request].hall;
    let boxes = (0..self.boxes.len())
      .filter(|index| self.boxes[*index].hall == hall && self.boxes[*index].is_alive)
      .collect::<Vec<_>>();
    let Some(index) = boxes
      .get(self.random.random_range(0..boxes.len().max(1)))
      .copied()
    else {
      return;
    };
    let spec = self.requests[request].clone();
    let state = &mut self.request_states[request];
    state.box_index = index;
    state.tries += 1;
    state.outcome = None;
    if state.tries == 1 {
      state.arrived_us = self.schedule.now_us;
    }
    let work = if spec.is_call {
      Work::Service(ServiceWork {
        idempotent: false,
        service: "store".into(),
      })
    } else {
      Work::Model(ModelWork {
        max_tokens: match self.variant.knowledge {
          Knowledge::Real => spec.max_tokens,
          Knowledge::Perfect => spec.output_tokens,
        },
        model: "model".into(),
        prefix: spec.prefix.clone(),
        prompt_tokens: spec.prompt_tokens,
      })
    };
    let arrival = Arrival {
      deadline_ms: Some(spec.first_token_ms),
      idempotency_key: None,
      not_repeatable: false,
      organisation: spec.organisation.clone(),
      request: RequestId(request as u64),
      task: spec.task.clone(),
      work,
    };
    if let Some(disconnects_after_us) = spec.disconnects_after_us {
      self
        .schedule
        .after(disconnects_after_us, SimEvent::CallerDisconnects(request));
    }
    self.deliver(index, Event::Arrived(arrival));
  }

  fn handle_disconnect(&mut self, request: usize) {
    if self.request_states[request].outcome.is_some() {
      return;
    }
    let index = self.request_states[request].box_index;
    if self.boxes[index].is_alive {
      self.deliver(index, Event::CallerDisconnected(RequestId(request as u64)));
    }
  }

  fn complete_request(&mut self, request: RequestId, outcome: RequestOutcome) {
    let request = request.0 as usize;
    let now_us = self.schedule.now_us;
    let state = &mut self.request_states[request];
    state.outcome = Some(outcome);
    state.ended_us = now_us;
    let is_storm = self.variant.fault == Fault::RetryStorm && self.is_fault_active;
    if is_storm && matches!(outcome, RequestOutcome::NotRun { .. }) && state.tries < MAX_STORM_TRIES
    {
      self
        .schedule
        .after(STORM_RETRY_US, SimEvent::RequestArrives(request));
    }
  }

  fn into_figures(mut self) -> Figures {
    let from_us = WARM_UP_S * 1_000_000;
    for (spec, state) in self.requests.iter().zip(&self.request_states) {
      if spec.at_us < from_us || spec.at_us >= self.end_us {
        continue;
      }
      if spec.is_call {
        count_call(&mut self.figures, spec, state);
      } else {
        count_completion(&mut self.figures, spec, state);
      }
    }
    self.figures.prefilled_tokens = self.prefilled_tokens;
    self.figures.wasted_tokens =
      self.prefilled_tokens - self.used_tokens.min(self.prefilled_tokens);
    self.figures.boxes = self.boxes.len() as u64;
    self.figures.seconds = (self.end_us - from_us) as f64 / 1e6;
    self.figures.slots_held_at_end = self
      .engines
      .iter()
      .filter(|engine| !engine.is_dead)
      .map(|engine| u64::from(engine.used()))
      .sum();
    self.figures
  }
}

fn count_call(figures: &mut Figures, spec: &RequestSpec, state: &RequestState) {
  figures.calls += 1;
  let Some(first_us) = state.first_us else {
    return;
  };
  let took_ms = (first_us - state.arrived_us) as f64 / 1_000.0;
  figures
    .call_delay_ms
    .push(took_ms - CALL_US as f64 / 1_000.0);
  if took_ms <= spec.first_token_ms as f64 {
    figures.good_calls += 1;
  }
}

fn count_completion(figures: &mut Figures, spec: &RequestSpec, state: &RequestState) {
  figures.requested += 1;
  let organisation = figures
    .organisations
    .entry(spec.organisation.to_string())
    .or_default();
  organisation.0 += 1;
  match state.outcome {
    None => figures.unresolved += 1,
    Some(RequestOutcome::NotRun { .. }) => figures.not_run += 1,
    Some(RequestOutcome::Unknown { .. }) => figures.unknown += 1,
    Some(RequestOutcome::Abandoned) => figures.abandoned += 1,
    Some(RequestOutcome::Answered) => {
      figures.answered += 1;
      let first_ms =
        (state.first_us.unwrap_or(state.finished_us) - state.arrived_us) as f64 / 1_000.0;
      figures.first_token_ms.push(first_ms);
      figures.between_tokens_ms.push(state.between_tokens_ms);
      if first_ms <= spec.first_token_ms as f64 && state.between_tokens_ms <= BETWEEN_TOKEN_MS {
        figures.good += 1;
        organisation.1 += 1;
      }
    }
  }
}
