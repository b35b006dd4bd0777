//! A stand-in server: a plain one, or an engine that reads prompts or writes answers. It answers as PROTOCOL.md describes, and keeps its
//! entry in the store.

use crate::{
  http::{Request, read_request, write_answer},
  store::Store,
  world::{Arrival, World},
};
use std::{
  io::{self, BufReader, Write},
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
  time::Duration,
};

/// How often a server writes its entry, and how long the entry of one that is silent stays.
const HEARTBEAT_MS: u64 = 1_200;
const LAPSE_MS: u64 = 3 * HEARTBEAT_MS;
/// Blank lines in one piece.
const FLOOD_BYTES: usize = 16 * 1024;
/// How long a crashed server is away.
const AWAY_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
pub struct Conduct {
  /// The part of a prompt on which the server crashes once it begins to write an answer.
  pub deadly_part: Option<String>,
  /// The requests per second that it names in its answers.
  pub limit_per_s: Option<f64>,
  /// Events of a stream, and the time between them.
  pub events: u64,
  pub event_gap_ms: u64,
  /// Whether it sends blank lines without end in place of events, until the channel is closed.
  pub floods: bool,
  /// How long a plain request runs.
  pub work_ms: u64,
}

/// One life of a server, from a start to its end.
struct Life {
  id: String,
  over: AtomicBool,
  closed: AtomicBool,
  streams: Mutex<Vec<TcpStream>>,
  calls: AtomicU64,
  orders: AtomicU64,
  stage: Mutex<Option<&'static str>>,
}

#[derive(Clone)]
pub struct Server {
  pub name: String,
  address: SocketAddr,
  service: String,
  zone: String,
  stage: Option<&'static str>,
  conduct: Conduct,
  store: Store,
  world: Arc<World>,
  lives: Arc<AtomicU64>,
}

pub struct Place<'a> {
  pub name: &'a str,
  pub service: &'a str,
  pub zone: &'a str,
  pub stage: Option<&'static str>,
}

impl Server {
  pub fn start(place: Place, conduct: Conduct, store: &Store, world: &Arc<World>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("server's address");
    let server = Server {
      address: listener.local_addr().expect("server's address"),
      name: place.name.into(),
      service: place.service.into(),
      zone: place.zone.into(),
      stage: place.stage,
      conduct,
      store: store.clone(),
      world: world.clone(),
      lives: Arc::default(),
    };
    server.live(listener);
    server
  }

  fn live(&self, listener: TcpListener) {
    let number = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
    let life = Arc::new(Life {
      id: format!("i-{}-{number}", self.name),
      over: AtomicBool::new(false),
      closed: AtomicBool::new(false),
      streams: Mutex::default(),
      calls: AtomicU64::new(0),
      orders: AtomicU64::new(0),
      stage: Mutex::new(self.stage),
    });
    self
      .world
      .log(format!("server {} starts as {}", self.name, life.id));
    let (server, beating) = (self.clone(), life.clone());
    thread::spawn(move || server.beat(&beating));
    let server = self.clone();
    thread::spawn(move || server.accept(listener, &life));
  }

  /// Keeps the entry, and removes it some check-ins after the end.
  fn beat(&self, life: &Arc<Life>) {
    let key = format!("servers/{}", life.id);
    while !life.over.load(Ordering::SeqCst) {
      self.store.put(&key, &self.entry(life));
      for _ in 0..HEARTBEAT_MS / 20 {
        thread::sleep(Duration::from_millis(20));
        if life.over.load(Ordering::SeqCst) {
          break;
        }
      }
    }
    thread::sleep(Duration::from_millis(LAPSE_MS));
    self.store.remove(&key);
  }

  fn entry(&self, life: &Life) -> String {
    let stage = *life.stage.lock().unwrap();
    let stage = stage.map_or(String::new(), |stage| {
      format!(
        ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
      )
    });
    format!(
      "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0{stage},\"callSeq\":{}}}",
      self.service,
      self.address,
      self.zone,
      life.orders.load(Ordering::SeqCst)
    )
  }

