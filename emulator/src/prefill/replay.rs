//! The prefill simulation: requests arrive at boxes, which choose engines by a strategy and record what becomes of them.

use {
  super::{
    engine::Engine,
    figures::PrefillFigures,
    fleet::{Fleet, HALLS, hall_of_box, hall_of_engine},
    pattern::{COUNTED_FROM_MS, FAULT_MS, PrefillPattern, SIMULATION_END_MS},
    places::{PLACE_ANSWER_BYTES, PLACE_REQUEST_BYTES},
    state::{Event, Places, PrefillReplay, Request},
    strategy::PrefillStrategy,
  },
  crate::{places::PlaceFleet, queue::Queue},
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    decide::Role,
    gateway::{AllowedHalls, AttemptOutcome, EndpointCriteria, EndpointRegistry, LoadHeader},
  },
  std::time::{Duration, Instant},
};

/// Duration beyond which a prefill is slow.
const SLOW_MS: u64 = 700;
/// Time left for the prefill of the latency target of 900 ms: the slot is reserved before, the first token decoded after.
const TARGET_MS: u64 = 800;
/// Transfer of KV memory within a hall, and between halls.
const TRANSFER_MS: (u64, u64) = (3, 6);
/// Share of requests whose decode engine is in the box's hall.
const SAME_HALL_SHARE: f64 = 0.9;
const MAX_TOKENS: f64 = 11_000.0;
/// Delays of messages to engines.
const ENGINE_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=2;
/// Most boxes that keep the state of each engine although they do not choose by it.
const MAX_REGISTRY_BOXES: usize = 300;
/// Usable share of an engine's time with slots that are allocated in advance.
const SLOT_SHARE: f64 = 0.8;
/// The mean prompt, for which a slot is allocated.
const MEAN_TOKENS: u64 = 5_200;

/// Runs a pattern with a seed; returns the figures and the mean processor time of a decision.
///
/// ```
/// use emulator::prefill::{PrefillPattern, PrefillStrategy, replay_prefills};
/// let run = || replay_prefills(PrefillPattern::Waves, 8, PrefillStrategy::Coordinators, 1).0;
/// assert_eq!(run(), run());
/// ```
pub fn replay_prefills(
  pattern: PrefillPattern,
  boxes: usize,
  strategy: PrefillStrategy,
  seed: u64,
) -> (PrefillFigures, Duration) {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  let fleet = Fleet::new(boxes);
  let engines = (0..fleet.engines.len())
    .map(|number| Engine::new(number, SIMULATION_END_MS, &mut random))
    .collect();
  let mut replay = PrefillReplay {
    bytes: vec![0; boxes],
    decision_time: Duration::ZERO,
    decisions: 0,
    durations_ms: Vec::new(),
    engines,
    figures: PrefillFigures::default(),
    messages: vec![0; boxes],
    now_ms: 0,
    pattern,
    places: Places::new(&fleet, &mut random),
    queue: Queue::new(),
    random,
    registries: (0..boxes).map(|_| None).collect(),
    requests: Vec::new(),
    strategy,
    fleet,
  };
  replay.queue.put(0, Event::RequestArrives);
  while let Some((now_ms, event)) = replay.queue.next() {
    replay.now_ms = now_ms;
    replay.handle(event);
  }
  replay.into_figures()
}

impl PrefillReplay {
  fn handle(&mut self, event: Event) {
    match event {
      Event::RequestArrives => self.handle_arrival(),
      Event::Send { request, engine } => self.send(request, engine),
      Event::AtEngine { request, engine } => self.handle_prompt(request, engine),
      Event::Finished { engine } => self.handle_finished(engine),
      Event::Response {
        request,
        load,
        slowdown_percent,
      } => self.handle_response(request, load, slowdown_percent),
      Event::PlaceRequested { ask } => self.handle_place_request(ask),
      Event::PlaceAnswered { ask, place } => self.handle_place_answer(ask, place),
      Event::AskTimeout { ask } => self.handle_ask_timeout(ask),
      Event::Reported { ask, outcome } => self.handle_report(ask, outcome),
    }
  }

  fn into_figures(mut self) -> (PrefillFigures, Duration) {
    let seconds = SIMULATION_END_MS as f64 / 1_000.0;
    let per_box = |sum: u64| sum as f64 / seconds / self.fleet.boxes as f64;
    self.figures.mean_messages = per_box(self.messages.iter().sum());
    self.figures.mean_bytes = per_box(self.bytes.iter().sum());
    self.figures.busiest_bytes = self
      .bytes
      .iter()
      .max()
      .map_or(0.0, |most| *most as f64 / seconds);
    self.durations_ms.sort_unstable();
    let p99 = self.durations_ms.len() * 99 / 100;
    self.figures.p99_ms = self.durations_ms.get(p99).copied().unwrap_or(0);
    (self.figures, self.decision_time / self.decisions.max(1))
  }

