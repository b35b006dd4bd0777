//! The load simulation: boxes choose with the gateway's own endpoint registry, engines have batch slots.

use {
  super::{
    figures::Figures,
    pattern::{EngineState, Pattern},
    variant::Variant,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    decide::Role,
    gateway::{
      AllowedHalls, AttemptOutcome, EndpointCriteria, EndpointEntry, EndpointRegistry, LoadHeader,
      SoftwareVersion,
    },
    ids::Name,
  },
};

// The size of a deployment of hundreds of boxes.
const BOXES: usize = 195;
/// Decode engines.
const ENGINES: usize = 93;
const HALLS: usize = 5;
/// Streams that an engine decodes at once, bounded by its memory.
const SLOTS: u32 = 9;
/// Requests per second at all boxes.
const REQUESTS_PER_S: f64 = 115.0;
/// Time from a request's arrival at an engine to the first event.
const FIRST_EVENT_MS: u64 = 100;
/// Mean duration of a stream, in which it takes a slot.
const MEAN_STREAM_MS: f64 = 3_300.0;
/// Time until a box receives a rejection.
const REJECTION_MS: u64 = 2;
/// Timeout of a connection to an unreachable engine.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Lost attempts after which a request fails.
const MAX_LOSSES: u32 = 2;
/// Rejected and unreachable attempts after which a request fails.
const MAX_REJECTIONS: u32 = 4;
/// Size of a request.
const PROMPT_TOKENS: u64 = 5_000;
/// Port of engine 0. An engine's port is this plus its number, so that an address identifies its engine.
const FIRST_PORT: u16 = 1_000;

enum Event {
  /// A request arrives at a box.
  RequestArrives,
  /// A box sends a request to an engine, which it chooses now.
  Send(Request),
  /// A box receives the outcome of an attempt.
  AttemptEnds {
    request: Request,
    engine: usize,
    outcome: AttemptOutcome,
  },
  /// A stream completes.
  StreamEnds { at_box: usize, engine: usize },
  /// All boxes restart.
  BoxesRestart,
}

struct Request {
  at_box: usize,
  tried: Vec<Name>,
  losses: u32,
  rejections: u32,
  /// Whether it is counted in the results.
  is_counted: bool,
}

struct Replay {
  pattern: Pattern,
  variant: Variant,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  registries: Vec<EndpointRegistry>,
  /// Number of streams by engine.
  running: Vec<u32>,
  figures: Figures,
}

/// Runs a pattern with a seed.
///
/// ```
/// use emulator::load::{Pattern, Variant, replay};
/// let calm = replay(Pattern::Calm, Variant::default(), 1);
/// assert_eq!(calm.lost_sends, 0);
/// assert!(calm.served_share() > 0.99);
/// assert_eq!(calm, replay(Pattern::Calm, Variant::default(), 1));
/// ```
pub fn replay(pattern: Pattern, variant: Variant, seed: u64) -> Figures {
  let mut replay = Replay {
    registries: new_registries(),
    figures: Figures {
      sends: vec![0; ENGINES],
      ..Figures::default()
    },
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    running: vec![0; ENGINES],
    variant,
  };
  replay.queue.put(0, Event::RequestArrives);
  if let Some(at_ms) = pattern.boxes_restart_ms() {
    replay.queue.put(at_ms, Event::BoxesRestart);
  }
  while let Some((now_ms, event)) = replay.queue.next() {
    if now_ms >= pattern.simulation_end_ms() {
      break;
    }
    replay.handle(now_ms, event);
  }
  replay.figures
}

fn hall_of(number: usize) -> usize {
  number % HALLS
}

fn hall_name(number: usize) -> Name {
  format!("hall-{}", hall_of(number)).into()
}

fn engine_name(number: usize) -> Name {
  format!("e-{number}").into()
}

fn entry(number: usize) -> EndpointEntry {
  let port = FIRST_PORT + number as u16;
  EndpointEntry {
    address: ([127, 0, 0, 1], port).into(),
    started_ms: None,
    cold_ms: 0,
    hall: hall_name(number),
    id: engine_name(number),
    leaving: false,
    role: Some(Role::Decode),
    slots: SLOTS,
    service: "llm".into(),
    version: SoftwareVersion::default(),
  }
}

/// The registry of each box, with all engines.
fn new_registries() -> Vec<EndpointRegistry> {
  let registry = |_| {
    let mut registry = EndpointRegistry::default();
    (0..ENGINES).for_each(|engine| registry.put(entry(engine)));
    registry
  };
  (0..BOXES).map(registry).collect()
}

impl Replay {
  fn handle(&mut self, now_ms: u64, event: Event) {
    match event {
      Event::RequestArrives => self.handle_arrival(now_ms),
      Event::Send(request) => self.send(now_ms, request),
      Event::AttemptEnds {
        request,
        engine,
        outcome,
      } => self.handle_outcome(now_ms, request, engine, outcome),
      Event::StreamEnds { at_box, engine } => {
        self.running[engine] -= 1;
        let outcome = AttemptOutcome::Answered {
          took_ms: FIRST_EVENT_MS,
        };
        self.record_outcome(now_ms, at_box, engine, outcome);
      }
      Event::BoxesRestart => self.registries = new_registries(),
    }
  }

