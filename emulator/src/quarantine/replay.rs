//! The crash simulation: boxes decide with the gateway's own quarantine registry and receive each other's marks with delays.

use {
  super::{
    engine::Engine,
    event::Event,
    figures::CrashFigures,
    fleet::CrashFleet,
    pattern::{CrashPattern, SIMULATION_END_MS},
    request::Request,
    way::CrashWay,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    Fingerprint, QuarantineKey, QuarantineMark, QuarantineRegistry, QuarantineStrategy,
    QuarantineVerdict, RequestIdentity, SegmentIdentity, SoundSegments,
  },
  std::{
    collections::{BTreeSet, HashSet},
    rc::Rc,
  },
};

/// Restart time of an engine.
const RESTART_MS: u64 = 3_000;
/// Time from the start of a crashing run to the crash.
const CRASH_MS: u64 = 80;
/// Minimum and maximum duration of a stream.
const RUN_MS: (u64, u64) = (2_000, 8_000);
/// Total time of a caller, including its retries.
const CALLER_TIMEOUT_MS: u64 = 14_000;
/// Delay of a caller's retry after a broken response.
const CALLER_RETRY_MS: u64 = 300;
/// Delay of a caller's retry if no engine is up.
const NO_ENGINE_RETRY_MS: u64 = 1_000;
/// Engines that a box may send a request to.
const MAX_ATTEMPTS: u32 = 2;
/// How often a caller sends a request in all.
const MAX_CALLER_TRIES: u32 = 2;
/// Time from the start of a run until the engine has answered for so long that its segments are sound.
const ANSWERED_MS: u64 = 600;
/// Delay until a box sends a request to another engine.
const BOX_RETRY_MS: u64 = 5;
/// Time after the last allowed crash from which runs are late.
const CONTACT_MS: u64 = 3_000;

/// Crashes and late runs of one crashing body or segment.
#[derive(Clone, Copy, Debug, Default)]
struct Crashing {
  crashes: usize,
  /// The crash after which it should be quarantined.
  counted_crash_ms: Option<u64>,
  late: u32,
}

pub(super) struct CrashReplay {
  pub(super) pattern: CrashPattern,
  pub(super) fleet: CrashFleet,
  pub(super) way: CrashWay,
  pub(super) strategy: QuarantineStrategy,
  random: ChaCha8Rng,
  /// Draws the delays of marks. Separate, so that strategies with more announcements draw the same load.
  pub(super) delay_random: ChaCha8Rng,
  pub(super) queue: Queue<Event>,
  engines: Vec<Engine>,
  pub(super) registries: Vec<QuarantineRegistry>,
  sound: Vec<SoundSegments>,
  /// Marks in the store.
  pub(super) stored: BTreeSet<QuarantineKey>,
  requests: Vec<Request>,
  crashing: Vec<Crashing>,
  /// Boxes and times of batched writes, each of which is one store call.
  pub(super) written: HashSet<(usize, u64)>,
  innocent_bodies: u64,
  crashing_bodies: u64,
  pub(super) figures: CrashFigures,
}

/// Runs a pattern with a seed.
pub fn replay_crashes(
  pattern: CrashPattern,
  fleet: CrashFleet,
  way: impl Into<CrashWay>,
  seed: u64,
) -> CrashFigures {
  let way = way.into();
  let mut replay = CrashReplay {
    crashing_bodies: 0,
    innocent_bodies: 0,
    sound: vec![SoundSegments::default(); fleet.boxes],
    registries: vec![QuarantineRegistry::default(); fleet.boxes],
    crashing: Vec::new(),
    engines: vec![Engine::default(); fleet.engines],
    figures: CrashFigures::default(),
    fleet,
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    requests: Vec::new(),
    stored: BTreeSet::new(),
    strategy: way.strategy(),
    way,
    delay_random: ChaCha8Rng::seed_from_u64(!seed),
    written: HashSet::new(),
  };
  replay.schedule_initial_events();
  while let Some((now_ms, event)) = replay.queue.next() {
    if now_ms >= SIMULATION_END_MS {
      break;
    }
    replay.handle(event, now_ms);
  }
  replay.into_figures()
}

