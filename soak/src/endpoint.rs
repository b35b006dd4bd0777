//! Endpoints that work: plain services and engines, as the platform's pages describe them.

use {
  super::{
    content,
    fault::EndpointFault,
    ledger::{Ledger, OrderRecord, RunGuard},
  },
  bytes::Bytes,
  futures_util::stream,
  http::{HeaderMap, Method, Request, Response, StatusCode},
  http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
  hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
  },
  hyper_util::rt::TokioIo,
  serde_json::{Value, json},
  std::{
    collections::HashMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
  },
};

/// Requests that an engine holds at once.
pub(crate) const SEATS: usize = 8;
/// How long an engine keeps a prompt that nobody fetches.
pub(crate) const EXPORT_TTL: Duration = Duration::from_millis(700);
/// How long a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(12);
/// How long a prompt takes to be read.
const PROMPT_WORK: Duration = Duration::from_millis(8);
/// How much longer an engine takes that reads a prompt for itself.
const OWN_READING: Duration = Duration::from_millis(20);
/// Pause between the events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// How much later a slow endpoint begins its work.
const SLOW_PAUSE: Duration = Duration::from_millis(600);
/// How long an engine changes its role.
const SWITCH_WORK: Duration = Duration::from_millis(400);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Part {
  /// A plain service.
  Plain,
  /// An engine that reads prompts.
  Prefill,
  /// An engine that writes answers.
  Decode,
}

impl Part {
  /// The service that it belongs to.
  pub(crate) fn service(self) -> &'static str {
    match self {
      Self::Plain => "portal",
      Self::Prefill | Self::Decode => "llm",
    }
  }

  /// An engine's role, as the platform spells it.
  pub(crate) fn stage(self) -> Option<&'static str> {
    match self {
      Self::Plain => None,
      Self::Prefill => Some("prefill"),
      Self::Decode => Some("decode"),
    }
  }
}

/// A prompt that an engine keeps.
struct Export {
  request: String,
  until: Instant,
}

/// The prompts that all engines keep, by the address and handle under which they are fetched.
#[derive(Clone, Default)]
pub(crate) struct Exports(Arc<Mutex<HashMap<String, Export>>>);

impl Exports {
  fn lock(&self) -> MutexGuard<'_, HashMap<String, Export>> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn keep(&self, key: String, request: &str) {
    let export = Export {
      request: request.into(),
      until: Instant::now() + EXPORT_TTL,
    };
    self.lock().insert(key, export);
  }

  /// Takes a prompt once; the request that it was read for.
  fn take(&self, key: &str) -> Option<String> {
    let export = self.lock().remove(key)?;
    (Instant::now() < export.until).then_some(export.request)
  }

  fn drop_all_of(&self, address: SocketAddr) {
    let prefix = format!("{address}/");
    self.lock().retain(|key, _| !key.starts_with(&prefix));
  }

  /// The prompts that are kept now.
  pub(crate) fn kept(&self) -> Vec<String> {
    let now = Instant::now();
    let lock = self.lock();
    let kept = lock.iter().filter(|(_, export)| now < export.until);
    kept
      .map(|(key, export)| format!("prompt of {} at {key}", export.request))
      .collect()
  }
}

struct State {
  part: Part,
  running: usize,
  /// Seats that are reserved, until when.
  holds: HashMap<String, Instant>,
  last_number: u64,
  orders_taken: u64,
  switching: bool,
  fault: Option<EndpointFault>,
}

impl State {
  fn next_number(&mut self) -> u64 {
    self.last_number += 1;
    self.last_number
  }

  fn has_seat(&mut self) -> bool {
    let now = Instant::now();
    self.holds.retain(|_, until| now < *until);
    self.running + self.holds.len() < SEATS
  }
}

/// One incarnation of an endpoint.
pub(crate) struct Endpoint {
  pub(crate) incarnation: String,
  place: usize,
  /// The address under which boxes know it.
  shown: SocketAddr,
  ledger: Ledger,
  exports: Exports,
  state: Mutex<State>,
  changed_part: tokio::sync::mpsc::UnboundedSender<(usize, Part)>,
}

/// Who an incarnation is.
pub(crate) struct Identity {
  pub(crate) incarnation: String,
  pub(crate) place: usize,
  pub(crate) part: Part,
  /// The address under which boxes know it.
  pub(crate) shown: SocketAddr,
}

