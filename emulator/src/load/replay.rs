//! The replay: boxes that choose by the gateway's own book of endpoints, and engines with seats.

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
    },
    ids::Name,
  },
};

/// Boxes, engines that write answers, and halls of the users' site of hundreds of machines.
const BOXES: usize = 195;
const ENGINES: usize = 93;
const HALLS: usize = 5;
/// Streams that one engine writes at once, bounded by its memory.
const SEATS: u32 = 9;
/// Requests a second, over all boxes.
const REQUESTS_PER_S: f64 = 115.0;
/// From a request's arrival at an engine to its first event.
const HEAD_MS: u64 = 100;
/// How long a stream holds its seat on the mean.
const STREAM_MS: f64 = 3_300.0;
/// A refusal.
const REFUSAL_MS: u64 = 2;
/// How long a connection to an engine that is out of reach is waited for.
const CONNECT_MS: u64 = 150;
/// Sends of a request that may be lost, and those that may be refused or not arrive.
const MOST_LOSSES: u32 = 2;
const MOST_REFUSALS: u32 = 4;
/// Tokens of a prompt: the size of a request at an engine.
const PROMPT_TOKENS: u64 = 5_000;
/// Ports of the engines begin here; an address leads back to its engine's number.
const FIRST_PORT: u16 = 1_000;

/// What happens at a moment.
enum Event {
  /// A request comes to a box.
  Arrives,
  /// A request is sent to an engine that its box chooses now.
  Send(Request),
  /// A send comes to its end at the box.
  Ends {
    request: Request,
    engine: usize,
    end: AttemptOutcome,
  },
  /// A stream is whole.
  StreamEnds { at_box: usize, engine: usize },
  /// All boxes start anew.
  BoxesStart,
}

/// A request on its way.
struct Request {
  at_box: usize,
  tried: Vec<Name>,
  losses: u32,
  refusals: u32,
  /// Whether it came in the time that is counted.
  counts: bool,
}

struct Replay {
  pattern: Pattern,
  variant: Variant,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  books: Vec<EndpointRegistry>,
  /// Streams at each engine.
  running: Vec<u32>,
  figures: Figures,
}

/// Plays a pattern with a seed.
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
    books: new_books(),
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
  replay.queue.put(0, Event::Arrives);
  if let Some(at_ms) = pattern.boxes_start_ms() {
    replay.queue.put(at_ms, Event::BoxesStart);
  }
  while let Some((now_ms, event)) = replay.queue.next() {
    if now_ms >= pattern.ends_ms() {
      break;
    }
    replay.handle(now_ms, event);
  }
  replay.figures
}

/// The hall of a box or an engine.
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
    slots: SEATS,
    service: "llm".into(),
  }
}

/// The book of each box, with all engines in it.
fn new_books() -> Vec<EndpointRegistry> {
  let book = |_| {
    let mut book = EndpointRegistry::default();
    (0..ENGINES).for_each(|engine| book.put(entry(engine)));
    book
  };
  (0..BOXES).map(book).collect()
}

impl Replay {
  fn handle(&mut self, now_ms: u64, event: Event) {
    match event {
      Event::Arrives => self.arrive(now_ms),
      Event::Send(request) => self.send(now_ms, request),
      Event::Ends {
        request,
        engine,
        end,
      } => self.end(now_ms, request, engine, end),
      Event::StreamEnds { at_box, engine } => {
        self.running[engine] -= 1;
        let end = AttemptOutcome::Answered { took_ms: HEAD_MS };
        self.book_end(now_ms, at_box, engine, end);
      }
      Event::BoxesStart => self.books = new_books(),
    }
  }

  /// A request comes, and the next one is drawn.
  fn arrive(&mut self, now_ms: u64) {
    let counts = self.pattern.counts(now_ms);
    self.figures.asked += u32::from(counts);
    let request = Request {
      at_box: self.random.random_range(0..BOXES),
      counts,
      losses: 0,
      refusals: 0,
      tried: Vec::new(),
    };
    self.send(now_ms, request);
    let mean_ms = 1_000.0 / (REQUESTS_PER_S * self.pattern.load(now_ms));
    let pause_ms = self.exponential(mean_ms);
    self.queue.put(now_ms + pause_ms, Event::Arrives);
  }

