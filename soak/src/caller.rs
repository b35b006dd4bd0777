//! A caller: sends one request after another over a connection to a box, and disconnects early at times.

use {
  super::{
    caller_connection::CallerConnection,
    caller_key::{CallerKey, MAX_TOKENS, PROMPT_TOKENS},
    configuration::HOST,
    content::{self, CRASHING_BODY, CRASHING_NAME, CRASHING_SEGMENT, SOUND_SEGMENT},
    departures::{Departure, Departures, RECONNECT_DELAY},
    fault::CallerHabit,
    fleet::Fleet,
    hall::Hall,
    recorder::Recorder,
    records::{Outcome, RequestRecord, ResumedStream},
    request_kind::RequestKind,
    work::RequestContent,
  },
  bytes::Bytes,
  http::{HeaderMap, Method, Request, Response, header::CONNECTION},
  http_body_util::{BodyExt, Full},
  hyper::body::Incoming,
  judge::RawRequest,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{sync::Arc, time::Duration},
  tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
  },
};

/// Time after the deadline at which a request counts as unanswered.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1_500);
/// Share of requests whose caller disconnects early.
const DISCONNECT_CHANCE: f64 = 0.05;
/// Time from sending a request to an early disconnect.
const DISCONNECT_AFTER_MS: (u64, u64) = (5, 400);
/// The same while callers leave before the first event.
const GIVE_UP_CHANCE: f64 = 0.2;
const GIVE_UP_AFTER_MS: (u64, u64) = (1, 60);
/// How much shorter the interval between requests is in a burst.
const BURST_FACTOR: u64 = 2;
/// Requests with which a caller resumes a stream that was cut.
const MAX_RESUMPTIONS: u32 = 2;
/// The same where all boxes are killed at once: the first ones meet none.
const MAX_RESUMPTIONS_AFTER_RESTARTS: u32 = 8;

/// The kinds of requests that callers mix.
const MIXED_KINDS: [RequestKind; 4] = [
  RequestKind::Retryable,
  RequestKind::NonRetryable,
  RequestKind::Stream,
  RequestKind::ResumableStream,
];

/// One seed in this many has long prompts; in those, a segment crashes engines, and not a body.
const LONG_PROMPTS_EVERY: u64 = 4;

/// The requests that a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerWork {
  /// All kinds of requests that do not crash endpoints.
  Mixed,
  /// Only the request that crashes engines.
  Crashing,
  /// Only requests with a prompt segment that crashes engines, no two of them alike.
  CrashingSegment,
}

impl CallerWork {
  /// The work of the caller whose requests crash engines, in turn by seed.
  pub(crate) fn crashing(seed: u64) -> Self {
    if seed.is_multiple_of(2) {
      Self::Crashing
    } else {
      Self::CrashingSegment
    }
  }
}

pub(crate) struct Caller {
  work: CallerWork,
  fleet: Arc<Fleet>,
  name: String,
  random: ChaCha8Rng,
  departures: Departures,
  connection: CallerConnection,
  box_index: usize,
  count: u64,
  max_resumptions: u32,
  waits_for_boxes: bool,
  /// Whether its prompts have many segments, in turn by seed.
  has_long_prompts: bool,
  /// The hall whose boxes it prefers.
  home: Option<Hall>,
}

