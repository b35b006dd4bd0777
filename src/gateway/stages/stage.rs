//! Sends one stage of a request to one endpoint and reads the response's head.

use {
  super::{
    confirm_end::{ConnectionEnd, confirm_end, confirm_end_again, is_leaving},
    end_witness::EndWitness,
    framing::Framing,
    hold_stream::hold_stream,
    incarnation_check::{
      AfterReport, confirm_start, has_confirmed_start, learn_reported_start, version_evidence,
    },
    open_connection::open_connection,
    outgoing_call::{BeginningStream, OutgoingCall},
    purpose::Purpose,
    request::RoutedRequest,
    response_body::{BodyReader, BufferedBody},
    send_call::send_call,
    stage_error::StageError,
  },
  crate::{
    gateway::{
      connections::{Connection, SentHold, remove_connection_headers},
      decisions::{
        AnswerKind, AttemptOutcome, ObservedProcess, ServiceVersion, Unavailable, VersionEvidence,
      },
      edge::{EndpointEntry, ProxyHeaders, ResponseAttributes, Stage},
      permits::{Permit, acquire_permit, return_permit},
      state::{Gateway, UnreadCause},
    },
    ids::Name,
  },
  futures_util::future::join,
  http::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_TYPE},
    response,
  },
  hyper::body::{Body, Incoming},
  std::{collections::BTreeSet, rc::Rc, time::Instant},
};

/// The status of an endpoint that is not the incarnation that the request is for (RFC 9110, 15.5.20).
const MISDIRECTED: u16 = 421;

/// The type of a stream's response.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Counts a stage towards its endpoint's load until dropped, and then records the outcome; cancelled unless settled.
pub(crate) struct LoadGuard {
  gateway: Rc<Gateway>,
  endpoint: Name,
  size: u64,
  units: u64,
  sent_ms: u64,
  outcome: AttemptOutcome,
}

impl LoadGuard {
  /// Counts work that is about to be sent.
  pub(crate) fn new(gateway: &Rc<Gateway>, endpoint: &Name, size: u64, units: u64) -> Self {
    gateway.endpoints.borrow_mut().record_send(endpoint, size);
    Self {
      endpoint: endpoint.clone(),
      gateway: gateway.clone(),
      outcome: AttemptOutcome::Cancelled,
      sent_ms: gateway.now_ms(),
      size,
      units,
    }
  }

  /// Sets the outcome.
  pub(crate) fn settle(&mut self, outcome: AttemptOutcome) {
    self.outcome = outcome;
  }

  /// The response, or its first chunk, has arrived now.
  pub(crate) fn answered(&mut self) {
    let took_ms = self.gateway.now_ms() - self.sent_ms;
    self.outcome = AttemptOutcome::Answered { took_ms };
  }

  fn settle_error(&mut self, error: &StageError) {
    self.outcome = match error {
      StageError::Unreachable => AttemptOutcome::Unreachable,
      StageError::NotRun(MISDIRECTED) | StageError::Unsent(_) | StageError::Lost(_) => {
        AttemptOutcome::Lost
      }
      StageError::Blocked | StageError::Unavailable(_) | StageError::LeftUnread { .. } => {
        AttemptOutcome::Cancelled
      }
      StageError::NotRun(_) => AttemptOutcome::Full,
    };
  }
}

impl Drop for LoadGuard {
  fn drop(&mut self) {
    self
      .gateway
      .finish_stage(&self.endpoint, self.size, self.units, self.outcome);
  }
}

/// The head of a response that was checked to belong to the request, with its body still to be read.
pub(crate) struct ResponseHead {
  /// The endpoint's entry when the request was sent.
  pub(crate) entry: EndpointEntry,
  pub(crate) sent_ms: u64,
  pub(crate) status: StatusCode,
  /// The headers as received, including hop-by-hop headers.
  pub(crate) raw_headers: HeaderMap,
  pub(crate) attributes: ResponseAttributes,
  pub(crate) body: Incoming,
  pub(crate) connection: Connection,
  /// Shows whether the endpoint outlives a response that ends with its connection.
  pub(super) witness: Option<EndWitness>,
  pub(crate) load_guard: LoadGuard,
}

impl ResponseHead {
  /// The headers to forward.
  pub(crate) fn headers(&self) -> HeaderMap {
    let mut headers = self.raw_headers.clone();
    remove_connection_headers(&mut headers);
    headers
  }

