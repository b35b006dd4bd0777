//! The replay: boxes that decide by the gateway's own book, and marks that take their time.

use {
  super::{
    engine::Engine,
    event::Event,
    figures::CrashFigures,
    fleet::CrashFleet,
    pattern::{CrashPattern, ENDS_MS},
    request::Request,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    Fingerprint, QuarantineKey, QuarantineMark, QuarantineRegistry, QuarantineStrategy,
    QuarantineVerdict, RequestIdentity,
  },
  std::collections::{BTreeSet, HashSet},
};

/// How long an engine is down.
const DOWN_MS: u64 = 3_000;
/// When a crashing run ends its engine.
const CRASH_MS: u64 = 80;
/// How long a stream runs.
const RUN_MS: (u64, u64) = (2_000, 8_000);
/// How long a caller waits in all, and how soon it comes again after a broken answer.
const PATIENCE_MS: u64 = 14_000;
const RETURN_MS: u64 = 300;
/// Pause before a caller comes again when no engine is up.
const NO_ENGINE_MS: u64 = 1_000;
/// Engines that one try may be sent to, and tries that a caller has.
const ATTEMPTS: u32 = 2;
const TRIES: u32 = 2;
/// A crashing body comes again after this, at the mean.
const CRASHING_PAUSE_MS: f64 = 400.0;
/// The way from one engine to the next.
const NEXT_MS: u64 = 5;
/// The users' bound on what boxes know of each other.
const CONTACT_MS: u64 = 3_000;
/// Ends after which runs are late.
const ENDS: usize = 3;

/// What one crashing body did.
#[derive(Clone, Copy, Debug, Default)]
struct Crashing {
  ends: usize,
  third_ms: Option<u64>,
  late: u32,
}

pub(super) struct CrashReplay {
  pub(super) pattern: CrashPattern,
  pub(super) fleet: CrashFleet,
  pub(super) way: QuarantineStrategy,
  random: ChaCha8Rng,
  /// Draws how long words take: ways that tell more change nothing else.
  pub(super) words: ChaCha8Rng,
  pub(super) queue: Queue<Event>,
  engines: Vec<Engine>,
  pub(super) books: Vec<QuarantineRegistry>,
  /// What the store has.
  pub(super) stored: BTreeSet<QuarantineKey>,
  requests: Vec<Request>,
  crashing: Vec<Crashing>,
  /// Store calls are counted once for each box and moment.
  pub(super) written: HashSet<(usize, u64)>,
  bodies: u64,
  pub(super) figures: CrashFigures,
}

/// Plays a pattern with a seed.
pub fn replay_crashes(
  pattern: CrashPattern,
  fleet: CrashFleet,
  way: QuarantineStrategy,
  seed: u64,
) -> CrashFigures {
  let mut replay = CrashReplay {
    bodies: 0,
    books: vec![QuarantineRegistry::default(); fleet.boxes],
    crashing: Vec::new(),
    engines: vec![Engine::default(); fleet.engines],
    figures: CrashFigures::default(),
    fleet,
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    requests: Vec::new(),
    stored: BTreeSet::new(),
    way,
    words: ChaCha8Rng::seed_from_u64(!seed),
    written: HashSet::new(),
  };
  replay.begin();
  while let Some((now_ms, event)) = replay.queue.next() {
    if now_ms >= ENDS_MS {
      break;
    }
    replay.happen(event, now_ms);
  }
  replay.end()
}

/// The fingerprint of a body.
fn fingerprint(kind: &str, body: u64) -> Fingerprint {
  Fingerprint::of(RequestIdentity {
    body: body.to_string().as_bytes(),
    host: "lectures.example",
    method: "POST",
    organisation: None,
    path: kind,
  })
}

impl CrashReplay {
  fn begin(&mut self) {
    self.queue.put(0, Event::Arrives);
    for body in 0..self.pattern.bodies() {
      self.begin_body(body, 3_000);
    }
    if let Some(pause_ms) = self.pattern.new_body_ms() {
      self.queue.put(pause_ms, Event::NewBody { body: 0 });
    }
    for at_ms in self.pattern.racks() {
      self.queue.put(*at_ms, Event::RackGoes);
    }
    if let Some(at_ms) = self.pattern.all_new_ms() {
      self.queue.put(at_ms, Event::AllNew);
    }
  }

  fn begin_body(&mut self, body: u64, at_ms: u64) {
    self.crashing.push(Crashing::default());
    let left = self.pattern.repeats();
    self.queue.put(at_ms, Event::Crashing { body, left });
  }