  /// Sends a request from a random box, and schedules the next arrival.
  fn handle_arrival(&mut self, now_ms: u64) {
    let is_counted = self.pattern.is_counted(now_ms);
    self.figures.asked += u32::from(is_counted);
    let request = Request {
      at_box: self.random.random_range(0..BOXES),
      is_counted,
      losses: 0,
      rejections: 0,
      tried: Vec::new(),
    };
    self.send(now_ms, request);
    let mean_ms = 1_000.0 / (REQUESTS_PER_S * self.pattern.load(now_ms));
    let interval_ms = self.exponential(mean_ms);
    self.queue.put(now_ms + interval_ms, Event::RequestArrives);
  }

  /// Draws an exponentially distributed time, rounded to whole milliseconds.
  fn exponential(&mut self, mean_ms: f64) -> u64 {
    let draw: f64 = self.random.random();
    (-(1.0 - draw).ln() * mean_ms).round() as u64
  }

  /// Sends a request to the engine that its box chooses.
  fn send(&mut self, now_ms: u64, mut request: Request) {
    let hall = hall_name(request.at_box);
    let random = &mut self.random;
    let registry = &mut self.registries[request.at_box];
    let criteria = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: &hall,
      is_retryable: true,
      role: Some(Role::Decode),
      service: "llm",
      size: PROMPT_TOKENS,
      tried: &request.tried,
      version: None,
    };
    let Some(choice) = registry.choose(criteria, now_ms, || random.random()) else {
      return;
    };
    registry.record_send(&choice.entry.id, PROMPT_TOKENS);
    let engine = usize::from(choice.entry.address.port() - FIRST_PORT);
    self.figures.sends[engine] += u32::from(request.is_counted);
    let (outcome, took_ms) = self.attempt(now_ms, request.at_box, engine);
    request.tried.push(choice.entry.id);
    let event = Event::AttemptEnds {
      engine,
      outcome,
      request,
    };
    self.queue.put(now_ms + took_ms, event);
  }

  /// Returns the outcome of an attempt at an engine, and the time until the box receives it.
  fn attempt(&mut self, now_ms: u64, at_box: usize, engine: usize) -> (AttemptOutcome, u64) {
    let (from, to) = (hall_of(at_box), hall_of(engine));
    let state = self.pattern.engine(engine, now_ms);
    if state == EngineState::Gone || !self.pattern.are_connected(from, to, now_ms) {
      return (AttemptOutcome::Unreachable, CONNECT_TIMEOUT_MS);
    }
    if self.running[engine] >= SLOTS {
      return (AttemptOutcome::Full, REJECTION_MS);
    }
    match state {
      EngineState::Loses(share) if self.random.random::<f64>() < share => {
        (AttemptOutcome::Lost, FIRST_EVENT_MS)
      }
      _ => {
        self.running[engine] += 1;
        (
          AttemptOutcome::Answered {
            took_ms: FIRST_EVENT_MS,
          },
          FIRST_EVENT_MS,
        )
      }
    }
  }

  /// Starts the stream, or retries the request at another engine.
  fn handle_outcome(
    &mut self,
    now_ms: u64,
    mut request: Request,
    engine: usize,
    outcome: AttemptOutcome,
  ) {
    let counted = u32::from(request.is_counted);
    match outcome {
      AttemptOutcome::Answered { .. } => return self.start_stream(now_ms, &request, engine),
      AttemptOutcome::Full => {
        self.figures.refused_sends += counted;
        request.rejections += 1;
      }
      AttemptOutcome::Unreachable => {
        self.figures.unreached_sends += counted;
        request.rejections += 1;
      }
      AttemptOutcome::Cancelled | AttemptOutcome::Failed | AttemptOutcome::Lost => {
        self.figures.lost_sends += counted;
        request.losses += 1;
      }
    }
    self.record_outcome(now_ms, request.at_box, engine, outcome);
    if request.losses < MAX_LOSSES && request.rejections < MAX_REJECTIONS {
      self.queue.put(now_ms, Event::Send(request));
    }
  }

  /// Starts a stream at an engine, which reports its load to the box.
  fn start_stream(&mut self, now_ms: u64, request: &Request, engine: usize) {
    self.figures.served += u32::from(request.is_counted);
    let at_box = request.at_box;
    if self.variant.heeds_told_load {
      let load = LoadHeader {
        slowdown_percent: None,
        running: self.running[engine],
        slots: SLOTS,
        waiting: 0,
      };
      self.registries[at_box].record_load(&engine_name(engine), load, now_ms);
    }
    let stream_ms = self.exponential(MEAN_STREAM_MS);
    let event = Event::StreamEnds { at_box, engine };
    self.queue.put(now_ms + stream_ms, event);
  }

  /// Records the outcome of an attempt in the box's registry, as far as the variant uses it.
  fn record_outcome(&mut self, now_ms: u64, at_box: usize, engine: usize, outcome: AttemptOutcome) {
    let recorded = match outcome {
      AttemptOutcome::Lost | AttemptOutcome::Unreachable if !self.variant.heeds_losses => {
        AttemptOutcome::Cancelled
      }
      AttemptOutcome::Unreachable if !self.variant.notices_cut_halls => AttemptOutcome::Lost,
      outcome => outcome,
    };
    let registry = &mut self.registries[at_box];
    registry.record_outcome(&engine_name(engine), PROMPT_TOKENS, 1, recorded, now_ms);
  }
}