impl Endpoint {
  pub(crate) fn new(
    identity: Identity,
    ledger: &Ledger,
    exports: &Exports,
    changed_part: tokio::sync::mpsc::UnboundedSender<(usize, Part)>,
  ) -> Arc<Self> {
    Arc::new(Self {
      changed_part,
      exports: exports.clone(),
      incarnation: identity.incarnation,
      ledger: ledger.clone(),
      place: identity.place,
      shown: identity.shown,
      state: Mutex::new(State {
        fault: None,
        holds: HashMap::new(),
        last_number: 0,
        orders_taken: 0,
        part: identity.part,
        running: 0,
        switching: false,
      }),
    })
  }

  fn state(&self) -> MutexGuard<'_, State> {
    // A task that panicked between two changes leaves them whole.
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  pub(crate) fn part(&self) -> Part {
    self.state().part
  }

  pub(crate) fn set_fault(&self, fault: Option<EndpointFault>) {
    self.state().fault = fault;
  }

  /// What it still holds for requests.
  pub(crate) fn held(&self) -> Vec<String> {
    let mut state = self.state();
    // Forgets the reservations that are over.
    state.has_seat();
    let name = &self.incarnation;
    let mut held: Vec<String> = state
      .holds
      .keys()
      .map(|id| format!("seat {id} at {name}"))
      .collect();
    if state.running > 0 {
      held.push(format!("{} running at {name}", state.running));
    }
    held
  }