impl Caller {
  pub(crate) fn new(fleet: Arc<Fleet>, number: u64, seed: u64, work: CallerWork) -> Self {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number + 1);
    Self {
      box_index: 0,
      connection: CallerConnection::new(&fleet.recorder.raw),
      count: 0,
      departures: Departures::new(number, seed),
      max_resumptions: MAX_RESUMPTIONS,
      waits_for_boxes: false,
      has_long_prompts: seed % LONG_PROMPTS_EVERY == LONG_PROMPTS_EVERY - 1,
      home: None,
      fleet,
      name: format!("c{number}"),
      random,
      work,
    }
  }

  /// Makes the caller resume streams until the boxes are back.
  pub(crate) fn resume_after_restarts(&mut self) {
    self.max_resumptions = MAX_RESUMPTIONS_AFTER_RESTARTS;
  }

  /// Makes the caller prefer boxes of a hall.
  pub(crate) fn stay_in(&mut self, home: Hall) {
    self.home = Some(home);
  }

  /// The hall whose boxes the caller prefers at present.
  fn hall(&self) -> Option<Hall> {
    self.home.map(|home| self.fleet.hall_of_callers(home))
  }

  /// Makes requests that meet no box count for nothing, as long as the first one has time.
  pub(crate) fn wait_for_boxes(&mut self) {
    self.waits_for_boxes = true;
  }

  /// Sends requests until `stopped` is set.
  pub(crate) async fn run(mut self, stopped: watch::Receiver<bool>) {
    self.reconnect();
    let mut hall = self.hall();
    while !*stopped.borrow() {
      if hall != self.hall() {
        hall = self.hall();
        self.reconnect();
      }
      let is_reusable = self.send_request().await;
      let habit = self.fleet.habit();
      if !is_reusable {
        self.reconnect();
        if habit == Some(CallerHabit::RepeatAtOnce) {
          continue;
        }
        sleep(RECONNECT_DELAY).await;
      }
      let (min_ms, max_ms) = self.fleet.profile.think_time_ms;
      let mut think_time_ms = self.random.random_range(min_ms..=max_ms);
      if habit == Some(CallerHabit::Burst) {
        think_time_ms /= BURST_FACTOR;
      }
      sleep(Duration::from_millis(think_time_ms)).await;
    }
  }

  /// Deadline of a request.
  fn deadline(&self) -> Duration {
    Duration::from_millis(self.fleet.profile.deadline_ms)
  }

  /// Opens a new connection to a ready box.
  fn reconnect(&mut self) {
    self.connection = CallerConnection::new(&self.fleet.recorder.raw);
    let draw = self.random.random();
    self.box_index = self.fleet.ready_box(draw, self.hall());
  }

  /// Opens a new connection for a stream whose last response ended, or, if the caller has left it, to another box.
  fn reconnect_after(&mut self, last_id: &str) {
    let records = self.fleet.recorder.records();
    let last = records.requests.get(last_id);
    let has_moved = last.is_some_and(RequestRecord::has_left);
    drop(records);
    if !has_moved {
      return self.reconnect();
    }
    self.connection = CallerConnection::new(&self.fleet.recorder.raw);
    let draw = self.departures.draw_box();
    self.box_index = self.fleet.other_ready_box(draw, self.box_index);
  }

  fn kind(&mut self) -> RequestKind {
    if self.work != CallerWork::Mixed {
      return RequestKind::CrashingStream;
    }
    let weights = self.fleet.profile.kinds;
    let mut draw = self.random.random_range(0..weights.iter().sum());
    for (kind, weight) in MIXED_KINDS.into_iter().zip(weights) {
      if draw < weight {
        return kind;
      }
      draw -= weight;
    }
    RequestKind::ResumableStream
  }

  /// One request in five belongs to the organisation over its limit.
  fn key(&mut self) -> CallerKey {
    if self.work != CallerWork::Mixed {
      return CallerKey::Captions;
    }
    match self.random.random_range(0..10) {
      0..3 => CallerKey::Captions,
      3..5 => CallerKey::Lectures,
      5..7 => CallerKey::Hot,
      7..9 => CallerKey::Transferred,
      _ => CallerKey::ForVersion(self.fleet.newest_version()),
    }
  }

  /// Sends one request, and resumes its stream if that is cut. Returns whether the connection can be reused.
  async fn send_request(&mut self) -> bool {
    let kind = self.kind();
    let key = self.key();
    let (id, mut is_reusable) = self.send_once(kind, key, None).await;
    let mut last_id = id.clone();
    let until = Instant::now() + self.deadline();
    let mut resumptions = 0;
    while resumptions < self.max_resumptions && (!self.waits_for_boxes || Instant::now() < until) {
      let Some(stream) = self.stream_to_resume(&id, &last_id) else {
        break;
      };
      self.reconnect_after(&last_id);
      sleep(self.departures.return_delay()).await;
      (last_id, is_reusable) = self.send_once(kind, key, Some(stream)).await;
      resumptions += u32::from(!self.waits_for_boxes || self.has_met_box(&last_id));
    }
    is_reusable
  }

  /// Whether a request got a response.
  fn has_met_box(&self, id: &str) -> bool {
    let records = self.fleet.recorder.records();
    let outcome = records
      .requests
      .get(id)
      .and_then(|request| request.outcome.as_ref());
    !matches!(outcome, Some(Outcome::ConnectionLost { status: None, .. }))
  }

  /// The stream that a request began, if it is resumable and the last request for it did not complete it.
  fn stream_to_resume(&self, first_id: &str, last_id: &str) -> Option<ResumedStream> {
    let records = self.fleet.recorder.records();
    let request = records.requests.get(last_id)?;
    if request.kind != RequestKind::ResumableStream
      || request.is_served()
      || request.outcome == Some(Outcome::Disconnected)
    {
      return None;
    }
    let first = records.requests.get(first_id)?;
    let version = content::versions(first.body())
      .into_iter()
      .next()?
      .to_owned();
    let before = request.resumes.as_ref().map(|stream| stream.last_event);
    let last_event = content::last_event(request.body()).or(before)?;
    drop(records);
    Some(ResumedStream {
      engines: self.fleet.sound_engines(&version),
      first_id: first_id.into(),
      last_event,
    })
  }

  /// When the caller of the next request disconnects, if it does so early.
  fn draw_disconnect(&mut self) -> Option<u64> {
    if self.work != CallerWork::Mixed {
      return None;
    }
    let (chance, (min_ms, max_ms)) = match self.fleet.habit() {
      Some(CallerHabit::GiveUp) => (GIVE_UP_CHANCE, GIVE_UP_AFTER_MS),
      Some(CallerHabit::RepeatAtOnce | CallerHabit::Burst) | None => {
        (DISCONNECT_CHANCE, DISCONNECT_AFTER_MS)
      }
    };
    let leaves = self.random.random_bool(chance);
    leaves.then(|| self.random.random_range(min_ms..=max_ms))
  }

  /// The id of the next request. That of a stream may tell the number of its events.
  fn next_id(&mut self) -> String {
    self.count += 1;
    let id = format!("{}-{}", self.name, self.count);
    match self.fleet.profile.events {
      Some((min, max)) => content::id_with_events(&id, self.random.random_range(min..=max)),
      None => id,
    }
  }

  /// Sends one request and records its outcome. Returns its id, and whether the connection can be reused.
  async fn send_once(
    &mut self,
    kind: RequestKind,
    key: CallerKey,
    resumes: Option<ResumedStream>,
  ) -> (String, bool) {
    let id = self.next_id();
    let disconnects_after_ms = self.draw_disconnect();
    let departure = match kind {
      RequestKind::ResumableStream => self.departures.draw(),
      _ => None,
    };
    let recorder = self.fleet.recorder.clone();
    let request = self.request(kind, key, &id, resumes.as_ref());
    let (method, uri, body) = (request.method(), request.uri(), request.body());
    let content = RequestContent::new(method, uri, body, kind.service());
    recorder.record_sent(&id, content);
    let raw_request = recorder
      .raw
      .record_request(raw_request(&id, kind, resumes.as_ref()));
    recorder.record_request(&id, kind, key, self.box_index, resumes);
    let request = request.map(Full::new);
    let timeout_after =
      disconnects_after_ms.map_or(self.deadline() + RESPONSE_MARGIN, Duration::from_millis);
    let result = timeout(
      timeout_after,
      self.exchange(request, raw_request, departure),
    )
    .await;
    let (outcome, is_reusable) = match result {
      Ok(Exchange::Ended {
        outcome,
        is_reusable,
      }) => (outcome, is_reusable),
      Ok(Exchange::Left {
        body,
        unread,
        kept_open,
      }) => {
        recorder.record_outcome(&id, Outcome::Moved { body });
        tokio::spawn(close_later(recorder.clone(), id.clone(), unread, kept_open));
        return (id, false);
      }
      Err(_) if disconnects_after_ms.is_some() => (Outcome::Disconnected, false),
      Err(_) => (Outcome::Unanswered, false),
    };
    recorder.record_end(&id);
    recorder.record_outcome(&id, outcome);
    (id, is_reusable)
  }

  fn request(
    &self,
    kind: RequestKind,
    key: CallerKey,
    id: &str,
    resumes: Option<&ResumedStream>,
  ) -> Request<Bytes> {
    let address = self.fleet.boxes[self.box_index].caller_link.address;
    let (method, name, body): (_, _, &[u8]) = match kind {
      RequestKind::Retryable => (Method::GET, id, b""),
      RequestKind::CrashingStream if self.work == CallerWork::Crashing => {
        (Method::POST, CRASHING_NAME, CRASHING_BODY)
      }
      RequestKind::CrashingStream
      | RequestKind::NonRetryable
      | RequestKind::Stream
      | RequestKind::ResumableStream => (Method::POST, id, b"prompt"),
    };
    let second = if self.work == CallerWork::CrashingSegment {
      CRASHING_SEGMENT
    } else {
      SOUND_SEGMENT
    };
    let segments = content::prompt_segments(self.has_long_prompts, second, id);
    let mut request = Request::new(Bytes::from_static(body));
    *request.method_mut() = method;
    let uri = format!("http://{address}{}{name}", kind.path());
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let deadline = self.deadline().as_millis().to_string();
    let tokens = format!("{PROMPT_TOKENS},{MAX_TOKENS}");
    let authorization = format!("Bearer {}", key.text());
    for (name, value) in [
      ("host", HOST),
      ("x-request-id", id),
      ("x-deadline-ms", &deadline),
      ("x-token-counts", &tokens),
      ("x-prompt-prefix", &segments),
      ("authorization", &authorization),
      ("x-tenant", "claimed"),
    ] {
      if let Ok(value) = value.parse() {
        request.headers_mut().insert(name, value);
      }
    }
    if let Some(stream) = resumes
      && let Ok(first_id) = stream.first_id.parse()
    {
      let headers = request.headers_mut();
      headers.insert("resumes", first_id);
      headers.insert("last-event-id", stream.last_event.into());
    }
    request
  }

  /// Records whether the response signals that its endpoint is leaving, or advertises a limit.
  fn record_signals(&self, headers: &HeaderMap) {
    let Some(incarnation) = receipt(headers) else {
      return;
    };
    if headers.contains_key("server-leaving") {
      self
        .fleet
        .recorder
        .record_leaving_received(self.box_index, incarnation);
    }
    if headers.contains_key("server-limit") {
      self
        .fleet
        .recorder
        .record_limit_received(self.box_index, incarnation);
    }
  }

  async fn exchange(
    &mut self,
    request: Request<Full<Bytes>>,
    raw_request: usize,
    departure: Option<Departure>,
  ) -> Exchange {
    let address = self.fleet.boxes[self.box_index].caller_link.address;
    match self.connection.send(address, request, raw_request).await {
      Ok(response) => {
        self.record_signals(response.headers());
        read(response, departure).await
      }
      Err(_) => Exchange::Ended {
        is_reusable: false,
        outcome: Outcome::ConnectionLost {
          body: String::new(),
          status: None,
        },
      },
    }
  }
}

