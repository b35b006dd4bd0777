//! A stand-in of a model server: reservations, prefills, streams and reports, as the pages describe them.

use {
  super::{
    http::{Next, Request, Server, serve_until_end, write_json},
    record::{Record, lock},
  },
  std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
  },
};

/// Slots of an engine, as its service's configuration says.
pub const SLOTS: u32 = 128;
/// Round trip between a box and an engine of another zone: 1.4 ms one way.
const ROUND_TRIP: Duration = Duration::from_micros(2_800);
/// Duration of a separate prefill.
const PREFILL_DURATION: Duration = Duration::from_millis(8);
/// Duration of a prefill by a decode engine.
const LOCAL_PREFILL_DURATION: Duration = Duration::from_millis(25);
/// Interval of checks whether a silent engine goes on.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Duration of a change of the stage.
const SWITCH_DURATION: Duration = Duration::from_millis(6_000);

/// The part that an engine plays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
  Prefill,
  Decode,
}

impl Stage {
  fn name(self) -> &'static str {
    match self {
      Self::Prefill => "prefill",
      Self::Decode => "decode",
    }
  }
}

/// What identifies an engine.
#[derive(Clone, Debug)]
pub struct EngineIdentity {
  pub id: String,
  pub service: String,
  pub zone: String,
  /// The version of its software.
  pub version: String,
  pub stage: Stage,
}

/// How long streams last.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
  pub events: u64,
  pub interval: Duration,
}

/// How a run at an engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
  /// The engine sent its last event.
  Complete,
  /// The channel was closed while the engine was at work.
  ChannelClosed,
  /// The engine failed the request.
  Failed,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
  pub request: String,
  pub engine: String,
  pub end: Option<(RunEnd, u64)>,
}

/// The runs at all engines.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Default)]
struct State {
  running: u32,
  /// Reservations, with their ends.
  holds: HashMap<String, Instant>,
  /// Prompts that were read apart, by their handles.
  exports: HashMap<String, String>,
  stage: Option<Stage>,
  switches: Option<(Stage, Instant)>,
  orders: u64,
}

impl State {
  fn has_free_slot(&mut self) -> bool {
    let now = Instant::now();
    self.holds.retain(|_, until| *until > now);
    self.running + (self.holds.len() as u32) < SLOTS
  }

  /// The current stage; a change that is due takes effect first.
  fn stage(&mut self) -> Option<Stage> {
    if let Some((stage, at)) = self.switches
      && at <= Instant::now()
    {
      self.stage = Some(stage);
      self.switches = None;
    }
    self.stage
  }
}

/// Failures of an engine that hangs: a share of its requests gets the head of an error response and the start of its body.
#[derive(Clone, Copy, Debug)]
pub struct Hanging {
  /// Of ten requests.
  pub of_ten: u64,
}

/// A running engine.
pub struct Engine {
  pub identity: EngineIdentity,
  pub address: SocketAddr,
  born_ms: u64,
  started: Instant,
  pub pace: Pace,
  record: Arc<Record>,
  runs: Runs,
  state: Mutex<State>,
  silent_until: Mutex<Option<Instant>>,
  hanging: Mutex<Option<Hanging>>,
  counter: AtomicU64,
  is_leaving: AtomicBool,
  server: Server,
}