  /// The connection beside its own, which shows whether the process outlives that one.
  pub(crate) fn take_beside(&mut self) -> Option<Box<Connection>> {
    self.connection.beside.take()
  }

  /// The boxes that hold the record of the stream that it begins.
  pub(crate) fn hold(&self) -> Option<&SentHold> {
    self.connection.hold.as_ref()
  }

  /// The process that sends it.
  pub(crate) fn process(&self) -> Option<&Rc<ObservedProcess>> {
    self.connection.process.as_ref()
  }

  /// On which evidence its endpoint has the version of the entry.
  pub(crate) fn version_evidence(&self, gateway: &Gateway) -> VersionEvidence {
    version_evidence(gateway, &self.entry, &self.connection)
  }

  /// The connection that shows whether the endpoint outlives the response.
  pub(crate) fn witness(&self) -> Option<EndWitness> {
    self.witness.clone()
  }

  /// How the body's end is known.
  pub(crate) fn framing(&self) -> Framing {
    Framing::of(&self.raw_headers)
  }

  /// The end of the response to a request; `forwarded` is the number of events of the stream that have arrived, as far as it is known.
  pub(crate) fn answer_end<'a>(
    &'a self,
    request_id: &'a str,
    forwarded: Option<u64>,
  ) -> ConnectionEnd<'a> {
    ConnectionEnd {
      ended_at: Instant::now(),
      entry: &self.entry,
      forwarded,
      request_id,
      witness: self.witness.as_ref(),
    }
  }

  /// Reads the whole body within the bound on held bytes, confirms its end, and returns the connection to the pool.
  pub(crate) async fn buffer(
    self,
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
  ) -> Result<BufferedResponse, StageError> {
    self.buffer_body(gateway, request, BodyKind::Opaque).await
  }

  /// The same for a body in JSON.
  pub(crate) async fn buffer_json(
    self,
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
  ) -> Result<BufferedResponse, StageError> {
    self.buffer_body(gateway, request, BodyKind::Json).await
  }

  async fn buffer_body(
    mut self,
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    kind: BodyKind,
  ) -> Result<BufferedResponse, StageError> {
    let headers = self.headers();
    let body = match self.read_body(gateway, request, kind).await {
      Ok(body) => body,
      Err(error) => {
        if let StageError::LeftUnread { unread_ms } = error {
          let endpoint = &self.connection.endpoint;
          gateway.record_left_unread(request.id(), endpoint, UnreadCause::Memory, unread_ms);
        }
        self.load_guard.settle_error(&error);
        return Err(error);
      }
    };
    if self.status.is_server_error() {
      self.load_guard.settle(AttemptOutcome::Failed);
    } else {
      self.load_guard.answered();
    }
    gateway.keep_alive(self.connection, &self.raw_headers);
    Ok(BufferedResponse {
      body,
      entry: self.entry,
      headers,
      status: self.status,
    })
  }

  async fn read_body(
    &mut self,
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    kind: BodyKind,
  ) -> Result<BufferedBody, StageError> {
    let has_body = !self.body.is_end_stream();
    let mut body = BodyReader::new(gateway, request)
      .read(&mut self.body)
      .await?;
    if has_body && kind == BodyKind::Opaque && self.framing() == Framing::Connection {
      let was_sent = |id: &str| self.connection.may_have_carried(Some(id));
      if body.end_before_other_answer(&*gateway.codec, was_sent) {
        log::info!(
          "E596 other answer dropped: {} behind the response of {}",
          request.id(),
          self.entry.id
        );
      }
      let end = self.answer_end(request.id(), None);
      confirm_end(gateway, end).await?;
      if is_leaving(gateway, &self.entry) {
        confirm_end_again(gateway, end).await?;
      }
    }
    Ok(body)
  }
}

/// Whether a body shows by itself that it is whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyKind {
  /// It is invalid when it is truncated.
  Json,
  /// It does not.
  Opaque,
}

/// A response with its whole body.
pub(crate) struct BufferedResponse {
  /// The endpoint's entry when the request was sent.
  pub(crate) entry: EndpointEntry,
  pub(crate) status: StatusCode,
  pub(crate) headers: HeaderMap,
  pub(crate) body: BufferedBody,
}

/// A stage of a request that is to be sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingStage<'a> {
  pub(crate) entry: &'a EndpointEntry,
  pub(crate) proxy_headers: &'a ProxyHeaders,
  /// Its weight in the endpoint's load.
  pub(crate) size: u64,
  /// Units of work by which the response time is normalised.
  pub(crate) units: u64,
  /// The permit that its reservation acquired.
  pub(crate) permit: Permit,
}