/// A request as it is judged.
fn raw_request(id: &str, kind: RequestKind, resumes: Option<&ResumedStream>) -> RawRequest {
  let stream = resumes.map_or(id, |stream| &stream.first_id);
  RawRequest {
    id: id.into(),
    last_event_id: resumes.map(|stream| stream.last_event),
    may_resume: kind.may_resume(),
    stream: kind.is_stream().then(|| stream.to_owned()),
  }
}

/// How an exchange with a box ended for the caller.
enum Exchange {
  /// The response ended, or the connection was lost.
  Ended {
    outcome: Outcome,
    /// Whether the connection can be reused.
    is_reusable: bool,
  },
  /// The caller leaves while the box writes.
  Left {
    body: String,
    /// The rest of the response; the connection closes when it is dropped.
    unread: Incoming,
    /// How long the connection stays open.
    kept_open: Duration,
  },
}

/// Closes the connection of a caller that went to another box.
async fn close_later(recorder: Recorder, id: String, unread: Incoming, kept_open: Duration) {
  sleep(kept_open).await;
  drop(unread);
  recorder.record_end(&id);
}

/// The endpoint's incarnation, from the response's receipt.
fn receipt(headers: &HeaderMap) -> Option<&str> {
  headers.get("x-response-seal")?.to_str().ok()
}