impl Engine {
  /// Starts an engine.
  pub fn start(
    identity: EngineIdentity,
    listener: TcpListener,
    pace: Pace,
    runs: &Runs,
    record: &Arc<Record>,
  ) -> io::Result<Arc<Self>> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let engine = Arc::new(Self {
      address: listener.local_addr()?,
      born_ms: born.map_or(0, |born| born.as_millis() as u64),
      counter: AtomicU64::new(0),
      hanging: Mutex::default(),
      is_leaving: AtomicBool::new(false),
      pace,
      record: record.clone(),
      runs: runs.clone(),
      server: Server::default(),
      silent_until: Mutex::default(),
      started: Instant::now(),
      state: Mutex::new(State {
        stage: Some(identity.stage),
        ..State::default()
      }),
      identity,
    });
    let handling = engine.clone();
    serve_until_end(
      listener,
      Arc::new(move |request: Request, stream: &mut TcpStream| handling.handle(&request, stream)),
      &engine.server,
    )?;
    Ok(engine)
  }

  /// Crashes: its channels are closed, and new ones are refused.
  pub fn crash(&self) {
    self.record.line(&format!("{}: crashes", self.identity.id));
    self.server.end();
  }

  /// The key of its entry in the store.
  pub fn key(&self) -> String {
    format!("servers/{}", self.identity.id)
  }

  /// Its entry in the store.
  pub fn entry(&self) -> String {
    let EngineIdentity {
      service,
      version,
      zone,
      ..
    } = &self.identity;
    let mut state = lock(&self.state);
    let stage = state.stage().unwrap_or(self.identity.stage).name();
    format!(
      "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{SLOTS},\
       \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
       \"adapters\":[]}}],\"callSeq\":{},\"born\":{}}}",
      self.address, state.orders, self.born_ms
    )
  }

  /// Sends nothing for a while, and then goes on.
  pub fn fall_silent(&self, time: Duration) {
    *lock(&self.silent_until) = Some(Instant::now() + time);
  }

  /// Fails a share of the requests from now on, or none.
  pub fn set_hanging(&self, hanging: Option<Hanging>) {
    *lock(&self.hanging) = hanging;
  }

  /// Waits for the next step of the batch: all running requests get their tokens at the same time.
  fn wait_for_step(&self) {
    let interval = self.pace.interval.as_micros();
    let into_step = self.started.elapsed().as_micros() % interval;
    sleep(Duration::from_micros((interval - into_step) as u64));
  }

  fn wait_while_silent(&self) {
    while lock(&self.silent_until).is_some_and(|until| Instant::now() < until) {
      sleep(SILENCE_CHECK_INTERVAL);
    }
  }

  fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    sleep(ROUND_TRIP);
    self.wait_while_silent();
    let id = request
      .headers
      .get("x-request-id")
      .unwrap_or_default()
      .to_owned();
    let expected = request.headers.get("x-expect-instance");
    if expected.is_some_and(|expected| expected != self.identity.id) {
      let headers = format!(
        "X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n",
        self.identity.id
      );
      return write_json(stream, 421, &headers, "{}");
    }
    let path = request.path();
    match (request.method.as_str(), path) {
      ("POST", "/hold-take") => self.reserve(stream),
      ("POST", "/order") => self.order(request, stream),
      ("GET", "/report") => write_json(stream, 200, &self.load(), &self.report()),
      ("GET", "/kv-list") => {
        let body = "{\"epoch\":1,\"nextPageToken\":0,\"held\":[]}";
        write_json(stream, 200, &self.load(), body)
      }
      ("GET", "/health") => {
        let headers = format!("X-Instance-Id: {}\r\n{}", self.identity.id, self.load());
        write_json(stream, 200, &headers, "{}")
      }
      ("DELETE", _) => {
        self.release(path);
        write_json(stream, 200, &self.load(), "{}")
      }
      _ if request.headers.get("x-serving-stage") == Some("prefill") => self.prefill(&id, stream),
      _ => self.decode(&id, request, stream),
    }
  }

  /// States in all further answers that the engine leaves.
  pub fn leave(&self) {
    self.is_leaving.store(true, Ordering::Relaxed);
  }

  /// The headers that stand in all answers.
  fn load(&self) -> String {
    let leaving = match self.is_leaving.load(Ordering::Relaxed) {
      true => "Server-Leaving: 1\r\n",
      false => "",
    };
    let running = lock(&self.state).running;
    format!("X-Server-Load: {running},0,{SLOTS}\r\n{leaving}")
  }

  fn not_run(&self, id: &str, status: u16, stream: &mut TcpStream) -> io::Result<Next> {
    let headers = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n{}", self.load());
    write_json(stream, status, &headers, "{}")
  }

  fn reserve(&self, stream: &mut TcpStream) -> io::Result<Next> {
    let number = self.counter.fetch_add(1, Ordering::Relaxed);
    let hold = format!("h{number}");
    {
      let mut state = lock(&self.state);
      if state.stage() != Some(Stage::Decode) || !state.has_free_slot() {
        drop(state);
        return write_json(stream, 503, &self.load(), "{}");
      }
      let until = Instant::now() + Duration::from_millis(1_500);
      state.holds.insert(hold.clone(), until);
    }
    write_json(
      stream,
      200,
      &self.load(),
      &format!("{{\"hold\":\"{hold}\"}}"),
    )
  }

  fn release(&self, path: &str) {
    let mut state = lock(&self.state);
    if let Some(hold) = path.strip_prefix("/hold-drop/") {
      state.holds.remove(hold);
    }
    if let Some(handle) = path.strip_prefix("/kv-handle/") {
      state.exports.remove(handle);
    }
  }

  fn report(&self) -> String {
    let mut state = lock(&self.state);
    let stage = state.stage().unwrap_or(self.identity.stage).name();
    format!(
      "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"utilization\":{},\
       \"callSeq\":{},\"queued\":0,\"inFlight\":{},\"kvUsed\":0,\"kvTotal\":200000,\"handles\":{},\"born\":{}}}",
      state.switches.is_some(),
      state.orders,
      state.running,
      state.exports.len(),
      self.born_ms
    )
  }

  fn order(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    let text = request.text();
    let to = if text.contains("\"stage\":\"prefill\"") {
      Stage::Prefill
    } else {
      Stage::Decode
    };
    self
      .record
      .line(&format!("{}: order {text}", self.identity.id));
    let status = {
      let mut state = lock(&self.state);
      if state.switches.is_some() {
        409
      } else if state.stage() == Some(to) {
        200
      } else {
        state.orders += 1;
        state.switches = Some((to, Instant::now() + SWITCH_DURATION));
        202
      }
    };
    write_json(stream, status, &self.load(), "{}")
  }

  fn prefill(&self, id: &str, stream: &mut TcpStream) -> io::Result<Next> {
    if lock(&self.state).stage() != Some(Stage::Prefill) {
      return self.not_run(id, 421, stream);
    }
    sleep(PREFILL_DURATION);
    let number = self.counter.fetch_add(1, Ordering::Relaxed);
    let handle = format!("{}-{number}", self.identity.id);
    lock(&self.state).exports.insert(handle.clone(), id.into());
    let headers = format!("X-Request-Id: {id}\r\n{}", self.load());
    let body = format!("{{\"promptHandle\":\"{handle}\",\"tokens\":1460,\"version\":1}}");
    write_json(stream, 200, &headers, &body)
  }

  fn decode(&self, id: &str, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    {
      let mut state = lock(&self.state);
      if state.stage() != Some(Stage::Decode) || state.switches.is_some() {
        drop(state);
        return self.not_run(id, 421, stream);
      }
      let hold = request.headers.get("x-hold");
      let is_reserved = hold.is_some_and(|hold| state.holds.remove(hold).is_some());
      if !is_reserved && !state.has_free_slot() {
        drop(state);
        return self.not_run(id, 503, stream);
      }
      state.running += 1;
    }
    let run = self.begin_run(id, request);
    let result = self.run(id, request, stream);
    lock(&self.state).running -= 1;
    let end = match &result {
      Ok(end) => *end,
      Err(_) => RunEnd::ChannelClosed,
    };
    self.end_run(run, end);
    match result? {
      RunEnd::Complete => Ok(Next::KeepAlive),
      RunEnd::Failed | RunEnd::ChannelClosed => Ok(Next::Close),
    }
  }

  fn begin_run(&self, id: &str, request: &Request) -> usize {
    let last = request.headers.get("last-event-id").unwrap_or("-");
    let resumes = request.headers.get("resumes").unwrap_or("-");
    let EngineIdentity {
      id: engine,
      version,
      ..
    } = &self.identity;
    self.record.line(&format!(
      "{engine} (version {version}): runs {id}, last event {last}, resumes {resumes}"
    ));
    let mut runs = lock(&self.runs);
    runs.push(Run {
      end: None,
      engine: engine.clone(),
      request: id.into(),
    });
    runs.len() - 1
  }

  fn end_run(&self, run: usize, end: RunEnd) {
    let mut runs = lock(&self.runs);
    let run = &mut runs[run];
    run.end = Some((end, self.record.now_ms()));
    self
      .record
      .line(&format!("{}: {} ends: {end:?}", run.engine, run.request));
  }

  fn run(&self, id: &str, request: &Request, stream: &mut TcpStream) -> io::Result<RunEnd> {
    let source = request.headers.get("x-kv-source");
    let handle = source.and_then(|source| source.split('/').nth(1));
    if handle.is_none() {
      sleep(LOCAL_PREFILL_DURATION);
    }
    let number = self.counter.fetch_add(1, Ordering::Relaxed);
    let hanging = *lock(&self.hanging);
    if hanging.is_some_and(|hanging| number % 10 < hanging.of_ten) {
      return self.hang(id, stream);
    }
    let EngineIdentity {
      id: engine,
      version,
      ..
    } = &self.identity;
    let head = format!(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
       X-Response-Seal: {engine}.{number}\r\n{}\r\n",
      self.load()
    );
    stream.write_all(head.as_bytes())?;
    let last = request.headers.get("last-event-id");
    let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
    for event in last + 1..=self.pace.events {
      self.wait_for_step();
      self.wait_while_silent();
      let text = format!("id: {event}\ndata: {engine} {version}\n\n");
      let chunk = format!("{:x}\r\n{text}\r\n", text.len());
      stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(RunEnd::Complete)
  }

  /// Fails a request: sends the head of an error response and the start of its body, and then nothing.
  fn hang(&self, id: &str, stream: &mut TcpStream) -> io::Result<RunEnd> {
    let head = format!(
      "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 64\r\nX-Request-Id: {id}\r\n\
       X-Response-Seal: {}.failed\r\n\r\nfailed: ",
      self.identity.id
    );
    stream.write_all(head.as_bytes())?;
    self
      .record
      .line(&format!("{}: {id} fails and hangs", self.identity.id));
    // Waits until the channel is closed.
    let _ = stream.read(&mut [0; 1]);
    Ok(RunEnd::Failed)
  }
}