  /// Passes a request to a box that works, and schedules the next arrival.
  fn handle_arrival(&mut self) {
    if self.now_ms >= SIMULATION_END_MS {
      return;
    }
    let loads = self.pattern.hall_loads(self.now_ms);
    let total: f64 = loads.iter().sum();
    let mean_ms = 1_000.0 / (self.fleet.requests_per_s * total / HALLS as f64);
    let interval_ms = -(1.0 - self.random.random::<f64>()).ln() * mean_ms;
    // Rounded at random, since the mean interval at many boxes is below a millisecond.
    let interval_ms = (interval_ms + self.random.random::<f64>()) as u64;
    self
      .queue
      .put(self.now_ms + interval_ms, Event::RequestArrives);
    let mut draw = self.random.random::<f64>() * total;
    let hall = loads.iter().position(|load| {
      draw -= load;
      draw < 0.0
    });
    let at = self.random_box(hall.unwrap_or(0));
    let decode_hall = if self.random.random::<f64>() < SAME_HALL_SHARE {
      hall_of_box(at)
    } else {
      self.random.random_range(0..HALLS)
    };
    // Two draws give a mean of about half of the maximum, and few very short or long prompts.
    let size = (self.random.random::<f64>() + self.random.random::<f64>()) / 2.0;
    self.requests.push(Request {
      arrived_ms: self.now_ms,
      ask: None,
      at,
      decode_hall,
      engine: 0,
      is_behind: false,
      sent_ms: 0,
      tokens: (size * MAX_TOKENS).max(100.0) as u64,
    });
    self.choose(self.requests.len() - 1);
  }

  /// A random box of a hall that serves callers.
  fn random_box(&mut self, hall: usize) -> usize {
    loop {
      let at = self.random.random_range(0..self.fleet.boxes);
      let is_down = self.pattern != PrefillPattern::CoordinatorCutOff
        && at == self.fleet.failing
        && self.pattern.has_fault(self.now_ms);
      if hall_of_box(at) == hall && !is_down {
        return at;
      }
    }
  }

  fn choose(&mut self, request: usize) {
    match self.strategy {
      PrefillStrategy::Registry => self.send_by_registry(request),
      PrefillStrategy::TwoAsked => self.send_to_shorter(request),
      PrefillStrategy::SlotsInAdvance => self.send_in_slot(request),
      PrefillStrategy::Coordinators => self.ask_decode_hall(request),
    }
  }