impl<'a> OutgoingStage<'a> {
  /// A stage without a reservation's permit.
  pub(crate) fn new(
    entry: &'a EndpointEntry,
    proxy_headers: &'a ProxyHeaders,
    size: u64,
    units: u64,
  ) -> Self {
    Self {
      entry,
      proxy_headers,
      permit: Permit::NotNeeded,
      size,
      units,
    }
  }
}

/// Sends a stage of a request to an endpoint, within the endpoint's rate limit, and reads the response's head.
pub(crate) async fn send_stage(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  stage: OutgoingStage<'_>,
) -> Result<ResponseHead, StageError> {
  let entry = stage.entry;
  let permit = match stage.permit {
    Permit::Taken => Permit::Taken,
    Permit::NotNeeded => acquire_permit(gateway, entry, request.permit_caller()).await?,
  };
  let sent = send_permitted(gateway, request, stage).await;
  let is_unsent = matches!(&sent, Err(error) if error.is_unsent());
  if is_unsent && permit == Permit::Taken {
    return_permit(gateway, entry);
  }
  sent
}

/// Sends a stage that has its permit.
async fn send_permitted(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  stage: OutgoingStage<'_>,
) -> Result<ResponseHead, StageError> {
  let OutgoingStage {
    entry,
    proxy_headers,
    size,
    units,
    ..
  } = stage;
  // Callers resend a request that crashes endpoints under other ids and to other boxes, so the bound on attempts does not cover
  // it.
  let before = request.send_mode.get();
  if !request.begin_send(gateway, &proxy_headers.stage) {
    return Err(StageError::Blocked);
  }
  let mut load_guard = LoadGuard::new(gateway, &entry.id, size, units);
  let sent_ms = gateway.now_ms();
  let call = OutgoingCall {
    begins: Some(BeginningStream {
      asked: request.asked_holders.clone(),
      key: request.stream_key(),
      ttl_ms: request.resumable_ms(gateway.now_ms()),
    }),
    id: request.attributes.request_id.clone(),
    purpose: purpose_of(request, proxy_headers),
    request: request.for_endpoint(&*gateway.codec, entry, proxy_headers),
  };
  request.sends.set(request.sends.get() + 1);
  let witness = begin_witness(gateway, request, entry, &proxy_headers.stage);
  let response = exchange(gateway, entry, call)
    .await
    .and_then(|(connection, response)| {
      let (head, body) = response.into_parts();
      let attributes = validate(gateway, entry, &head)?;
      if is_stream(request, &proxy_headers.stage)
        && head.status.is_success()
        && !is_event_stream(&head.headers)
      {
        return Err(StageError::Lost("success without an event stream".into()));
      }
      Ok((connection, head, body, attributes))
    });
  match response {
    Ok((connection, head, body, attributes)) => Ok(ResponseHead {
      witness: kept_witness(gateway, request, stage, witness, &head),
      attributes,
      body,
      connection,
      entry: entry.clone(),
      load_guard,
      raw_headers: head.headers,
      sent_ms,
      status: head.status,
    }),
    Err(error) => {
      if error.is_unsent() {
        request.undo_send(before);
        request.sends.set(request.sends.get() - 1);
      }
      if matches!(error, StageError::Unreachable | StageError::Unsent(_)) {
        request.met_unreachable.set(true);
      }
      load_guard.settle_error(&error);
      Err(error)
    }
  }
}

/// The kind of a stage's answers; `None` for those whose bodies show that they are whole.
fn answer_kind(
  request: &RoutedRequest,
  entry: &EndpointEntry,
  stage: &Stage,
) -> Option<AnswerKind> {
  if *stage == Stage::Prefill {
    return None;
  }
  Some(AnswerKind {
    is_stream: is_stream(request, stage),
    service: entry.service.clone(),
    version: entry.version.clone(),
  })
}

/// Opens a second connection beside a request whose answer may end with the first one.
fn begin_witness(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  entry: &EndpointEntry,
  stage: &Stage,
) -> Option<EndWitness> {
  let kind = answer_kind(request, entry, stage)?;
  let may_come = gateway.unframed_answers.borrow().may_come(&kind);
  may_come.then(|| EndWitness::begin(gateway, entry))
}

