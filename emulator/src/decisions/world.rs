//! Boxes, engines, services and callers in virtual time.

use {
  super::{
    figures::Figures,
    schedule::Schedule,
    sim_engine::SimEngine,
    sim_service::{CALL_US, SimService},
    variant::{Fault, Knowledge, Variant},
    workload::{Ask, BETWEEN_TOKEN_MS, Day, Site, SitePlan, WARM_UP_S, asks, run_s},
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
const CACHE_EVENT_GAP: f64 = 0.2;
const CACHE_EVENT_LAG_US: u64 = 1_000_000;
const KEY_VALUE_US: u64 = 3_000;
const KEY_VALUE_OUTAGE_US: u64 = 1_000_000;
const LOCAL_US: u64 = 250;
const QUIET_S: u64 = 60;
const REPORT_LAG_US: u64 = 300_000;
const LATE_REPORT_LAG_US: u64 = 3_000_000;
const STALL_US: u64 = 1_500_000;
const TICK_US: u64 = 10_000;
const STORM_PAUSE_US: u64 = 100_000;
const STORM_TRIES: u32 = 5;

mod faults;
mod orders;
mod reports;

enum What {
  Arrive(usize),
  Leave(usize),
  Tick(usize),
  Tell(usize, Event),
  Order(usize, Action),
  PromptRead(usize, AttemptId),
  ExportLapses(usize, AttemptId),
  Moved(usize, AttemptId, usize),
  Mark(usize, u64),
  CallDone(usize),
  TimedOut(usize, AttemptId, usize, u64),
  FaultBegins,
  FaultEnds,
}

/// What became of one request.
#[derive(Clone, Default)]
struct Fate {
  box_index: usize,
  ending: Option<RequestOutcome>,
  first_us: Option<u64>,
  between_ms: f64,
  tries: u32,
  arrived_us: u64,
  stage: u64,
  finished_us: u64,
  ended_us: u64,
}

struct SimBox {
  machine: Machine,
  name: Name,
  hall: usize,
  alive: bool,
}

struct World {
  schedule: Schedule<What>,
  plan: SitePlan,
  variant: Variant,
  asks: Vec<Ask>,
  fates: Vec<Fate>,
  boxes: Vec<SimBox>,
  box_index: BTreeMap<Name, usize>,
  engines: Vec<SimEngine>,
  engine_index: BTreeMap<Name, usize>,
  services: BTreeMap<Name, SimService>,
  calls: BTreeMap<usize, (AttemptId, Name)>,
  read: BTreeMap<AttemptId, u64>,
  used: u64,
  read_tokens: u64,
  random: ChaCha8Rng,
  figures: Figures,
  faulty: bool,
  end_us: u64,
}

/// Runs one variant with one seed.
pub fn simulate(site: Site, day: Day, variant: &Variant, seed: u64) -> Figures {
  let mut world = World::new(site, day, variant, seed);
  world.run();
  world.sum_up()
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
    let mut asks = asks(&plan, site, day, variant.load, seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xb0b);
    if variant.fault == Fault::CallersLeave {
      for ask in &mut asks {
        if random.random::<f64>() < 0.5 {
          ask.leaves_us = Some(random.random_range(50_000..2_000_000));
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
      fates: vec![Fate::default(); asks.len()],
      asks,
      faulty: false,
      figures: Figures::default(),
      plan,
      random,
      read: BTreeMap::new(),
      read_tokens: 0,
      schedule: Schedule::new(),
      services,
      used: 0,
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
          alive: true,
          hall,
          machine,
          name,
        });
      }
    }
    for index in 0..self.boxes.len() {
      self.tell_now(index, Event::Boxes(entries.clone()));
      self.tell_now(index, Event::Configured(view.clone()));
      // Ticks of boxes do not fall together.
      let offset_us = 1_300 * index as u64 % TICK_US;
      self.schedule.after(offset_us, What::Tick(index));
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
    for index in 0..self.asks.len() {
      self
        .schedule
        .at(self.asks[index].at_us, What::Arrive(index));
    }
    let middle_us = (WARM_UP_S + 20) * 1_000_000;
    if self.variant.fault != Fault::None {
      self.schedule.at(middle_us, What::FaultBegins);
      self.schedule.at(middle_us + 60_000_000, What::FaultEnds);
    }
    let stop_us = self.end_us + QUIET_S * 1_000_000;
    while let Some(what) = self.schedule.next() {
      if self.schedule.now_us > stop_us {
        break;
      }
      self.happen(what);
    }
  }

  fn happen(&mut self, what: What) {
    match what {
      What::Arrive(request) => self.arrive(request),
      What::Leave(request) => self.leave(request),
      What::Tick(index) => {
        if self.boxes[index].alive {
          self.tell_now(index, Event::Tick);
          self.schedule.after(TICK_US, What::Tick(index));
        }
      }
      What::Tell(index, event) => {
        if self.boxes[index].alive {
          self.tell_now(index, event);
        }
      }
      What::Order(index, action) => self.order(index, action),
      What::PromptRead(engine, attempt) => self.prompt_read(engine, &attempt),
      What::ExportLapses(engine, attempt) => {
        self.engines[engine].exports.remove(&attempt);
      }
      What::Moved(engine, attempt, box_index) => self.moved(engine, attempt, box_index),
      What::Mark(engine, version) => self.mark(engine, version),
      What::CallDone(request) => self.call_done(request),
      What::TimedOut(box_index, attempt, engine, stage) => {
        self.timed_out(box_index, attempt, engine, stage);
      }
      What::FaultBegins => self.fault(true),
      What::FaultEnds => self.fault(false),
    }
  }

  fn tell_now(&mut self, index: usize, event: Event) {
    let now_ms = self.schedule.now_us / 1_000;
    let actions = self.boxes[index].machine.handle(now_ms, event);
    for action in actions {
      self.act(index, action);
    }
  }

  fn delay_us(&self, one: usize, other: usize) -> u64 {
    match self.variant.knowledge {
      Knowledge::Perfect => 0,
      Knowledge::Real if one == other => LOCAL_US,
      Knowledge::Real => self.plan.between_halls_us,
    }
  }

  fn is_cut(&self, one: usize, other: usize) -> bool {
    self.faulty && self.variant.fault == Fault::HallCut && one != other && (one == 0 || other == 0)
  }

  /// What a box wants done, on its way.
  fn act(&mut self, index: usize, action: Action) {
    match action {
      Action::Record(_) | Action::AbortStream(..) => {}
      Action::Complete(request, ending) => self.ended(request, ending),
      Action::Send(to, message) => self.send(index, &to, message),
      Action::Claim(request, ..) => {
        self.figures.platform_calls += 1;
        let away = self.faulty && self.variant.fault == Fault::PlatformAway;
        let (delay_us, outcome) = if away {
          (KEY_VALUE_OUTAGE_US, ClaimOutcome::Unavailable)
        } else {
          (KEY_VALUE_US, ClaimOutcome::Held)
        };
        let event = Event::ClaimSettled(request, outcome);
        self.schedule.after(delay_us, What::Tell(index, event));
      }
      Action::ReleaseClaim(..) => self.figures.platform_calls += 2,
      order => {
        let delay_us = self.delay_us(0, 0);
        self.schedule.after(delay_us, What::Order(index, order));
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
    if self.is_cut(one, other) {
      return;
    }
    let event = Event::Peer(frame.from, frame.message);
    let delay_us = self.delay_us(one, other);
    self.schedule.after(delay_us, What::Tell(target, event));
  }

  fn arrive(&mut self, request: usize) {
    let hall = self.asks[request].hall;
    let boxes = (0..self.boxes.len())
      .filter(|index| self.boxes[*index].hall == hall && self.boxes[*index].alive)
      .collect::<Vec<_>>();
    let Some(index) = boxes
      .get(self.random.random_range(0..boxes.len().max(1)))
      .copied()
    else {
      return;
    };
    let ask = self.asks[request].clone();
    let fate = &mut self.fates[request];
    fate.box_index = index;
    fate.tries += 1;
    fate.ending = None;
    if fate.tries == 1 {
      fate.arrived_us = self.schedule.now_us;
    }
    let work = if ask.is_call {
      Work::Service(ServiceWork {
        idempotent: false,
        service: "store".into(),
      })
    } else {
      Work::Model(ModelWork {
        max_tokens: match self.variant.knowledge {
          Knowledge::Real => ask.max_tokens,
          Knowledge::Perfect => ask.output_tokens,
        },
        model: "model".into(),
        prefix: ask.prefix.clone(),
        prompt_tokens: ask.prompt_tokens,
      })
    };
    let arrival = Arrival {
      deadline_ms: Some(ask.first_token_ms),
      idempotency_key: None,
      not_repeatable: false,
      organisation: ask.organisation.clone(),
      request: RequestId(request as u64),
      task: ask.task.clone(),
      work,
    };
    if let Some(leaves_us) = ask.leaves_us {
      self.schedule.after(leaves_us, What::Leave(request));
    }
    self.tell_now(index, Event::Arrived(arrival));
  }

  fn leave(&mut self, request: usize) {
    if self.fates[request].ending.is_some() {
      return;
    }
    let index = self.fates[request].box_index;
    if self.boxes[index].alive {
      self.tell_now(index, Event::CallerDisconnected(RequestId(request as u64)));
    }
  }

  fn ended(&mut self, request: RequestId, ending: RequestOutcome) {
    let request = request.0 as usize;
    let now_us = self.schedule.now_us;
    let fate = &mut self.fates[request];
    fate.ending = Some(ending);
    fate.ended_us = now_us;
    let storms = self.variant.fault == Fault::RetryStorm && self.faulty;
    if storms && matches!(ending, RequestOutcome::NotRun { .. }) && fate.tries < STORM_TRIES {
      self.schedule.after(STORM_PAUSE_US, What::Arrive(request));
    }
  }

  fn sum_up(mut self) -> Figures {
    let from_us = WARM_UP_S * 1_000_000;
    for (ask, fate) in self.asks.iter().zip(&self.fates) {
      if ask.at_us < from_us || ask.at_us >= self.end_us {
        continue;
      }
      if ask.is_call {
        count_call(&mut self.figures, ask, fate);
      } else {
        count_ask(&mut self.figures, ask, fate);
      }
    }
    self.figures.read_tokens = self.read_tokens;
    self.figures.wasted_tokens = self.read_tokens - self.used.min(self.read_tokens);
    self.figures.boxes = self.boxes.len() as u64;
    self.figures.seconds = (self.end_us - from_us) as f64 / 1e6;
    self.figures.held_at_end = self
      .engines
      .iter()
      .filter(|engine| !engine.dead)
      .map(|engine| u64::from(engine.used()))
      .sum();
    self.figures
  }
}

fn count_call(figures: &mut Figures, ask: &Ask, fate: &Fate) {
  figures.calls += 1;
  let Some(first_us) = fate.first_us else {
    return;
  };
  let took_ms = (first_us - fate.arrived_us) as f64 / 1_000.0;
  figures
    .call_delay_ms
    .push(took_ms - CALL_US as f64 / 1_000.0);
  if took_ms <= ask.first_token_ms as f64 {
    figures.good_calls += 1;
  }
}

fn count_ask(figures: &mut Figures, ask: &Ask, fate: &Fate) {
  figures.asked += 1;
  let organisation = figures
    .organisations
    .entry(ask.organisation.to_string())
    .or_default();
  organisation.0 += 1;
  match fate.ending {
    None => figures.untold += 1,
    Some(RequestOutcome::NotRun { .. }) => figures.not_run += 1,
    Some(RequestOutcome::Unknown { .. }) => figures.unknown += 1,
    Some(RequestOutcome::Abandoned) => figures.left += 1,
    Some(RequestOutcome::Answered) => {
      figures.answered += 1;
      let first_ms = (fate.first_us.unwrap_or(fate.finished_us) - fate.arrived_us) as f64 / 1_000.0;
      figures.first_token_ms.push(first_ms);
      figures.between_ms.push(fate.between_ms);
      if first_ms <= ask.first_token_ms as f64 && fate.between_ms <= BETWEEN_TOKEN_MS {
        figures.good += 1;
        organisation.1 += 1;
      }
    }
  }
}