  fn happen(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::Arrives => self.arrive(now_ms),
      Event::Crashing { body, left } => self.arrive_crashing(body, left, now_ms),
      Event::NewBody { body } => {
        self.begin_body(body, now_ms);
        let pause_ms = self.pattern.new_body_ms().unwrap_or(ENDS_MS);
        self
          .queue
          .put(now_ms + pause_ms, Event::NewBody { body: body + 1 });
      }
      Event::Sent { request } => self.send(request, now_ms),
      Event::RunEnds { request, run } => self.run_ends(request, run, now_ms),
      Event::RunCrashes { request, run } => self.run_crashes(request, run, now_ms),
      Event::EngineBack { engine } => {
        self.engines[engine].is_down = false;
        self.engines[engine].born += 1;
      }
      Event::RackGoes => {
        for engine in (0..self.fleet.engines).step_by(3) {
          self.engine_ends(engine, now_ms);
        }
      }
      Event::Hears { at, key } => {
        self.books[at].record(key, now_ms);
        self.note_book(at);
      }
      Event::HearsClear { at, fingerprint } => drop(self.books[at].clear(fingerprint)),
      Event::AllNew => {
        for book in &mut self.books {
          *book = QuarantineRegistry::default();
          for key in &self.stored {
            book.record(*key, now_ms);
          }
        }
      }
    }
  }

  fn arrive(&mut self, now_ms: u64) {
    self.figures.innocent += 1;
    self.bodies += 1;
    let body = match self.pattern.popular_bodies() {
      Some(bodies) => self.random.random_range(0..bodies),
      None => self.bodies,
    };
    let request = self.new_request(fingerprint("/innocent", body), None, now_ms);
    self.queue.put(now_ms, Event::Sent { request });
    let draw: f64 = self.random.random();
    let pause_ms = -(1.0 - draw).ln() * 1_000.0 / self.fleet.streams_per_s();
    self.queue.put(now_ms + pause_ms as u64 + 1, Event::Arrives);
  }

  fn arrive_crashing(&mut self, body: u64, left: u32, now_ms: u64) {
    let number = usize::try_from(body).unwrap_or(0);
    let request = self.new_request(fingerprint("/crashing", body), Some(number), now_ms);
    // It is its caller's next try that comes again here.
    self.requests[request].tries_left = 0;
    self.queue.put(now_ms, Event::Sent { request });
    if left > 1 {
      let draw: f64 = self.random.random();
      let pause_ms = (-(1.0 - draw).ln() * CRASHING_PAUSE_MS) as u64 + 1;
      let left = left - 1;
      self
        .queue
        .put(now_ms + pause_ms, Event::Crashing { body, left });
    }
  }

  fn new_request(
    &mut self,
    fingerprint: Fingerprint,
    crashing: Option<usize>,
    now_ms: u64,
  ) -> usize {
    self.requests.push(Request {
      at: self.random.random_range(0..self.fleet.boxes),
      attempts_left: ATTEMPTS,
      crashing,
      engine: None,
      fingerprint,
      is_probe: false,
      run: 0,
      tries_left: TRIES - 1,
      until_ms: now_ms + PATIENCE_MS,
    });
    self.requests.len() - 1
  }

  /// Sends a request to an engine, if its box lets it.
  fn send(&mut self, number: usize, now_ms: u64) {
    let request = self.requests[number];
    match self.verdict(&request, now_ms) {
      QuarantineVerdict::Allowed => {}
      QuarantineVerdict::Probe { number: trial } if request.attempts_left == ATTEMPTS => {
        if !self.take_trial(&request, trial, now_ms) {
          return self.held(number, 1_000, now_ms);
        }
        self.requests[number].is_probe = true;
      }
      // Held between two engines: the try is over.
      QuarantineVerdict::Probe { .. } => return self.comes_again(number, RETURN_MS, now_ms),
      QuarantineVerdict::Quarantined { retry_after_ms } => {
        return self.held(number, retry_after_ms, now_ms);
      }
    }
    let Some(engine) = self.choose() else {
      return self.comes_again(number, NO_ENGINE_MS, now_ms);
    };
    self.run_at(number, engine, now_ms);
  }

  fn run_at(&mut self, number: usize, engine: usize, now_ms: u64) {
    self.engines[engine].runs.push(number);
    let random_ms = self.random.random_range(RUN_MS.0..=RUN_MS.1);
    let request = &mut self.requests[number];
    request.attempts_left -= 1;
    request.run += 1;
    request.engine = Some(engine);
    let run = request.run;
    let Some(body) = request.crashing else {
      let ends = Event::RunEnds {
        request: number,
        run,
      };
      return self.queue.put(now_ms + random_ms, ends);
    };
    let crashing = &mut self.crashing[body];
    let is_late = crashing
      .third_ms
      .is_some_and(|third_ms| now_ms > third_ms + CONTACT_MS);
    crashing.late += u32::from(is_late);
    let crashes = Event::RunCrashes {
      request: number,
      run,
    };
    self.queue.put(now_ms + CRASH_MS, crashes);
  }

  fn verdict(&self, request: &Request, now_ms: u64) -> QuarantineVerdict {
    if self.way == QuarantineStrategy::Off {
      return QuarantineVerdict::Allowed;
    }
    self.books[request.at].verdict(request.fingerprint, now_ms)
  }

  /// Takes a trial for a box, unless another has it.
  fn take_trial(&mut self, request: &Request, trial: u32, now_ms: u64) -> bool {
    let key = QuarantineKey {
      fingerprint: request.fingerprint,
      mark: QuarantineMark::Probe(trial),
    };
    self.books[request.at].record(key, now_ms);
    if self.way == QuarantineStrategy::OwnBox {
      return true;
    }
    self.figures.store_calls += 1;
    if self.pattern.store_back_ms(now_ms).is_some() || !self.stored.insert(key) {
      return false;
    }
    self.tell(request.at, key, 0, now_ms);
    true
  }

  fn held(&mut self, number: usize, retry_after_ms: u64, now_ms: u64) {
    let is_innocent = self.requests[number].crashing.is_none();
    self.figures.innocent_held += u32::from(is_innocent);
    self.comes_again(number, retry_after_ms, now_ms);
  }

  /// A caller comes again at any box, if it has the patience.
  fn comes_again(&mut self, number: usize, pause_ms: u64, now_ms: u64) {
    let at = self.random.random_range(0..self.fleet.boxes);
    let request = &mut self.requests[number];
    let again_ms = now_ms + pause_ms;
    if request.tries_left == 0 || again_ms >= request.until_ms {
      return;
    }
    request.tries_left -= 1;
    request.attempts_left = ATTEMPTS;
    request.is_probe = false;
    request.at = at;
    self.queue.put(again_ms, Event::Sent { request: number });
  }

  /// The better of two engines that are up.
  fn choose(&mut self) -> Option<usize> {
    let up: Vec<usize> = (0..self.fleet.engines)
      .filter(|engine| !self.engines[*engine].is_down)
      .collect();
    if up.is_empty() {
      return None;
    }
    let [one, other] = [(); 2].map(|()| up[self.random.random_range(0..up.len())]);
    let is_better = self.engines[one].runs.len() <= self.engines[other].runs.len();
    Some(if is_better { one } else { other })
  }

  fn run_ends(&mut self, number: usize, run: u64, now_ms: u64) {
    let request = self.requests[number];
    if request.run != run {
      return;
    }
    self.leave_engine(number);
    self.figures.served += 1;
    let (ended, trials) = self.books[request.at].counts(request.fingerprint);
    if ended >= 2 || trials > 0 {
      let cleared = self.books[request.at].clear(request.fingerprint);
      self.tell_clear(request.at, request.fingerprint, &cleared, now_ms);
    }
  }

  fn leave_engine(&mut self, number: usize) {
    let request = &mut self.requests[number];
    if let Some(engine) = request.engine.take() {
      self.engines[engine].runs.retain(|other| *other != number);
    }
  }

  fn run_crashes(&mut self, number: usize, run: u64, now_ms: u64) {
    let request = self.requests[number];
    let (Some(engine), Some(body)) = (request.engine, request.crashing) else {
      return;
    };
    if request.run != run {
      return;
    }
    self.figures.ended += 1;
    let crashing = &mut self.crashing[body];
    crashing.ends += 1;
    if crashing.ends == ENDS {
      crashing.third_ms = Some(now_ms);
    }
    self.engine_ends(engine, now_ms);
  }

  /// An engine ends with all that runs on it.
  fn engine_ends(&mut self, engine: usize, now_ms: u64) {
    if self.engines[engine].is_down {
      return;
    }
    let life = self.engines[engine].life(engine);
    self.engines[engine].is_down = true;
    let back = Event::EngineBack { engine };
    self.queue.put(now_ms + DOWN_MS, back);
    let runs = std::mem::take(&mut self.engines[engine].runs);
    for number in runs {
      self.requests[number].engine = None;
      self.requests[number].run += 1;
      let request = self.requests[number];
      let key = QuarantineKey {
        fingerprint: request.fingerprint,
        mark: QuarantineMark::Crashed(life),
      };
      self.note_end(request.at, key, now_ms);
      if request.attempts_left > 0 && !request.is_probe {
        self
          .queue
          .put(now_ms + NEXT_MS, Event::Sent { request: number });
      } else {
        self.comes_again(number, RETURN_MS, now_ms);
      }
    }
  }

  pub(super) fn note_book(&mut self, at: usize) {
    self.figures.largest_book = self.figures.largest_book.max(self.books[at].len());
  }

  fn end(mut self) -> CrashFigures {
    let late = self.crashing.iter().map(|crashing| crashing.late);
    self.figures.most_late = late.max().unwrap_or(0);
    self.figures
  }
}