  /// A time of a mean; the clock counts whole milliseconds.
  fn exponential(&mut self, mean_ms: f64) -> u64 {
    let draw: f64 = self.random.random();
    (-(1.0 - draw).ln() * mean_ms).round() as u64
  }

  /// Sends a request to the engine that its box chooses.
  fn send(&mut self, now_ms: u64, mut request: Request) {
    let hall = hall_name(request.at_box);
    let random = &mut self.random;
    let book = &mut self.books[request.at_box];
    let wanted = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: &hall,
      is_retryable: true,
      role: Some(Role::Decode),
      service: "llm",
      size: PROMPT_TOKENS,
      tried: &request.tried,
    };
    let Some(choice) = book.choose(wanted, now_ms, || random.random()) else {
      return;
    };
    book.record_send(&choice.entry.id, PROMPT_TOKENS);
    let engine = usize::from(choice.entry.address.port() - FIRST_PORT);
    self.figures.sends[engine] += u32::from(request.counts);
    let (end, took_ms) = self.fate(now_ms, request.at_box, engine);
    request.tried.push(choice.entry.id);
    let event = Event::Ends {
      end,
      engine,
      request,
    };
    self.queue.put(now_ms + took_ms, event);
  }

  /// What an engine does with a send, and how long that takes.
  fn fate(&mut self, now_ms: u64, at_box: usize, engine: usize) -> (AttemptOutcome, u64) {
    let (from, to) = (hall_of(at_box), hall_of(engine));
    let state = self.pattern.engine(engine, now_ms);
    if state == EngineState::Gone || !self.pattern.are_connected(from, to, now_ms) {
      return (AttemptOutcome::Unreachable, CONNECT_MS);
    }
    if self.running[engine] >= SEATS {
      return (AttemptOutcome::Full, REFUSAL_MS);
    }
    match state {
      EngineState::Loses(share) if self.random.random::<f64>() < share => {
        (AttemptOutcome::Lost, HEAD_MS)
      }
      _ => {
        self.running[engine] += 1;
        (AttemptOutcome::Answered { took_ms: HEAD_MS }, HEAD_MS)
      }
    }
  }

  /// A send has ended: the stream runs, or another engine is tried.
  fn end(&mut self, now_ms: u64, mut request: Request, engine: usize, end: AttemptOutcome) {
    let counted = u32::from(request.counts);
    match end {
      AttemptOutcome::Answered { .. } => return self.stream(now_ms, &request, engine),
      AttemptOutcome::Full => {
        self.figures.refused_sends += counted;
        request.refusals += 1;
      }
      AttemptOutcome::Unreachable => {
        self.figures.unreached_sends += counted;
        request.refusals += 1;
      }
      AttemptOutcome::Cancelled | AttemptOutcome::Failed | AttemptOutcome::Lost => {
        self.figures.lost_sends += counted;
        request.losses += 1;
      }
    }
    self.book_end(now_ms, request.at_box, engine, end);
    if request.losses < MOST_LOSSES && request.refusals < MOST_REFUSALS {
      self.queue.put(now_ms, Event::Send(request));
    }
  }

  /// The engine streams, and has told its load.
  fn stream(&mut self, now_ms: u64, request: &Request, engine: usize) {
    self.figures.served += u32::from(request.counts);
    let at_box = request.at_box;
    if self.variant.heeds_told_load {
      let load = LoadHeader {
        running: self.running[engine],
        slots: SEATS,
        waiting: 0,
      };
      self.books[at_box].record_load(&engine_name(engine), load, now_ms);
    }
    let stream_ms = self.exponential(STREAM_MS);
    let event = Event::StreamEnds { at_box, engine };
    self.queue.put(now_ms + stream_ms, event);
  }

  /// The box's book learns how a send ended, as far as the variant heeds it.
  fn book_end(&mut self, now_ms: u64, at_box: usize, engine: usize, end: AttemptOutcome) {
    let noted = match end {
      AttemptOutcome::Lost | AttemptOutcome::Unreachable if !self.variant.heeds_losses => {
        AttemptOutcome::Cancelled
      }
      AttemptOutcome::Unreachable if !self.variant.notices_cut_halls => AttemptOutcome::Lost,
      end => end,
    };
    let book = &mut self.books[at_box];
    book.record_outcome(&engine_name(engine), PROMPT_TOKENS, 1, noted, now_ms);
  }
}