/// The second connection of a response that ends with the first one, if it was opened before that could end.
fn kept_witness(
  gateway: &Gateway,
  request: &RoutedRequest,
  stage: OutgoingStage<'_>,
  witness: Option<EndWitness>,
  head: &response::Parts,
) -> Option<EndWitness> {
  let kind = answer_kind(request, stage.entry, &stage.proxy_headers.stage)?;
  let is_framed = Framing::of(&head.headers) != Framing::Connection;
  if head.status.is_success() {
    let mut answers = gateway.unframed_answers.borrow_mut();
    answers.record(&kind, is_framed);
  }
  witness.filter(|witness| !is_framed && witness.was_opened())
}

/// Whether a stage is answered with a stream.
fn is_stream(request: &RoutedRequest, stage: &Stage) -> bool {
  request.route.kind.is_stream() && *stage != Stage::Prefill
}

/// Whether a response is a stream, by its type.
fn is_event_stream(headers: &HeaderMap) -> bool {
  let Some(content_type) = headers.get(CONTENT_TYPE) else {
    return false;
  };
  let essence = content_type.as_bytes().split(|byte| *byte == b';').next();
  essence.is_some_and(|essence| essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
}

/// The purpose of a stage of a caller's request.
fn purpose_of(request: &RoutedRequest, headers: &ProxyHeaders) -> Purpose {
  let stage = &headers.stage;
  let is_resumed = request.attributes.last_event_id.is_some();
  let may_repeat = request.route.kind.may_retry() || is_resumed;
  match is_stream(request, stage) {
    true if may_repeat && headers.last_event_id.is_some() => Purpose::ResumedStream,
    true if may_repeat => Purpose::ResumableStream,
    // A prefill runs nothing.
    _ if may_repeat || *stage == Stage::Prefill => Purpose::Request,
    _ => Purpose::RequestOnce,
  }
}

/// Sends a request on an idle connection, or on a new one when there is none or it was closed before use.
pub(crate) async fn exchange(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  call: OutgoingCall,
) -> Result<(Connection, Response<Incoming>), StageError> {
  // The endpoint's state may have changed since it was chosen.
  check_available(gateway, entry, call.purpose)?;
  if let Some(connection) = take_idle(gateway, entry, &call) {
    match exchange_on(gateway, entry, connection, call.clone()).await {
      Err(StageError::Unreachable | StageError::Unsent(_)) => {}
      result => {
        if result.is_ok() {
          gateway.record_reached(entry);
        }
        return result;
      }
    }
  }
  let connection = open_connection(gateway, entry).await?;
  check_available(gateway, entry, call.purpose)?;
  exchange_on(gateway, entry, connection, call).await
}

/// An idle connection for a call. One on which an answer to another call may come first is closed rather than used for a request
/// that may run only once: the connection that takes its place has carried no call.
fn take_idle(gateway: &Gateway, entry: &EndpointEntry, call: &OutgoingCall) -> Option<Connection> {
  let id = call.id.as_deref();
  let connection = gateway.pool.take_idle(entry, id, gateway.now_ms())?;
  let is_doubtful = call.purpose == Purpose::RequestOnce && gateway.expects_stray_answer(entry);
  (!is_doubtful).then_some(connection)
}

/// A connection on which an engine has confirmed its listed start. A report that can't be decoded may be damaged on its way, and is
/// requested once more.
async fn confirmed_connection(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  mut connection: Connection,
) -> Result<Connection, StageError> {
  if confirm_start(gateway, entry, &mut connection).await? == AfterReport::Open {
    return Ok(connection);
  }
  // A start that is confirmed after a connection was opened is the one that the connection leads to, or the connection is dead.
  let mut connection = open_connection(gateway, entry).await?;
  let mut reporting = open_connection(gateway, entry).await?;
  if confirm_start(gateway, entry, &mut reporting).await? == AfterReport::Unreadable {
    return Err(Unavailable::Unconfirmed.into());
  }
  connection.confirmed_start_ms = entry.started_ms;
  Ok(connection)
}

/// Sends a request on a connection. Only the listed start of an endpoint gets a resumable stream, and one that goes on only if the
/// version of the process is known.
async fn exchange_on(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  mut connection: Connection,
  call: OutgoingCall,
) -> Result<(Connection, Response<Incoming>), StageError> {
  let purpose = call.purpose;
  let is_stream = matches!(purpose, Purpose::ResumableStream | Purpose::ResumedStream);
  if is_stream && !has_confirmed_start(&connection, entry) {
    connection = confirmed_connection(gateway, entry, connection).await?;
    check_available(gateway, entry, purpose)?;
  }
  if is_stream
    && learn_reported_start(gateway, entry, &mut connection).await? == AfterReport::Closed
  {
    connection = open_connection(gateway, entry).await?;
  }
  connection.hold = None;
  if is_stream && !version_evidence(gateway, entry, &connection).is_known() {
    if purpose == Purpose::ResumedStream {
      return Err(Unavailable::VersionUnknown.into());
    }
    if let Some(begins) = &call.begins {
      record_unknown_version(gateway, entry, begins.ttl_ms).await?;
    }
    let held = hold_stream(gateway, entry, call.begins.clone());
    let (hold, ()) = join(held, observe_beside(gateway, entry, &mut connection)).await;
    connection.hold = hold;
    check_available(gateway, entry, purpose)?;
  }
  let response = send_call(gateway, entry, &mut connection, call).await?;
  Ok((connection, response))
}

/// Has the store show that streams of a service may have begun at a version that is not known, which no record names.
async fn record_unknown_version(
  gateway: &Gateway,
  entry: &EndpointEntry,
  resumable_ms: u64,
) -> Result<(), StageError> {
  let unknown = ServiceVersion::unknown(&entry.service);
  let missing = || {
    let endpoints = gateway.endpoints.borrow();
    let record = endpoints.version_records().covers(&unknown, resumable_ms);
    match record {
      Some(_) => BTreeSet::new(),
      None => [unknown.clone()].into(),
    }
  };
  match gateway.await_version_records(missing).await {
    true => Ok(()),
    false => Err(Unavailable::VersionUnrecorded.into()),
  }
}

/// Observes the process of a connection by another one as well: its endpoint may end the connection of a stream, and run on.
async fn observe_beside(gateway: &Rc<Gateway>, entry: &EndpointEntry, connection: &mut Connection) {
  match open_connection(gateway, entry).await {
    Ok(beside) => connection.beside = Some(Box::new(beside)),
    Err(error) => log::info!("E597 not observed: {}: {error}", entry.id),
  }
}

/// Fails when the endpoint is no longer listed, when another one has its address or, unless something is released there, takes no work.
fn check_available(
  gateway: &Gateway,
  entry: &EndpointEntry,
  purpose: Purpose,
) -> Result<(), StageError> {
  let now_ms = gateway.now_ms();
  let mut endpoints = gateway.endpoints.borrow_mut();
  match (endpoints.check(entry, now_ms), purpose) {
    (
      Ok(()),
      Purpose::Request
      | Purpose::RequestOnce
      | Purpose::ResumableStream
      | Purpose::ResumedStream
      | Purpose::Call
      | Purpose::Report,
    ) => {
      if let Some(requested_ms) = endpoints.record_probe(&entry.id, now_ms) {
        log::info!(
          "E537 first request after its backoff: {}, requested {} ms ago",
          entry.id,
          now_ms - requested_ms
        );
      }
      Ok(())
    }
    (Err(unavailable @ (Unavailable::Unlisted | Unavailable::Displaced)), _) => {
      Err(unavailable.into())
    }
    (_, Purpose::Release) => Ok(()),
    (
      Err(unavailable),
      Purpose::Request
      | Purpose::RequestOnce
      | Purpose::ResumableStream
      | Purpose::ResumedStream
      | Purpose::Call
      | Purpose::Report,
    ) => {
      gateway.counters.not_sent.inc();
      Err(unavailable.into())
    }
  }
}

/// Reads whether a request has run, and checks that its response may be forwarded.
fn validate(
  gateway: &Gateway,
  entry: &EndpointEntry,
  head: &response::Parts,
) -> Result<ResponseAttributes, StageError> {
  let attributes = gateway.codec.response_attributes(&head.headers);
  if let Some(load) = attributes.load {
    gateway
      .endpoints
      .borrow_mut()
      .record_load(&entry.id, load, gateway.now_ms());
  }
  if attributes.not_run {
    return Err(StageError::NotRun(head.status.as_u16()));
  }
  if head.status.as_u16() == MISDIRECTED {
    return Err(StageError::NotRun(MISDIRECTED));
  }
  // Callers take these statuses to mean that the request has not run, which the endpoint does not state.
  if matches!(head.status.as_u16(), 408 | 429 | 503) {
    return Err(StageError::Lost(format!(
      "status {} without stating whether the request ran",
      head.status
    )));
  }
  if head.headers.contains_key(CONTENT_ENCODING) {
    return Err(StageError::Lost(
      "response with a content encoding that was not requested".into(),
    ));
  }
  Ok(attributes)
}