  /// Serves until the task is ended; with it end all connections.
  pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
      let Ok((stream, _)) = listener.accept().await else {
        return;
      };
      connections.spawn(serve_connection(self.clone(), stream));
      while connections.try_join_next().is_some() {}
    }
  }

  async fn answer(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = head.uri.path().to_string();
    if header(&head.headers, "x-expect-instance").is_some_and(|id| id != self.incarnation) {
      return Ok(not_run(&head.headers, StatusCode::MISDIRECTED_REQUEST));
    }
    match (&head.method, path.as_str()) {
      (&Method::POST, "/hold-take") => Ok(self.reserve(&body)),
      (&Method::POST, "/order") => Ok(self.order(&body)),
      (&Method::GET, "/report") => Ok(self.report()),
      (&Method::DELETE, path) => Ok(self.free(path)),
      _ => self.work(&head.headers).await,
    }
  }

  fn reserve(&self, body: &Bytes) -> Response<Body> {
    let mut state = self.state();
    if state.part == Part::Plain || state.fault == Some(EndpointFault::Full) || !state.has_seat() {
      return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let ttl = Duration::from_millis(call["ttlMs"].as_u64().unwrap_or(0));
    let id = format!("h{}", state.next_number());
    state.holds.insert(id.clone(), Instant::now() + ttl);
    json_answer(json!({"hold": id}))
  }

  fn free(&self, path: &str) -> Response<Body> {
    if let Some(id) = path.strip_prefix("/hold-drop/") {
      self.state().holds.remove(id);
    }
    if let Some(handle) = path.strip_prefix("/kv-handle/") {
      self.exports.take(&format!("{}/{handle}", self.shown));
    }
    status(StatusCode::OK)
  }

  fn report(&self) -> Response<Body> {
    let state = self.state();
    json_answer(json!({
      "stage": state.part.stage(), "callSeq": state.orders_taken, "utilization": state.switching,
      "inFlight": state.running, "queued": 0,
    }))
  }

  fn order(self: &Arc<Self>, body: &Bytes) -> Response<Body> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let (Some(holder), Some(fence)) = (call["holder"].as_str(), call["fence"].as_u64()) else {
      return status(StatusCode::BAD_REQUEST);
    };
    let part = match call["stage"].as_str() {
      Some("prefill") => Part::Prefill,
      Some("decode") => Part::Decode,
      _ => return status(StatusCode::BAD_REQUEST),
    };
    let order = OrderRecord {
      fence,
      holder: holder.into(),
      incarnation: self.incarnation.clone(),
    };
    self.ledger.records().orders.push(order);
    let mut state = self.state();
    if state.switching
      || call["prevRevision"]
        .as_u64()
        .is_some_and(|taken| taken != state.orders_taken)
    {
      return status(StatusCode::CONFLICT);
    }
    if state.part == part {
      return status(StatusCode::OK);
    }
    state.orders_taken += 1;
    state.switching = true;
    drop(state);
    tokio::spawn(self.clone().switch(part));
    status(StatusCode::ACCEPTED)
  }

  async fn switch(self: Arc<Self>, part: Part) {
    sleep(SWITCH_WORK).await;
    let mut state = self.state();
    state.part = part;
    state.switching = false;
    drop(state);
    // Nobody is told once the run is over.
    let _ = self.changed_part.send((self.place, part));
  }

  /// A caller's request, or a part of one.
  async fn work(self: Arc<Self>, headers: &HeaderMap) -> io::Result<Response<Body>> {
    let id = header(headers, "x-request-id")
      .unwrap_or_default()
      .to_string();
    let (part, fault, switching) = {
      let state = self.state();
      (state.part, state.fault, state.switching)
    };
    if fault == Some(EndpointFault::Full) || switching {
      return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE));
    }
    if fault == Some(EndpointFault::Slow) {
      sleep(SLOW_PAUSE).await;
    }
    let reads_prompt = header(headers, "x-serving-stage") == Some("prefill");
    match (part, reads_prompt) {
      (Part::Plain, _) => self.run_plain(&id, fault).await,
      (Part::Prefill, true) => self.read_prompt(&id, fault).await,
      (Part::Decode, false) => self.run_stream(&id, headers, fault).await,
      (Part::Prefill, false) | (Part::Decode, true) => {
        Ok(not_run(headers, StatusCode::MISDIRECTED_REQUEST))
      }
    }
  }

  async fn run_plain(&self, id: &str, fault: Option<EndpointFault>) -> io::Result<Response<Body>> {
    let _run = self.ledger.run(id, self.place, &self.incarnation);
    sleep(PLAIN_WORK).await;
    self.spoiled(id, fault).await?;
    match fault {
      Some(EndpointFault::Fails) => {
        Ok(self.sealed(id, StatusCode::INTERNAL_SERVER_ERROR, whole("failed")))
      }
      Some(EndpointFault::CutsAnswers) => {
        Ok(self.sealed(id, StatusCode::OK, cut_body(&content::plain_answer(id))))
      }
      _ => Ok(self.sealed(id, StatusCode::OK, whole(&content::plain_answer(id)))),
    }
  }

  async fn read_prompt(
    &self,
    id: &str,
    fault: Option<EndpointFault>,
  ) -> io::Result<Response<Body>> {
    sleep(PROMPT_WORK).await;
    self.spoiled(id, fault).await?;
    if fault == Some(EndpointFault::Fails) {
      return Ok(self.sealed(id, StatusCode::INTERNAL_SERVER_ERROR, whole("failed")));
    }
    let handle = format!("e{}", self.state().next_number());
    self.exports.keep(format!("{}/{handle}", self.shown), id);
    let body = json!({"promptHandle": handle, "tokens": 1, "version": 1}).to_string();
    Ok(self.sealed(id, StatusCode::OK, whole(&body)))
  }

  async fn run_stream(
    self: Arc<Self>,
    id: &str,
    headers: &HeaderMap,
    fault: Option<EndpointFault>,
  ) -> io::Result<Response<Body>> {
    if let Some(source) = header(headers, "x-kv-source") {
      match self.exports.take(source) {
        Some(request) if request == id => {}
        Some(request) => {
          let seen = format!("{id} goes on from the prompt of {request}");
          self.ledger.records().mixed_prompts.push(seen);
        }
        None => return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE)),
      }
    } else {
      sleep(OWN_READING).await;
    }
    let Some(seat) = Seat::take(&self, header(headers, "x-hold")) else {
      return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE));
    };
    let run = self.ledger.run(id, self.place, &self.incarnation);
    self.spoiled(id, fault).await?;
    if fault == Some(EndpointFault::Fails) {
      return Ok(self.sealed(id, StatusCode::INTERNAL_SERVER_ERROR, whole("failed")));
    }
    let last = header(headers, "last-event-id").and_then(|text| text.parse().ok());
    let first = last.unwrap_or(0) + 1;
    let events = Events {
      cut_at: (fault == Some(EndpointFault::CutsAnswers)).then(|| first + 1),
      id: id.into(),
      next: first,
      _run: run,
      _seat: seat,
    };
    let mut response = self.sealed(id, StatusCode::OK, events.into_body());
    response.headers_mut().insert(
      "content-type",
      http::HeaderValue::from_static("text/event-stream"),
    );
    Ok(response)
  }

  /// Plays the faults that leave no answer; an error closes the connection.
  async fn spoiled(&self, id: &str, fault: Option<EndpointFault>) -> io::Result<()> {
    match fault {
      Some(EndpointFault::Mute) => pending().await,
      Some(EndpointFault::LosesAnswers) => {
        Err(io::Error::other(format!("the answer to {id} is lost")))
      }
      _ => Ok(()),
    }
  }

  /// An answer with this incarnation's receipt.
  fn sealed(&self, id: &str, status: StatusCode, body: Body) -> Response<Body> {
    let state = self.state();
    let shown_id = if state.fault == Some(EndpointFault::Confuses) {
      "another"
    } else {
      id
    };
    Response::builder()
      .status(status)
      .header("x-request-id", shown_id)
      .header("x-response-seal", &self.incarnation)
      .header("x-server-load", format!("{},0,{SEATS}", state.running))
      .body(body)
      .unwrap_or_else(|_| Response::new(whole("")))
  }
}