  /// Sends a prompt to the engine that the box's registry chooses, as without places.
  pub(super) fn send_by_registry(&mut self, request: usize) {
    let Request {
      at,
      decode_hall,
      tokens,
      ..
    } = self.requests[request];
    self.create_registry(at);
    let entries = &self.fleet.engines;
    let Some(registry) = &self.registries[at] else {
      return;
    };
    let hall = PlaceFleet::hall(decode_hall);
    let criteria = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: &hall,
      is_retryable: true,
      role: Some(Role::Prefill),
      service: &entries[0].service,
      size: tokens,
      tried: &[],
      version: None,
    };
    let random = &mut self.random;
    let started = Instant::now();
    let choice = registry.choose(criteria, self.now_ms, || random.random());
    if self.strategy == PrefillStrategy::Registry {
      self.decision_time += started.elapsed();
      self.decisions += 1;
    }
    let entry = choice.expect("engines are listed").entry;
    let engine = entries.iter().position(|other| other.id == entry.id);
    self.send(request, engine.unwrap_or(0));
  }

  fn create_registry(&mut self, at: usize) {
    let entries = &self.fleet.engines;
    self.registries[at].get_or_insert_with(|| {
      let mut registry = Box::<EndpointRegistry>::default();
      entries.iter().for_each(|entry| registry.put(entry.clone()));
      registry
    });
  }

  /// Asks two random engines of the decode engine's hall; the answers arrive after a round trip.
  fn send_to_shorter(&mut self, request: usize) {
    let Request {
      at, decode_hall, ..
    } = self.requests[request];
    let engines = 0..self.engines.len();
    let in_hall: Vec<_> = engines
      .filter(|number| hall_of_engine(*number) == decode_hall)
      .collect();
    let asked = [0, 1].map(|_| in_hall[self.random.random_range(0..in_hall.len())]);
    let queued = |engine: &usize| self.engines[*engine].prompts.len();
    let engine = asked.into_iter().min_by_key(queued).unwrap_or(0);
    self.messages[at] += 4;
    self.bytes[at] += 2 * (PLACE_REQUEST_BYTES + PLACE_ANSWER_BYTES);
    let answered_ms = self.now_ms + self.random.random_range(2..=4);
    self.queue.put(answered_ms, Event::Send { request, engine });
  }

  /// Sends a prompt at the box's next slot at any engine.
  fn send_in_slot(&mut self, request: usize) {
    let at = self.requests[request].at as u64;
    let (boxes, now_ms) = (self.fleet.boxes as u64, self.now_ms);
    let slots = self.engines.iter().enumerate().map(|(number, engine)| {
      let slot_ms = (engine.mean_ms(MEAN_TOKENS) / SLOT_SHARE) as u64;
      // Engines allocate their slots to the boxes in turn, each from another box on.
      let first = (at + number as u64 * 31) % boxes;
      let round_ms = slot_ms * boxes;
      let offset_ms = first * slot_ms;
      let rounds = now_ms.saturating_sub(offset_ms).div_ceil(round_ms);
      (offset_ms + rounds * round_ms, number)
    });
    let (slot_ms, engine) = slots.min().unwrap_or((now_ms, 0));
    self
      .queue
      .put(slot_ms.max(now_ms), Event::Send { request, engine });
  }

  pub(super) fn send(&mut self, request: usize, engine: usize) {
    // What a box learns while it has places counts once it has none.
    if self.pattern.is_faulty() && self.fleet.boxes <= MAX_REGISTRY_BOXES {
      self.create_registry(self.requests[request].at);
    }
    let sent = &mut self.requests[request];
    sent.sent_ms = self.now_ms;
    sent.engine = engine;
    if let Some(registry) = &mut self.registries[sent.at] {
      registry.record_send(&self.fleet.engines[engine].id, sent.tokens);
    }
    let delay_ms = self.random.random_range(ENGINE_DELAY_MS);
    let event = Event::AtEngine { request, engine };
    self.queue.put(self.now_ms + delay_ms, event);
  }

  fn handle_prompt(&mut self, request: usize, engine: usize) {
    let tokens = self.requests[request].tokens;
    if self.engines[engine].prompts.is_empty() {
      self.engines[engine].prompts.push_back((request, tokens));
      return self.start(engine);
    }
    let has_idle = self.engines.iter().any(|other| other.prompts.is_empty());
    self.requests[request].is_behind = has_idle;
    self.engines[engine].prompts.push_back((request, tokens));
  }

  /// Starts the first prompt of an engine.
  fn start(&mut self, engine: usize) {
    let Some((_, tokens)) = self.engines[engine].prompts.front().copied() else {
      return;
    };
    let end_ms = self.engines[engine].end_ms(tokens, self.now_ms);
    self.queue.put(end_ms, Event::Finished { engine });
  }

  fn handle_finished(&mut self, engine: usize) {
    let state = &mut self.engines[engine];
    let waiting = u32::try_from(state.prompts.len() - 1).unwrap_or(u32::MAX);
    let Some((request, _)) = state.prompts.pop_front() else {
      return;
    };
    let event = Event::Response {
      load: LoadHeader {
        running: 1,
        slots: 128,
        slowdown_percent: None,
        waiting,
      },
      request,
      slowdown_percent: state.slowdown_percent(),
    };
    let delay_ms = self.random.random_range(ENGINE_DELAY_MS);
    self.queue.put(self.now_ms + delay_ms, event);
    self.start(engine);
  }

  fn handle_response(&mut self, request: usize, load: LoadHeader, slowdown_percent: u32) {
    let now_ms = self.now_ms;
    let finished = &self.requests[request];
    let entry = &self.fleet.engines[finished.engine];
    let took_ms = now_ms - finished.sent_ms;
    if let Some(registry) = &mut self.registries[finished.at] {
      registry.record_load(&entry.id, load, now_ms);
      let outcome = AttemptOutcome::Answered { took_ms };
      let tokens = finished.tokens;
      registry.record_outcome(&entry.id, tokens, tokens, outcome, now_ms);
    }
    self.count(request);
    if let Some(ask) = self.requests[request].ask {
      self.report_completed(ask, took_ms, load, slowdown_percent);
    }
  }

  fn count(&mut self, request: usize) {
    let finished = &self.requests[request];
    if finished.arrived_ms < COUNTED_FROM_MS {
      return;
    }
    let duration_ms = self.now_ms - finished.arrived_ms;
    let is_same_hall = hall_of_engine(finished.engine) == finished.decode_hall;
    let transfer_ms = if is_same_hall {
      TRANSFER_MS.0
    } else {
      TRANSFER_MS.1
    };
    let is_slow = duration_ms > SLOW_MS;
    let figures = &mut self.figures;
    figures.prefills += 1;
    figures.slow += u32::from(is_slow);
    figures.slow_behind += u32::from(is_slow && finished.is_behind);
    figures.late += u32::from(duration_ms + transfer_ms > TARGET_MS);
    figures.total_ms += duration_ms;
    let is_asked = self.strategy == PrefillStrategy::Coordinators;
    figures.fallbacks += u32::from(is_asked && finished.ask.is_none());
    self.durations_ms.push(duration_ms);
  }

  /// When a box that is frozen handles a message that arrives at a time.
  pub(super) fn handled_ms(&self, at: usize, arrives_ms: u64) -> u64 {
    let is_frozen = self.pattern == PrefillPattern::CoordinatorFrozen
      && at == self.fleet.failing
      && self.pattern.has_fault(arrives_ms);
    if is_frozen { FAULT_MS.1 } else { arrives_ms }
  }
}