  fn accept(&self, listener: TcpListener, life: &Arc<Life>) {
    listener.set_nonblocking(true).expect("listener");
    while !life.over.load(Ordering::SeqCst) {
      match listener.accept() {
        Ok((stream, _)) => {
          let _ = stream.set_nonblocking(false);
          let _ = stream.set_nodelay(true);
          if let Ok(copy) = stream.try_clone() {
            life.streams.lock().unwrap().push(copy);
          }
          let (server, life) = (self.clone(), life.clone());
          thread::spawn(move || server.serve(stream, &life));
        }
        Err(_) => thread::sleep(Duration::from_micros(500)),
      }
    }
    drop(listener);
    for stream in life.streams.lock().unwrap().drain(..) {
      let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    life.closed.store(true, Ordering::SeqCst);
  }

  /// The process ends: its listener and its channels close at once. It is back after some seconds, under another id.
  fn crash(&self, life: &Arc<Life>) {
    if life.over.swap(true, Ordering::SeqCst) {
      return;
    }
    let at_ms = self.world.now_ms();
    self.world.crashes.lock().unwrap().push(at_ms);
    self.world.log(format!("server {} crashes", life.id));
    while !life.closed.load(Ordering::SeqCst) {
      thread::sleep(Duration::from_micros(200));
    }
    let server = self.clone();
    thread::spawn(move || {
      thread::sleep(Duration::from_millis(AWAY_MS));
      loop {
        if let Ok(listener) = TcpListener::bind(server.address) {
          return server.live(listener);
        }
        thread::sleep(Duration::from_millis(50));
      }
    });
  }

  fn serve(&self, mut stream: TcpStream, life: &Arc<Life>) {
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    while let Ok(Some(request)) = read_request(&mut reader) {
      if life.over.load(Ordering::SeqCst) || self.answer(&mut stream, &request, life).is_err() {
        return;
      }
    }
  }

  fn answer(&self, stream: &mut TcpStream, request: &Request, life: &Arc<Life>) -> io::Result<()> {
    let id = request.header("x-request-id").unwrap_or("-").to_owned();
    let limit = self.conduct.limit_per_s.map(|limit| limit.to_string());
    let mut headers: Vec<(&str, &str)> = vec![("X-Request-Id", &id)];
    if let Some(limit) = &limit {
      headers.push(("Server-Limit", limit));
    }
    let expected = request.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != life.id) {
      headers.push(("X-Instance-Id", &life.id));
      return write_answer(stream, 421, &headers, b"");
    }
    let number = life.calls.fetch_add(1, Ordering::SeqCst);
    let json = ("Content-Type", "application/json");
    match (request.method.as_str(), request.path()) {
      ("GET", "/health") => {
        headers.push(("X-Instance-Id", &life.id));
        write_answer(stream, 200, &headers, b"")
      }
      ("GET", "/report") => {
        headers.push(json);
        write_answer(stream, 200, &headers, self.report(life).as_bytes())
      }
      ("GET", "/kv-list") => {
        headers.push(json);
        let body = b"{\"epoch\":\"e\",\"nextPageToken\":0,\"held\":[]}";
        write_answer(stream, 200, &headers, body)
      }
      ("POST", "/hold-take") => {
        headers.push(json);
        let body = format!("{{\"hold\":\"h{number}-{}\"}}", life.id);
        write_answer(stream, 200, &headers, body.as_bytes())
      }
      ("POST", "/order") => {
        let body = String::from_utf8_lossy(&request.body);
        let stage = match body.contains("\"stage\":\"prefill\"") {
          true => "prefill",
          false => "decode",
        };
        *life.stage.lock().unwrap() = Some(stage);
        life.orders.fetch_add(1, Ordering::SeqCst);
        self
          .world
          .log(format!("server {} is ordered to be {stage}", life.id));
        write_answer(stream, 202, &headers, b"")
      }
      ("DELETE", _) => write_answer(stream, 200, &headers, b""),
      _ if life.stage.lock().unwrap().is_some() => {
        self.stage_answer(stream, request, life, &headers, number)
      }
      _ => self.plain_answer(stream, life, &id, &mut headers),
    }
  }

  fn record(&self, life: &Life, request: &str, runs: bool, is_deadly: bool) {
    let what = match (runs, is_deadly) {
      (true, true) => "gets, to run, the deadly request",
      (true, false) => "gets, to run,",
      (false, true) => "gets, to read, the deadly request",
      (false, false) => "gets, to read,",
    };
    self
      .world
      .log(format!("server {} {what} {request}", life.id));
    self.world.arrivals.lock().unwrap().push(Arrival {
      at_ms: self.world.now_ms(),
      server: life.id.clone(),
      request: request.into(),
      runs,
      is_deadly,
    });
  }

