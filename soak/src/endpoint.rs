//! Simulated endpoints: plain services and engines that speak the platform's protocol.

use {
  super::{
    connection::Connection,
    content::{self, CRASHING_BODY},
    endpoint_kind::EndpointKind,
    endpoint_state::EndpointState,
    engine_call::EngineCall,
    engine_event::{EngineEvent, EngineEventSender},
    event_stream::EventStream,
    exports::Exports,
    fault::{Close, EndpointFault, Losses, Strays},
    framing::Framing,
    garble::{Call, GarbledAnswer},
    garbled_body::DrawnGarble,
    profile::Profile,
    recorder::{Recorder, RunGuard},
    records::{RoleCommandRecord, Run},
    reply::{ReplyBody, cut_body, full_body, json_response, not_run, status, with_retry_after},
    response_draws::{ResponseDraws, Subject},
    silence::Silence,
    stray_response::Stray,
    work::RequestContent,
    writer::Writer,
  },
  bytes::Bytes,
  http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode, header::AUTHORIZATION, request::Parts,
  },
  http_body_util::BodyExt,
  hyper::body::Incoming,
  judge::RawRun,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  serde_json::{Value, json},
  std::{
    future::pending,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

/// Duration of a plain request.
const PLAIN_DURATION: Duration = Duration::from_millis(12);
/// Duration of a prefill.
const PREFILL_DURATION: Duration = Duration::from_millis(8);
/// Additional time of a decode engine that runs the prefill itself.
const LOCAL_PREFILL_DURATION: Duration = Duration::from_millis(20);
/// Delay before a slow endpoint starts its work.
const SLOW_DELAY: Duration = Duration::from_millis(600);
/// Retry-after delay of an endpoint that sheds all load.
const RETRY_AFTER: Duration = Duration::from_secs(3);
/// Time that an engine runs a crashing request before it terminates.
const CRASH_AFTER: Duration = Duration::from_millis(40);
/// Duration of a role switch.
const SWITCH_DURATION: Duration = Duration::from_millis(400);

/// Header that names the box of a connection, added on arrival.
pub(crate) const BOX_HEADER: &str = "x-sending-box";

/// One incarnation of an endpoint.
pub(crate) struct Endpoint {
  pub(crate) incarnation: String,
  place: usize,
  profile: Profile,
  /// Address under which boxes reach it.
  address: SocketAddr,
  recorder: Recorder,
  exports: Exports,
  state: Mutex<EndpointState>,
  /// Version of its software.
  pub(crate) version: &'static str,
  /// Start time: the number of this start among the starts of all endpoints.
  pub(crate) start_number: u64,
  events: EngineEventSender,
  draws: ResponseDraws,
  silence: Silence,
}

/// Identity of an incarnation.
pub(crate) struct Identity {
  pub(crate) incarnation: String,
  pub(crate) start_number: u64,
  /// Version of its software.
  pub(crate) version: &'static str,
  pub(crate) place: usize,
  pub(crate) kind: EndpointKind,
  /// Address under which boxes reach it.
  pub(crate) address: SocketAddr,
  pub(crate) profile: Profile,
}

impl Endpoint {
  pub(crate) fn new(
    identity: Identity,
    recorder: &Recorder,
    exports: &Exports,
    events: EngineEventSender,
    draws: ResponseDraws,
  ) -> Arc<Self> {
    Arc::new(Self {
      draws,
      version: identity.version,
      start_number: identity.start_number,
      exports: exports.clone(),
      incarnation: identity.incarnation,
      recorder: recorder.clone(),
      place: identity.place,
      profile: identity.profile,
      events,
      silence: Silence::default(),
      address: identity.address,
      state: Mutex::new(EndpointState::new(identity.kind, identity.profile.slots)),
    })
  }

  fn state(&self) -> MutexGuard<'_, EndpointState> {
    // A panic between two changes leaves a consistent state.
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  pub(crate) fn kind(&self) -> EndpointKind {
    self.state().kind
  }

  /// Does not answer role orders, and acts on them after a delay, or as usual.
  pub(crate) fn set_order_delay(&self, delay: Option<Duration>) {
    self.state().order_delay = delay;
  }

  /// Loses a share of the responses, or none.
  pub(crate) fn set_losses(&self, losses: Option<Losses>) {
    self.state().losses = losses;
  }

  /// Sends stray bytes with a share of the responses, or none.
  pub(crate) fn set_strays(&self, strays: Option<Strays>) {
    self.state().strays = strays;
  }

  /// Garbles a share of the answers, or none.
  pub(crate) fn set_garbled_percent(&self, percent: Option<u8>) {
    self.state().garbled_percent = percent;
  }

  pub(crate) fn set_fault(&self, fault: Option<EndpointFault>) {
    self.state().fault = fault;
  }

  /// Sends nothing on any connection for a while, and then goes on where it stopped.
  pub(crate) fn fall_silent(&self, duration: Duration) {
    self.silence.begin(duration);
  }

  /// Signals in all further responses that the endpoint is leaving.
  pub(crate) fn set_leaving(&self) {
    self.state().leaving = true;
  }

  /// Advertises this limit, or none, in all further responses.
  pub(crate) fn set_limit(&self, per_s: Option<u32>) {
    match per_s {
      Some(per_s) => self.recorder.begin_limit(&self.incarnation, per_s),
      None => self.recorder.end_limit(&self.incarnation),
    }
    self.state().limit_per_s = per_s;
  }

  /// Whether it is a decode engine that streams as usual.
  pub(crate) fn is_sound_decode(&self) -> bool {
    let state = self.state();
    state.kind == EndpointKind::Decode
      && state.fault.is_none()
      && state.limit_per_s.is_none()
      && !state.leaving
      && !state.switching
  }

  /// Removes the prompts that it has exported.
  pub(crate) fn drop_exports(&self) {
    self.exports.remove_all_of(self.address);
  }

  /// Takes the reserved slot, or a free one. Returns whether there was one.
  pub(crate) fn take_slot(&self, hold: Option<&str>) -> bool {
    let mut state = self.state();
    let reserved = hold.is_some_and(|id| state.holds.remove(id).is_some());
    if !reserved && !state.has_free_slot() {
      return false;
    }
    state.running += 1;
    true
  }

  pub(crate) fn release_slot(&self) {
    self.state().running -= 1;
  }

  /// Lists the resources still held for requests.
  pub(crate) fn unreleased_resources(&self) -> Vec<String> {
    let mut state = self.state();
    // Removes expired reservations.
    state.has_free_slot();
    let name = &self.incarnation;
    let mut resources: Vec<String> = state
      .holds
      .keys()
      .map(|id| format!("slot {id} at {name}"))
      .collect();
    if state.running > 0 {
      resources.push(format!("{} running at {name}", state.running));
    }
    resources
  }

  /// Responds to a box's call or a forwarded request, with the leaving signal and the limit if they are set. While the engine
  /// is silent, requests are read and responses wait.
  pub(crate) async fn handle(
    self: Arc<Self>,
    request: Request<Incoming>,
    connection: Connection,
  ) -> io::Result<Response<ReplyBody>> {
    let (head, body) = request.into_parts();
    let garbled = self.drawn_garble(&head);
    let id = head.headers.get("x-request-id").cloned();
    let mut response = self.clone().handle_request(head, body, &connection).await?;
    self.silence.ended().await;
    let state = self.state();
    if state.leaving {
      let value = HeaderValue::from_static("1");
      response.headers_mut().insert("server-leaving", value);
    }
    if let Some(per_s) = state.limit_per_s {
      let value = HeaderValue::from(per_s);
      response.headers_mut().insert("server-limit", value);
    }
    drop(state);
    let stray = self.drawn_stray(&response);
    if let Some(id) = id {
      response.headers_mut().entry("x-request-id").or_insert(id);
    }
    Ok(match (stray, garbled) {
      (_, Some(garbled)) if response.status() == StatusCode::OK => {
        garbled.send(&self.recorder, response, &connection)
      }
      (Some(stray), _) => stray.send(response, &connection),
      (None, _) => response,
    })
  }

  /// Records that the late part of a garbled answer is sent in the place of the answer to a request.
  pub(crate) fn record_garbled(&self, request: &Request<Incoming>, answer: GarbledAnswer) {
    let id = header(request.headers(), "x-request-id").unwrap_or_default();
    self.recorder.record_garbled(id, answer);
  }

  /// How the answer to a request is garbled.
  fn drawn_garble(&self, head: &Parts) -> Option<DrawnGarble> {
    let percent = self.state().garbled_percent?;
    let call = Call::of(head, self.kind())?;
    let id = header(&head.headers, "x-request-id").unwrap_or_default();
    let mut random = self.random(Subject::Garble, id);
    if random.random_range(0..100) >= call.garbled_percent(percent) {
      return None;
    }
    let framing = self.draws.framings.draw(&mut random);
    let parts = match call {
      Call::Stream => {
        let stream = header(&head.headers, "resumes").unwrap_or(id);
        let last = header(&head.headers, "last-event-id").and_then(|text| text.parse().ok());
        content::event_count(stream).saturating_sub(last.unwrap_or(0))
      }
      Call::Reservation | Call::Report | Call::Prefill | Call::Plain => 2,
    };
    // Of a single part, nothing can be left out.
    let ends = self.draws.early_ends;
    (parts > 1).then(|| DrawnGarble::draw(id, parts, call, framing, ends, &mut random))
  }

  /// What is sent besides a response.
  fn drawn_stray(&self, response: &Response<ReplyBody>) -> Option<Stray> {
    let strays = self.state().strays?;
    // Calls of boxes have no id.
    let number = self.state().next_number().to_string();
    let id = header(response.headers(), "x-request-id").unwrap_or(&number);
    let mut random = self.random(Subject::Stray, id);
    random.random_bool(strays.share()).then_some(strays.stray)
  }

  /// Whether the response to a request is lost, and how.
  fn drawn_loss(&self, id: &str) -> Option<(Close, ChaCha8Rng)> {
    let losses = self.state().losses?;
    let mut random = self.random(Subject::Loss, id);
    random
      .random_bool(losses.share())
      .then_some((losses.close, random))
  }

  async fn handle_request(
    self: Arc<Self>,
    head: Parts,
    body: Incoming,
    connection: &Connection,
  ) -> io::Result<Response<ReplyBody>> {
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let request = Request::from_parts(head, body);
    let headers = request.headers();
    if header(headers, "x-expect-instance").is_some_and(|id| id != self.incarnation) {
      return Ok(not_run(headers, StatusCode::MISDIRECTED_REQUEST));
    }
    let kind = self.kind();
    if let Some(call) = EngineCall::of(kind, request.method(), request.uri().path()) {
      let delay = self.state().order_delay;
      if let (EngineCall::RoleCommand, Some(delay)) = (call, delay) {
        return self.apply_later(request.into_body(), delay).await;
      }
      return Ok(self.answer_call(call, request.body()));
    }
    if !headers.contains_key("x-request-id") {
      self.record_work(&request);
      return Ok(not_run(headers, StatusCode::BAD_REQUEST));
    }
    if kind == EndpointKind::Decode && !is_prefill(headers) && is_crashing(&request) {
      return self.crash(&request).await;
    }
    self.handle_work(&request, connection).await
  }

  fn answer_call(self: &Arc<Self>, call: EngineCall, body: &Bytes) -> Response<ReplyBody> {
    match call {
      // Its prompts are not cached.
      EngineCall::CachedPrompts => json_response(json!({"epoch": 1, "held": []})),
      EngineCall::ExportRelease { handle } => {
        self.exports.take(&format!("{}/{handle}", self.address));
        status(StatusCode::OK)
      }
      EngineCall::LoadReport => self.load_report(),
      EngineCall::Reservation => self.reserve(body),
      EngineCall::ReservationRelease { id } => {
        self.state().holds.remove(id);
        status(StatusCode::OK)
      }
      EngineCall::RoleCommand => self.handle_role_command(body),
    }
  }

  fn reserve(&self, body: &Bytes) -> Response<ReplyBody> {
    let mut state = self.state();
    if state.fault == Some(EndpointFault::ShedsLoad) {
      return with_retry_after(status(StatusCode::SERVICE_UNAVAILABLE), RETRY_AFTER);
    }
    if state.fault == Some(EndpointFault::Full) || !state.has_free_slot() {
      return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let ttl = Duration::from_millis(call["ttlMs"].as_u64().unwrap_or(0));
    let id = format!("h{}", state.next_number());
    state.holds.insert(id.clone(), Instant::now() + ttl);
    json_response(json!({"hold": id}))
  }

  fn load_report(&self) -> Response<ReplyBody> {
    let state = self.state();
    let mut report = json!({
      "stage": state.kind.stage(), "callSeq": state.commands_taken, "utilization": state.switching,
      "inFlight": state.running, "queued": 0,
    });
    if self.profile.starts.in_reports() {
      report["born"] = json!(self.start_number);
    }
    json_response(report)
  }

  /// Takes a role order that gets no answer, and acts on it after a delay.
  async fn apply_later(
    self: Arc<Self>,
    body: Bytes,
    delay: Duration,
  ) -> io::Result<Response<ReplyBody>> {
    tokio::spawn(async move {
      sleep(delay).await;
      // Nobody waits for the answer.
      let _ = self.handle_role_command(&body);
    });
    pending().await
  }

  fn handle_role_command(self: &Arc<Self>, body: &Bytes) -> Response<ReplyBody> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let (Some(holder), Some(fence)) = (call["holder"].as_str(), call["fence"].as_u64()) else {
      return status(StatusCode::BAD_REQUEST);
    };
    let stage = call["stage"].as_str();
    let stage = stage.filter(|_| call["operation"] == "stage");
    let Some(kind) = stage.and_then(EndpointKind::from_stage) else {
      return status(StatusCode::BAD_REQUEST);
    };
    let command = RoleCommandRecord {
      fence,
      holder: holder.into(),
      incarnation: self.incarnation.clone(),
    };
    self.recorder.records().role_commands.push(command);
    let mut state = self.state();
    if state.switching
      || call["prevRevision"]
        .as_u64()
        .is_some_and(|revision| revision != state.commands_taken)
    {
      return status(StatusCode::CONFLICT);
    }
    if state.kind == kind {
      return status(StatusCode::OK);
    }
    state.commands_taken += 1;
    state.switching = true;
    drop(state);
    tokio::spawn(self.clone().switch_role(kind));
    status(StatusCode::ACCEPTED)
  }

  async fn switch_role(self: Arc<Self>, kind: EndpointKind) {
    sleep(SWITCH_DURATION).await;
    let mut state = self.state();
    state.kind = kind;
    state.switching = false;
    drop(state);
    // The receiver is closed once the run is over.
    let _ = self
      .events
      .send(EngineEvent::RoleChanged { place: self.place });
  }

  /// Starts to run a request and crashes while it runs.
  async fn crash(self: Arc<Self>, request: &Request<Bytes>) -> io::Result<Response<ReplyBody>> {
    let headers = request.headers();
    let Some(_slot) = SlotGuard::take(&self, header(headers, "x-hold")) else {
      return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE));
    };
    let id = header(headers, "x-request-id").unwrap_or_default();
    let _run = self.begin_run(id, request);
    sleep(CRASH_AFTER).await;
    let incarnation = self.incarnation.clone();
    // The receiver is closed once the run is over.
    let _ = self.events.send(EngineEvent::Crashed {
      incarnation,
      place: self.place,
    });
    pending().await
  }

  /// Handles a caller's request, or a stage of one.
  async fn handle_work(
    self: Arc<Self>,
    request: &Request<Bytes>,
    connection: &Connection,
  ) -> io::Result<Response<ReplyBody>> {
    let headers = request.headers();
    let id = header(headers, "x-request-id")
      .unwrap_or_default()
      .to_string();
    let (kind, fault, switching) = {
      let state = self.state();
      (state.kind, state.fault, state.switching)
    };
    if fault == Some(EndpointFault::Full) || switching {
      return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE));
    }
    if fault == Some(EndpointFault::ShedsLoad) {
      let retry_after_ms = u64::try_from(RETRY_AFTER.as_millis()).unwrap_or(u64::MAX);
      self
        .recorder
        .record_rejection(&id, &self.incarnation, retry_after_ms);
      let rejection = not_run(headers, StatusCode::SERVICE_UNAVAILABLE);
      return Ok(with_retry_after(rejection, RETRY_AFTER));
    }
    if fault == Some(EndpointFault::Slow) {
      sleep(SLOW_DELAY).await;
    }
    match (kind, is_prefill(headers)) {
      (EndpointKind::Plain, _) => self.run_plain(&id, request, connection).await,
      (EndpointKind::Prefill, true) => self.run_prefill(&id, request, fault).await,
      (EndpointKind::Decode, false) => self.run_stream(&id, request, connection).await,
      (EndpointKind::Prefill, false) | (EndpointKind::Decode, true) => {
        Ok(not_run(headers, StatusCode::MISDIRECTED_REQUEST))
      }
    }
  }

  /// Records that the endpoint works on a request.
  fn record_work(&self, request: &Request<Bytes>) {
    let id = header(request.headers(), "x-request-id").unwrap_or_default();
    let (method, uri, body) = (request.method(), request.uri(), request.body());
    let content = RequestContent::new(method, uri, body, self.kind().service());
    self.recorder.record_work(id, &self.incarnation, content);
  }

  /// Records the start of a run with the organisation from its headers, and a leaked key.
  fn begin_run(&self, id: &str, request: &Request<Bytes>) -> RunGuard {
    self.record_work(request);
    let headers = request.headers();
    if headers.contains_key(AUTHORIZATION) {
      let observed = format!("{id} at {}", self.incarnation);
      self.recorder.records().leaked_keys.push(observed);
    }
    let box_index = header(headers, BOX_HEADER).and_then(|text| text.parse().ok());
    let run = Run {
      began_ms: self.recorder.now_ms(),
      box_index: box_index.unwrap_or_default(),
      ended_ms: None,
      first_event_ms: None,
      incarnation: self.incarnation.clone(),
      organisation: header(headers, "x-tenant").unwrap_or_default().into(),
      place: self.place,
    };
    self.recorder.begin_run(id, run)
  }

  async fn run_plain(
    &self,
    id: &str,
    request: &Request<Bytes>,
    connection: &Connection,
  ) -> io::Result<Response<ReplyBody>> {
    let fault = self.state().fault;
    let _run = self.begin_run(id, request);
    sleep(PLAIN_DURATION).await;
    if let Some((close, _)) = self.drawn_loss(id) {
      close.begin(connection);
      return Err(lost(id));
    }
    self.apply_fault(id, fault).await?;
    match fault {
      Some(EndpointFault::Fails) => {
        Ok(self.response(id, StatusCode::INTERNAL_SERVER_ERROR, full_body("failed")))
      }
      Some(EndpointFault::TruncatesResponses) => {
        let body = cut_body(&content::plain_response(id));
        // Without chunks, nobody could tell that it was cut.
        Ok(self.framed_response(id, StatusCode::OK, body, Framing::Chunks))
      }
      _ => Ok(self.response(id, StatusCode::OK, full_body(&content::plain_response(id)))),
    }
  }

  async fn run_prefill(
    &self,
    id: &str,
    request: &Request<Bytes>,
    fault: Option<EndpointFault>,
  ) -> io::Result<Response<ReplyBody>> {
    self.record_work(request);
    sleep(PREFILL_DURATION).await;
    // The prompt expires some time after the engine has responded.
    self.silence.ended().await;
    self.apply_fault(id, fault).await?;
    if fault == Some(EndpointFault::Fails) {
      return Ok(self.response(id, StatusCode::INTERNAL_SERVER_ERROR, full_body("failed")));
    }
    let handle = format!("e{}", self.state().next_number());
    self
      .exports
      .insert(format!("{}/{handle}", self.address), id);
    let body = json!({"promptHandle": handle, "tokens": 1, "version": 1}).to_string();
    Ok(self.response(id, StatusCode::OK, full_body(&body)))
  }

  async fn run_stream(
    self: Arc<Self>,
    id: &str,
    request: &Request<Bytes>,
    connection: &Connection,
  ) -> io::Result<Response<ReplyBody>> {
    let headers = request.headers();
    if let Some(source) = header(headers, "x-kv-source") {
      sleep(self.exports.move_time()).await;
      match self.exports.take(&without_host(source)) {
        Some(request) if request == id => {}
        Some(request) => {
          let observed = format!("{id} decoded from the prompt of {request}");
          self.recorder.records().mismatched_prompts.push(observed);
        }
        None => return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE)),
      }
    } else {
      sleep(LOCAL_PREFILL_DURATION).await;
    }
    let Some(slot) = SlotGuard::take(&self, header(headers, "x-hold")) else {
      return Ok(not_run(headers, StatusCode::SERVICE_UNAVAILABLE));
    };
    let run = self.begin_run(id, request);
    // A fault that ended during the prefill does not act on the run.
    let fault = self.state().fault;
    self.apply_fault(id, fault).await?;
    if fault == Some(EndpointFault::Fails) {
      return Ok(self.response(id, StatusCode::INTERNAL_SERVER_ERROR, full_body("failed")));
    }
    let writer = Writer {
      incarnation: &self.incarnation,
      request_id: id,
      run: self.state().next_number(),
      start_number: self.start_number,
      version: self.version,
    };
    let last = header(headers, "last-event-id").and_then(|text| text.parse().ok());
    let first = last.unwrap_or(0) + 1;
    let stream = header(headers, "resumes").unwrap_or(id);
    let loss = self.drawn_loss(id).map(|(close, mut random)| {
      close.begin(connection);
      random.random_range(first..=content::event_count(stream).max(first))
    });
    let truncated = (fault == Some(EndpointFault::TruncatesResponses)).then_some(first + 1);
    let raw_run = self.recorder.raw.begin_run(RawRun {
      incarnation: self.incarnation.clone(),
      last_event_id: last,
      last_piece: content::event_count(stream),
      pieces: Vec::new(),
      request: id.into(),
      version: self.version.into(),
    });
    let events = EventStream {
      cut_at: truncated.or(loss),
      id: stream.into(),
      interval: Duration::from_millis(self.profile.event_interval_ms),
      writer: writer.to_string(),
      next: first,
      raw_run,
      run,
      silence: self.silence.clone(),
      _slot: slot,
    };
    let mut response = self.response(id, StatusCode::OK, events.into_body());
    response.headers_mut().insert(
      "content-type",
      HeaderValue::from_static("text/event-stream"),
    );
    Ok(response)
  }

  /// Applies the faults that send no response; an error closes the connection.
  async fn apply_fault(&self, id: &str, fault: Option<EndpointFault>) -> io::Result<()> {
    match fault {
      Some(EndpointFault::Hangs) => pending().await,
      Some(EndpointFault::DropsResponses) => Err(lost(id)),
      _ => Ok(()),
    }
  }

  /// The draws for the response to a request.
  fn random(&self, subject: Subject, id: &str) -> ChaCha8Rng {
    self.draws.random(subject, id, self.start_number)
  }

  /// A response with this incarnation's receipt, in the framing that is drawn for the request.
  fn response(&self, id: &str, status: StatusCode, body: ReplyBody) -> Response<ReplyBody> {
    let mut random = self.random(Subject::Framing, id);
    let framing = self.draws.framings.draw(&mut random);
    self.framed_response(id, status, body, framing)
  }

  fn framed_response(
    &self,
    id: &str,
    status: StatusCode,
    body: ReplyBody,
    framing: Framing,
  ) -> Response<ReplyBody> {
    let state = self.state();
    let response_id = if state.fault == Some(EndpointFault::WrongRequestId) {
      "another"
    } else {
      id
    };
    let response = Response::builder()
      .status(status)
      .header("x-request-id", response_id)
      .header("x-response-seal", &self.incarnation)
      .header(
        "x-server-load",
        format!("{},0,{}", state.running, state.slots),
      )
      .body(body)
      .unwrap_or_else(|_| Response::new(full_body("")));
    framing.apply(response)
  }
}