fn fingerprint(kind: &str, body: u64) -> Fingerprint {
  Fingerprint::of(RequestIdentity {
    body: body.to_string().as_bytes(),
    host: "lectures.example",
    method: "POST",
    organisation: None,
    path: kind,
  })
}

fn segment(id: &str) -> Fingerprint {
  Fingerprint::of_segment(SegmentIdentity {
    organisation: None,
    segment: id,
    service: "llm",
  })
}

impl CrashReplay {
  fn schedule_initial_events(&mut self) {
    self.queue.put(0, Event::InnocentArrives);
    for body in 0..self.pattern.bodies() {
      self.start_body(body, 3_000);
    }
    if let Some(interval_ms) = self.pattern.new_body_interval_ms() {
      self.queue.put(interval_ms, Event::NewBody { body: 0 });
    }
    for at_ms in self.pattern.rack_failures_ms() {
      self.queue.put(*at_ms, Event::RackFails);
    }
    if let Some(at_ms) = self.pattern.boxes_restart_ms() {
      self.queue.put(at_ms, Event::BoxesRestart);
    }
  }

  fn start_body(&mut self, body: u64, at_ms: u64) {
    self.crashing.push(Crashing::default());
    let left = self.pattern.requests_per_body();
    self.queue.put(at_ms, Event::CrashingArrives { body, left });
  }