/// Reads a response to its end, until the connection is lost, or until the caller leaves.
async fn read(response: Response<Incoming>, departure: Option<Departure>) -> Exchange {
  let (head, mut body) = response.into_parts();
  let status = head.status.as_u16();
  let closes = head
    .headers
    .get(CONNECTION)
    .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
  let receipt = receipt(&head.headers).map(String::from);
  let mut bytes = Vec::new();
  let mut is_complete = true;
  while let Some(frame) = body.frame().await {
    match frame {
      Ok(frame) => {
        bytes.extend(frame.into_data().unwrap_or_default());
        if let Some(departure) = departure
          && content::events(&String::from_utf8_lossy(&bytes)).len() >= departure.after_events
        {
          return Exchange::Left {
            body: String::from_utf8_lossy(&bytes).into_owned(),
            kept_open: departure.kept_open,
            unread: body,
          };
        }
      }
      Err(_) => {
        is_complete = false;
        break;
      }
    }
  }
  let body = String::from_utf8_lossy(&bytes).into_owned();
  let outcome = if is_complete {
    Outcome::Complete {
      body,
      receipt,
      status,
    }
  } else {
    Outcome::ConnectionLost {
      body,
      status: Some(status),
    }
  };
  Exchange::Ended {
    is_reusable: is_complete && !closes && status < 500,
    outcome,
  }
}