fn lost(id: &str) -> io::Error {
  io::Error::other(format!("the response to {id} is lost"))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
  headers.get(name)?.to_str().ok()
}

/// A batch slot of an engine, released on drop.
pub(crate) struct SlotGuard(Arc<Endpoint>);

impl SlotGuard {
  /// Takes the reserved slot, or a free one.
  pub(crate) fn take(endpoint: &Arc<Endpoint>, hold: Option<&str>) -> Option<Self> {
    if !endpoint.take_slot(hold) {
      return None;
    }
    Some(Self(endpoint.clone()))
  }
}

impl Drop for SlotGuard {
  fn drop(&mut self) {
    self.0.release_slot();
  }
}

/// The source of a prompt as its engine names it; each box sees engines at another host.
fn without_host(source: &str) -> String {
  match source.split_once(':') {
    Some((_, rest)) => format!("{}:{rest}", Ipv4Addr::LOCALHOST),
    None => source.into(),
  }
}

/// Whether an engine is asked to read a prompt for another one.
fn is_prefill(headers: &HeaderMap) -> bool {
  header(headers, "x-serving-stage") == Some("prefill")
}

/// Whether a decode engine crashes on a request.
fn is_crashing(request: &Request<Bytes>) -> bool {
  let segments = header(request.headers(), "x-prompt-prefix");
  request.body() == CRASHING_BODY || segments.is_some_and(content::has_crashing_segment)
}