  fn handle(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::InnocentArrives => self.handle_innocent(now_ms),
      Event::CrashingArrives { body, left } => self.handle_crashing(body, left, now_ms),
      Event::NewBody { body } => {
        self.start_body(body, now_ms);
        let interval_ms = self
          .pattern
          .new_body_interval_ms()
          .unwrap_or(SIMULATION_END_MS);
        self
          .queue
          .put(now_ms + interval_ms, Event::NewBody { body: body + 1 });
      }
      Event::Send { request } => self.send(request, now_ms),
      Event::RunAnswers { request, run } => {
        let is_current = self.requests[request].run == run;
        if is_current && self.requests[request].engine.is_some() {
          self.record_answer(request, now_ms);
        }
      }
      Event::RunCompletes { request, run } => self.complete_run(request, run, now_ms),
      Event::RunCrashes { request, run } => self.crash_run(request, run, now_ms),
      Event::EngineRestarted { engine } => {
        self.engines[engine].is_down = false;
        self.engines[engine].restarts += 1;
      }
      Event::RackFails => {
        for engine in (0..self.fleet.engines).step_by(3) {
          self.crash_engine(engine, now_ms);
        }
      }
      Event::MarkReceived { at, key } => {
        self.registries[at].record(key, now_ms);
        self.record_registry_size(at);
      }
      Event::ClearReceived { at, fingerprint } => drop(self.registries[at].clear(fingerprint)),
      Event::BoxesRestart => {
        for registry in &mut self.registries {
          *registry = QuarantineRegistry::default();
          for key in &self.stored {
            registry.record(*key, now_ms);
          }
        }
      }
    }
  }

  fn handle_innocent(&mut self, now_ms: u64) {
    self.figures.innocent += 1;
    self.innocent_bodies += 1;
    let body = match self.pattern.popular_bodies() {
      Some(bodies) => self.random.random_range(0..bodies),
      None => self.innocent_bodies,
    };
    let second = self
      .random
      .random_range(0..self.pattern.innocent_segments());
    // Where segments are rare, so is the first one.
    let first = if self.pattern == CrashPattern::RackRareSegments {
      second
    } else {
      0
    };
    let segments = self.segments(&first.to_string(), &format!("second-{second}"));
    let request = self.new_request(fingerprint("/innocent", body), segments, None, now_ms);
    self.queue.put(now_ms, Event::Send { request });
    let draw: f64 = self.random.random();
    let interval_ms = -(1.0 - draw).ln() * 1_000.0 / self.fleet.streams_per_s();
    self
      .queue
      .put(now_ms + interval_ms as u64 + 1, Event::InnocentArrives);
  }

  fn handle_crashing(&mut self, body: u64, left: u32, now_ms: u64) {
    let number = usize::try_from(body).unwrap_or(0);
    self.crashing_bodies += 1;
    let distinct = if self.pattern.has_crashing_segments() {
      self.crashing_bodies
    } else {
      body
    };
    let first = if self.pattern == CrashPattern::OneSegmentOf300Rare {
      format!("rare-{}", self.crashing_bodies)
    } else {
      "0".to_owned()
    };
    let segments = self.segments(&first, &format!("crashing-{body}"));
    let request = self.new_request(
      fingerprint("/crashing", distinct),
      segments,
      Some(number),
      now_ms,
    );
    // The next `CrashingArrives` stands for the caller's retry.
    self.requests[request].caller_retries_left = 0;
    self.queue.put(now_ms, Event::Send { request });
    if left > 1 {
      let draw: f64 = self.random.random();
      let interval_ms = (-(1.0 - draw).ln() * self.pattern.crashing_interval_ms()) as u64 + 1;
      let left = left - 1;
      self
        .queue
        .put(now_ms + interval_ms, Event::CrashingArrives { body, left });
    }
  }

  /// The segments of a prompt: those that it shares with others of its group, and one of its own among them.
  fn segments(&self, group: &str, own: &str) -> Rc<[Fingerprint]> {
    let id = |place: usize| {
      if place == self.pattern.crashing_place() {
        segment(own)
      } else {
        segment(&format!("{group}-{place}"))
      }
    };
    (0..self.pattern.segments()).map(id).collect()
  }

  fn new_request(
    &mut self,
    fingerprint: Fingerprint,
    segments: Rc<[Fingerprint]>,
    crashing: Option<usize>,
    now_ms: u64,
  ) -> usize {
    self.requests.push(Request {
      at: self.random.random_range(0..self.fleet.boxes),
      attempts_left: MAX_ATTEMPTS,
      crashing,
      engine: None,
      fingerprint,
      is_probe: false,
      run: 0,
      segments,
      sent_ms: now_ms,
      caller_retries_left: MAX_CALLER_TRIES - 1,
      deadline_ms: now_ms + CALLER_TIMEOUT_MS,
    });
    self.requests.len() - 1
  }

  /// Sends a request to an engine unless it or one of its segments is quarantined at its box.
  fn send(&mut self, number: usize, now_ms: u64) {
    let request = self.requests[number].clone();
    let mut probes = Vec::new();
    for (fingerprint, verdict) in self.verdicts(&request, now_ms) {
      match verdict {
        QuarantineVerdict::Allowed => {}
        QuarantineVerdict::Probe { number } => probes.push((fingerprint, number)),
        QuarantineVerdict::Quarantined { retry_after_ms } => {
          return self.reject(number, retry_after_ms, now_ms);
        }
      }
    }
    // Quarantined between two attempts: the box does not retry.
    if !probes.is_empty() && request.attempts_left < MAX_ATTEMPTS {
      return self.retry_caller(number, CALLER_RETRY_MS, now_ms);
    }
    for (fingerprint, probe) in probes {
      if !self.claim_probe(&request, fingerprint, probe, now_ms) {
        return self.reject(number, 1_000, now_ms);
      }
      self.requests[number].is_probe = true;
    }
    let Some(engine) = self.choose_engine() else {
      return self.retry_caller(number, NO_ENGINE_RETRY_MS, now_ms);
    };
    self.start_run(number, engine, now_ms);
  }

  /// The fingerprints by which a request may be quarantined.
  fn fingerprints(&self, request: &Request, now_ms: u64) -> Vec<Fingerprint> {
    let mut fingerprints = vec![request.fingerprint];
    if self.way.marks_segments() {
      fingerprints.extend(self.suspected_segments(request, now_ms));
    }
    fingerprints
  }

  /// The segments of a request, without those that the way takes for sound.
  fn suspected_segments(&self, request: &Request, now_ms: u64) -> Vec<Fingerprint> {
    let is_suspected = |segment: &Fingerprint| {
      let is_sound = self.sound[request.at].contains(*segment, now_ms);
      !(is_sound && self.way.spares_sound_segments())
    };
    let segments = request.segments.iter().take(self.way.max_segments());
    segments.copied().filter(is_suspected).collect()
  }

  fn start_run(&mut self, number: usize, engine: usize, now_ms: u64) {
    self.engines[engine].running.push(number);
    let run_ms = self.random.random_range(RUN_MS.0..=RUN_MS.1);
    let request = &mut self.requests[number];
    request.attempts_left -= 1;
    request.run += 1;
    request.engine = Some(engine);
    request.sent_ms = now_ms;
    let run = request.run;
    let Some(body) = request.crashing else {
      let request = number;
      let answers = Event::RunAnswers { request, run };
      self.queue.put(now_ms + ANSWERED_MS, answers);
      let completes = Event::RunCompletes { request, run };
      return self.queue.put(now_ms + run_ms, completes);
    };
    let crashing = &mut self.crashing[body];
    let is_late = crashing
      .counted_crash_ms
      .is_some_and(|counted_ms| now_ms > counted_ms + CONTACT_MS);
    crashing.late += u32::from(is_late);
    let event = Event::RunCrashes {
      request: number,
      run,
    };
    self.queue.put(now_ms + CRASH_MS, event);
  }

  fn verdicts(&self, request: &Request, now_ms: u64) -> Vec<(Fingerprint, QuarantineVerdict)> {
    if self.strategy == QuarantineStrategy::Off {
      return Vec::new();
    }
    let fingerprints = self.fingerprints(request, now_ms);
    self.registries[request.at].verdicts(&fingerprints, now_ms)
  }

  /// Claims a probe for a box. Returns `false` if another has it or the store is unavailable.
  fn claim_probe(
    &mut self,
    request: &Request,
    fingerprint: Fingerprint,
    probe: u32,
    now_ms: u64,
  ) -> bool {
    let key = QuarantineKey {
      fingerprint,
      mark: QuarantineMark::Probe(probe),
    };
    self.registries[request.at].record(key, now_ms);
    if self.strategy == QuarantineStrategy::OwnBox {
      return true;
    }
    self.figures.store_calls += 1;
    if self.pattern.store_outage_end_ms(now_ms).is_some() || !self.stored.insert(key) {
      return false;
    }
    self.announce(request.at, key, 0, now_ms);
    true
  }

  fn reject(&mut self, number: usize, retry_after_ms: u64, now_ms: u64) {
    let is_innocent = self.requests[number].crashing.is_none();
    self.figures.innocent_held += u32::from(is_innocent);
    self.retry_caller(number, retry_after_ms, now_ms);
  }

  /// Schedules the caller's retry at a random box, if it has one left and its time suffices.
  fn retry_caller(&mut self, number: usize, delay_ms: u64, now_ms: u64) {
    let at = self.random.random_range(0..self.fleet.boxes);
    let request = &mut self.requests[number];
    let retry_at_ms = now_ms + delay_ms;
    if request.caller_retries_left == 0 || retry_at_ms >= request.deadline_ms {
      return;
    }
    request.caller_retries_left -= 1;
    request.attempts_left = MAX_ATTEMPTS;
    request.is_probe = false;
    request.at = at;
    self.queue.put(retry_at_ms, Event::Send { request: number });
  }

  /// The less loaded of two random engines that are up.
  fn choose_engine(&mut self) -> Option<usize> {
    let up: Vec<usize> = (0..self.fleet.engines)
      .filter(|engine| !self.engines[*engine].is_down)
      .collect();
    if up.is_empty() {
      return None;
    }
    let [one, other] = [(); 2].map(|()| up[self.random.random_range(0..up.len())]);
    let is_first_better = self.engines[one].running.len() <= self.engines[other].running.len();
    Some(if is_first_better { one } else { other })
  }

  fn complete_run(&mut self, number: usize, run: u64, now_ms: u64) {
    let request = self.requests[number].clone();
    if request.run != run {
      return;
    }
    self.leave_engine(number);
    self.figures.served += 1;
    self.lift(request.at, request.fingerprint, now_ms);
    self.record_answer(number, now_ms);
  }

  /// Records that an engine answered on the segments of a request.
  fn record_answer(&mut self, number: usize, now_ms: u64) {
    let request = self.requests[number].clone();
    for segment in request.segments.iter().copied() {
      self.sound[request.at].record(segment, now_ms);
      self.lift(request.at, segment, now_ms);
    }
  }

  /// Removes the marks of a request or a segment on which an engine answered.
  fn lift(&mut self, at: usize, fingerprint: Fingerprint, now_ms: u64) {
    let (crashes, probes) = self.registries[at].counts(fingerprint);
    if crashes >= 2 || probes > 0 {
      let cleared = self.registries[at].clear(fingerprint);
      self.announce_clear(at, fingerprint, &cleared, now_ms);
    }
  }

  fn leave_engine(&mut self, number: usize) {
    let request = &mut self.requests[number];
    if let Some(engine) = request.engine.take() {
      self.engines[engine]
        .running
        .retain(|other| *other != number);
    }
  }

  fn crash_run(&mut self, number: usize, run: u64, now_ms: u64) {
    let request = self.requests[number].clone();
    let (Some(engine), Some(body)) = (request.engine, request.crashing) else {
      return;
    };
    if request.run != run {
      return;
    }
    self.figures.ended += 1;
    let crashing = &mut self.crashing[body];
    crashing.crashes += 1;
    if crashing.crashes == self.pattern.counted_crashes() {
      crashing.counted_crash_ms = Some(now_ms);
    }
    self.crash_engine(engine, now_ms);
  }

  /// Crashes an engine with all requests that run on it. Each of them gets a mark, as the box can't tell which one was the
  /// cause.
  fn crash_engine(&mut self, engine: usize, now_ms: u64) {
    if self.engines[engine].is_down {
      return;
    }
    let incarnation = self.engines[engine].incarnation(engine);
    self.engines[engine].is_down = true;
    let event = Event::EngineRestarted { engine };
    self.queue.put(now_ms + RESTART_MS, event);
    let running = std::mem::take(&mut self.engines[engine].running);
    for number in running {
      self.requests[number].engine = None;
      self.requests[number].run += 1;
      let request = self.requests[number].clone();
      let key = QuarantineKey {
        fingerprint: request.fingerprint,
        mark: QuarantineMark::Crashed(incarnation),
      };
      self.record_crash(request.at, key, false, now_ms);
      let is_beginning = now_ms < request.sent_ms + ANSWERED_MS;
      if is_beginning && self.way.marks_segments() {
        for fingerprint in self.suspected_segments(&request, now_ms) {
          let key = QuarantineKey { fingerprint, ..key };
          self.record_crash(request.at, key, true, now_ms);
        }
      }
      let may_retry = !(is_beginning && self.way == CrashWay::SharedWithoutRetry);
      if request.attempts_left > 0 && !request.is_probe && may_retry {
        self
          .queue
          .put(now_ms + BOX_RETRY_MS, Event::Send { request: number });
      } else {
        self.retry_caller(number, CALLER_RETRY_MS, now_ms);
      }
    }
  }

  pub(super) fn record_registry_size(&mut self, at: usize) {
    self.figures.largest_book = self.figures.largest_book.max(self.registries[at].len());
  }

  fn into_figures(mut self) -> CrashFigures {
    let late = self.crashing.iter().map(|crashing| crashing.late);
    self.figures.most_late = late.max().unwrap_or(0);
    self.figures
  }
}