/// A seat of an engine that a run takes.
struct Seat(Arc<Endpoint>);

impl Seat {
  /// Takes the reserved seat, or a free one.
  fn take(endpoint: &Arc<Endpoint>, hold: Option<&str>) -> Option<Self> {
    let mut state = endpoint.state();
    let reserved = hold.is_some_and(|id| state.holds.remove(id).is_some());
    if !reserved && !state.has_seat() {
      return None;
    }
    state.running += 1;
    Some(Self(endpoint.clone()))
  }
}

impl Drop for Seat {
  fn drop(&mut self) {
    self.0.state().running -= 1;
  }
}

/// The rest of a stream.
struct Events {
  id: String,
  next: u64,
  /// The event within which the stream is cut.
  cut_at: Option<u64>,
  _run: RunGuard,
  _seat: Seat,
}

impl Events {
  fn into_body(self) -> Body {
    let events = stream::unfold(self, |mut events| async move {
      let item = events.take_next().await?;
      Some((item.map(Frame::data), events))
    });
    StreamBody::new(events).boxed_unsync()
  }

  async fn take_next(&mut self) -> Option<io::Result<Bytes>> {
    if self.next > content::event_count(&self.id) {
      return None;
    }
    sleep(EVENT_PAUSE).await;
    let event = content::event(&self.id, self.next);
    if self.cut_at.is_some_and(|cut_at| self.next > cut_at) {
      return Some(Err(io::Error::other("cut")));
    }
    let is_cut = self.cut_at == Some(self.next);
    self.next += 1;
    let shown = if is_cut {
      &event[..event.len() / 2]
    } else {
      &event
    };
    Some(Ok(Bytes::copy_from_slice(shown.as_bytes())))
  }
}

async fn serve_connection(endpoint: Arc<Endpoint>, stream: TcpStream) {
  let service = service_fn(move |request| endpoint.clone().answer(request));
  // A connection that breaks ends the runs on it; the ledger has them.
  let _ = http1::Builder::new()
    .serve_connection(TokioIo::new(stream), service)
    .await;
}

/// An incarnation that serves until this is dropped.
pub(crate) struct Serving {
  pub(crate) endpoint: Arc<Endpoint>,
  task: tokio::task::JoinHandle<()>,
}

impl Serving {
  pub(crate) fn start(endpoint: Arc<Endpoint>, listener: TcpListener) -> Self {
    let task = tokio::spawn(endpoint.clone().serve(listener));
    Self { endpoint, task }
  }
}

impl Drop for Serving {
  fn drop(&mut self) {
    self.task.abort();
    self.endpoint.exports.drop_all_of(self.endpoint.shown);
  }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
  headers.get(name)?.to_str().ok()
}

fn whole(text: &str) -> Body {
  Full::new(Bytes::copy_from_slice(text.as_bytes()))
    .map_err(|never| match never {})
    .boxed_unsync()
}

/// Half of a text, then a break.
fn cut_body(text: &str) -> Body {
  let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
  let parts = stream::iter([Ok(Frame::data(half)), Err(io::Error::other("cut"))]);
  StreamBody::new(parts).boxed_unsync()
}

fn status(status: StatusCode) -> Response<Body> {
  let mut response = Response::new(whole(""));
  *response.status_mut() = status;
  response
}

fn json_answer(value: Value) -> Response<Body> {
  Response::new(whole(&value.to_string()))
}

/// The word that a request did not run.
fn not_run(headers: &HeaderMap, code: StatusCode) -> Response<Body> {
  let mut response = status(code);
  if let Some(id) = headers.get("x-request-id") {
    response.headers_mut().insert("x-request-id", id.clone());
  }
  response
    .headers_mut()
    .insert("x-not-executed", http::HeaderValue::from_static("1"));
  response
}