  fn plain_answer<'a>(
    &self,
    stream: &mut TcpStream,
    life: &Life,
    id: &str,
    headers: &mut Vec<(&'a str, &'a str)>,
  ) -> io::Result<()> {
    self.record(life, id, true, false);
    thread::sleep(Duration::from_millis(self.conduct.work_ms));
    headers.push(("X-Response-Seal", "s.1"));
    headers.push(("X-Server-Load", "1,0,64"));
    write_answer(stream, 200, headers, id.as_bytes())
  }

  fn stage_answer(
    &self,
    stream: &mut TcpStream,
    request: &Request,
    life: &Arc<Life>,
    headers: &[(&str, &str)],
    number: u64,
  ) -> io::Result<()> {
    let id = request.header("x-request-id").unwrap_or("-");
    let parts: Vec<&str> = request
      .header("x-prompt-prefix")
      .unwrap_or_default()
      .split(',')
      .collect();
    let shared = &parts[..parts.len().saturating_sub(1)];
    let names = shared.iter().map(|part| part.split(':').next());
    let deadly = self.conduct.deadly_part.as_deref();
    let is_deadly = deadly.is_some() && names.into_iter().any(|name| name == deadly);
    let reads = request.header("x-serving-stage") == Some("prefill");
    let stage = *life.stage.lock().unwrap();
    let mut headers = headers.to_vec();
    if reads != (stage == Some("prefill")) {
      headers.push(("X-Instance-Id", &life.id));
      return write_answer(stream, 421, &headers, b"");
    }
    self.record(life, id, !reads, is_deadly);
    if reads {
      thread::sleep(Duration::from_millis(10));
      headers.push(("Content-Type", "application/json"));
      let body = format!(
        "{{\"promptHandle\":\"p{number}{}\",\"tokens\":100,\"version\":1}}",
        life.id
      );
      return write_answer(stream, 200, &headers, body.as_bytes());
    }
    let mut head = String::from(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Response-Seal: s.1\r\nX-Server-Load: 1,0,64\r\n",
    );
    for (name, value) in &headers {
      head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    if is_deadly {
      stream.write_all(b"8\r\nid: 0\nda\r\n")?;
      self.crash(life);
      return Err(io::ErrorKind::ConnectionAborted.into());
    }
    if self.conduct.floods {
      return self.flood(stream, life, id);
    }
    let budget_ms = request.header("x-deadline-ms");
    let budget_ms = budget_ms.and_then(|text| text.parse::<u64>().ok());
    let end_ms = self.world.now_ms() + budget_ms.unwrap_or(u64::MAX / 2);
    for number in 0..self.conduct.events {
      if self.world.now_ms() > end_ms {
        self
          .world
          .log(format!("server {} stops {id} at its time budget", life.id));
        return Err(io::ErrorKind::TimedOut.into());
      }
      let event = format!("id: {number}\ndata: t{number} of {id}\n\n");
      let written = write!(stream, "{:x}\r\n{event}\r\n", event.len());
      if let Err(error) = written {
        self.world.log(format!(
          "server {} finds the channel of {id} closed after {number} events: {error}",
          life.id
        ));
        return Err(error);
      }
      thread::sleep(Duration::from_millis(self.conduct.event_gap_ms));
    }
    stream.write_all(b"0\r\n\r\n")
  }

  /// Bytes that are no answer, until the channel is closed.
  fn flood(&self, stream: &mut TcpStream, life: &Life, id: &str) -> io::Result<()> {
    let since_ms = self.world.now_ms();
    let mut piece = format!("{FLOOD_BYTES:x}\r\n").into_bytes();
    piece.extend([b'\n'; FLOOD_BYTES]);
    piece.extend(b"\r\n");
    let mut pieces = 0;
    loop {
      if let Err(error) = stream.write_all(&piece) {
        self.world.log(format!(
          "server {} finds the channel of {id} closed after {} ms and {} KB of blank lines: {error}",
          life.id,
          self.world.now_ms() - since_ms,
          pieces * FLOOD_BYTES / 1024
        ));
        return Err(error);
      }
      pieces += 1;
    }
  }

  fn report(&self, life: &Life) -> String {
    let stage = life.stage.lock().unwrap().unwrap_or("decode");
    format!(
      "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"utilization\":false,\"callSeq\":{},\"queued\":0,\"inFlight\":1,\"kvUsed\":100,\"kvTotal\":66897,\"handles\":0,\"pinned\":0,\"held\":0,\"state\":\"ready\",\"nextPageToken\":0,\"runs\":[]}}",
      life.orders.load(Ordering::SeqCst)
    )
  }
}
