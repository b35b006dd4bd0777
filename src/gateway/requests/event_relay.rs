//! Forwards the events of a stream to the caller, across all engines that generate it.

use {
  super::{
    end_check::{EndCheck, EndDoubt, Received},
    event_block::BlockKind,
    event_order::{EventOrder, EventPlace, Misplaced},
    event_splitter::{EventSplitter, SseEvent},
    response::StreamAborted,
    stream_request::StreamRequest,
    stream_send::SILENCE_TIMEOUT_MS,
    takeover::{Race, Takeover, configurations},
  },
  crate::gateway::{
    decisions::{AnswerEnd, AttemptOutcome, LateReading, NoiseBudget, Numbering, UnreadTime},
    edge::{EndpointEntry, SoftwareVersion},
    quarantine::{is_past_beginning, record_lost_stage, record_sound_segments, record_success},
    resumption::record_stream,
    stages::{Framing, ResponseHead, RoutedRequest, StageError},
    state::{Gateway, UnreadCause},
  },
  bytes::Bytes,
  http_body_util::BodyExt,
  hyper::body::Frame,
  std::{fmt::Display, rc::Rc, time::Duration},
  tokio::{
    task::coop::consume_budget,
    time::{sleep, timeout},
  },
};

/// What was read of the current answer.
enum Read {
  /// The next event for the caller.
  Event(Bytes),
  /// Nothing for the caller.
  Nothing,
  /// The answer's end.
  End(AnswerEnd),
}

/// Blocks of a stream that are logged because its caller does not get them.
const MAX_LOGGED_BLOCKS: u32 = 8;

/// The longest pause between two looks at an engine's noise.
const MAX_PAUSE_MS: u64 = 250;

/// How long after the deadline bytes that have arrived may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Events of an answer that hold no token, such as the one that marks its end.
const MAX_EVENTS_WITHOUT_TOKEN: u64 = 16;

/// What the current answer has brought last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tail {
  /// Nothing yet.
  Nothing,
  /// An event.
  Event,
  /// Bytes that are no event, and events before them.
  NoiseAfterEvent,
  /// Bytes that are no event, and no event.
  NoiseAlone,
}

impl Tail {
  fn after_noise(self) -> Self {
    match self {
      Self::Event | Self::NoiseAfterEvent => Self::NoiseAfterEvent,
      Self::Nothing | Self::NoiseAlone => Self::NoiseAlone,
    }
  }
}

/// Forwards the events of a stream, and resumes it at another engine when it is interrupted.
pub(crate) struct EventRelay {
  stream: StreamRequest,
  /// The version in the entry of the engine that answered first.
  listed_version: SoftwareVersion,
  head: Option<ResponseHead>,
  splitter: EventSplitter,
  order: EventOrder,
  tail: Tail,
  /// Blocks that the caller does not get.
  not_forwarded: u32,
  is_finished: bool,
  end_check: EndCheck,
  /// Events that were forwarded, comments aside.
  events: u64,
  first_event_recorded: bool,
  /// When the current endpoint sent the first bytes of the body.
  answering_since_ms: Option<u64>,
  /// Whether the answer has shown that the prompt's segments are sound.
  has_sound_segments: bool,
  /// When the last event was forwarded.
  last_event_ms: Option<u64>,
  /// The longest time between two events so far.
  longest_pause_ms: u64,
  /// Whether the current engine is silent.
  is_overdue: bool,
  /// Whether the current answer has lacked an event, or has held a damaged or a foreign one: its engine may do so again.
  is_answer_spoilt: bool,
  /// For how long the current engine's events have been left unread.
  unread: UnreadTime,
  late: LateReading,
  /// When the caller was last given bytes.
  given_ms: Option<u64>,
  /// What the current answer has brought that is no event.
  noise: NoiseBudget,
  /// Since when the current answer has brought bytes and no event.
  without_event_since_ms: Option<u64>,
}

impl EventRelay {
  pub(crate) fn new(mut stream: StreamRequest, mut head: ResponseHead) -> Self {
    stream.record_beginning(&mut head);
    let listed_version = head.entry.version.clone();
    let numbering = numbering(&stream.gateway, &head.entry);
    let order = EventOrder::new(stream.last_event_id, stream.may_retry(), numbering);
    Self {
      answering_since_ms: None,
      end_check: EndCheck::default(),
      events: 0,
      first_event_recorded: false,
      given_ms: None,
      has_sound_segments: false,
      head: Some(head),
      is_answer_spoilt: false,
      is_finished: false,
      is_overdue: false,
      last_event_ms: None,
      late: LateReading::default(),
      listed_version,
      longest_pause_ms: 0,
      noise: NoiseBudget::default(),
      not_forwarded: 0,
      order,
      splitter: EventSplitter::default(),
      stream,
      tail: Tail::Nothing,
      unread: UnreadTime::default(),
      without_event_since_ms: None,
    }
  }

  /// The box that forwards the stream.
  pub(super) fn gateway(&self) -> &Rc<Gateway> {
    &self.stream.gateway
  }

  /// The request.
  pub(super) fn request(&self) -> &Rc<RoutedRequest> {
    &self.stream.request
  }

  /// The engine was left unread for some time, until now.
  pub(super) fn record_pause(&mut self, paused_ms: u64) {
    let now_ms = self.stream.gateway.now_ms();
    self.unread.record_pause(paused_ms, now_ms);
  }

  /// The next bytes for the caller; `None` after the stream's end.
  pub(super) async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
    self.record_caller_pause();
    loop {
      if self.is_finished {
        return None;
      }
      let read = match self.splitter.next_event() {
        Some(event) => self.take_block(event),
        None => self.read().await,
      };
      let error = match read {
        Ok(Read::Event(bytes)) => {
          self.given_ms = Some(self.stream.gateway.now_ms());
          return Some(Ok(bytes));
        }
        Ok(Read::Nothing) => {
          // A read may bring many blocks that the caller does not get.
          consume_budget().await;
          continue;
        }
        Ok(Read::End(end)) => match self.check_end(end).await {
          Ok(()) => return self.finish(end),
          Err(EndDoubt::GoesOn(error)) => error,
          Err(EndDoubt::Aborted(reason)) => {
            self.settle_sound_engine();
            return Some(Err(self.abort(reason.into())));
          }
        },
        Err(error) => {
          self.end_check.record_lost_run();
          error
        }
      };
      if let Err(error) = self.resume(error).await {
        if let Some(end) = self.end_check.complete_unchecked(&self.stream).await {
          return self.finish(end);
        }
        return Some(Err(self.abort(error)));
      }
    }
  }

  /// Records for how long the caller has left the stream unread.
  fn record_caller_pause(&mut self) {
    if let Some(given_ms) = self.given_ms {
      let now_ms = self.stream.gateway.now_ms();
      self.late.record_pause(now_ms - given_ms);
    }
  }

  /// Takes a block of lines of the current answer. Fails when the stream can't go on with the answer, or is read for too long after
  /// its deadline.
  fn take_block(&mut self, block: SseEvent) -> Result<Read, String> {
    let now_ms = self.stream.gateway.now_ms();
    let kind = block.kind();
    if kind == BlockKind::Event && block.has_data() {
      self.noise.record_event();
    } else {
      self.noise.record_noise(block.bytes.len(), now_ms);
    }
    let late_ms = self.stream.request.late_ms(now_ms);
    self.late.check(late_ms)?;
    if late_ms > 0 && self.has_surplus_events() {
      return Err("more events than tokens, until the deadline".into());
    }
    match kind {
      BlockKind::BlankLines => {
        self.record_heartbeat();
        Ok(Read::Event(block.bytes))
      }
      BlockKind::Event => self.take_event(block),
      BlockKind::IgnoredLines if self.order.knows_ignored_fields(&block) => self.take_event(block),
      BlockKind::AnswerHead if self.ends_with_connection() => {
        self.log_not_forwarded(&block, &"it begins another answer");
        self.splitter = EventSplitter::default();
        Ok(Read::End(AnswerEnd::NextAnswer))
      }
      BlockKind::AnswerHead | BlockKind::Noise => {
        self.log_not_forwarded(&block, &"it is no event");
        self.order.record_noise();
        self.tail = self.tail.after_noise();
        Ok(Read::Nothing)
      }
      BlockKind::Damaged | BlockKind::IgnoredLines => {
        self.log_not_forwarded(&block, &"it is damaged");
        self.refuse_answer();
        Err("an event is damaged".into())
      }
    }
  }

  /// Fails when an engine has sent nothing but bytes that are no event for as long as a silent one is waited for.
  fn check_noise(&mut self) -> Result<(), String> {
    let now_ms = self.stream.gateway.now_ms();
    let since_ms = *self.without_event_since_ms.get_or_insert(now_ms);
    if now_ms - since_ms < SILENCE_TIMEOUT_MS || !self.stream.may_retry() || !self.order.may_go_on()
    {
      return Ok(());
    }
    // The bytes are not looked through again with each read.
    self.without_event_since_ms = Some(now_ms);
    let is_noise = matches!(self.tail, Tail::NoiseAfterEvent | Tail::NoiseAlone)
      || self.noise.is_flood(now_ms)
      || self.splitter.lacks_fields();
    if !is_noise {
      return Ok(());
    }
    self.is_answer_spoilt = true;
    Err(format!(
      "no event for {} ms, bytes that are none",
      now_ms - since_ms
    ))
  }

  /// Records an event or a heartbeat, which shows that the engine lives. Heartbeats without end are noise.
  fn record_heartbeat(&mut self) {
    let now_ms = self.stream.gateway.now_ms();
    if !self.noise.is_flood(now_ms) {
      self.without_event_since_ms = None;
    }
  }

  /// Waits while the current answer has brought too much that is no event; returns whether it has waited. Fails when the engine has
  /// sent nothing else for too long, and at the deadline.
  async fn limit_noise(&mut self) -> Result<bool, String> {
    let now_ms = self.stream.gateway.now_ms();
    let remaining_ms = self.stream.request.remaining_ms(now_ms);
    if remaining_ms == 0 {
      return Err("bytes that are no event, until the deadline".into());
    }
    let pause_ms = self.noise.pause_ms(now_ms);
    if pause_ms == 0 {
      return Ok(false);
    }
    let pause_ms = pause_ms.min(remaining_ms).min(MAX_PAUSE_MS);
    sleep(Duration::from_millis(pause_ms)).await;
    self.check_noise()?;
    Ok(true)
  }

  fn take_event(&mut self, event: SseEvent) -> Result<Read, String> {
    match self.order.place(&event) {
      Ok(EventPlace::Next) => {
        self.record_event(&event);
        Ok(Read::Event(event.bytes))
      }
      Ok(EventPlace::Repeated) => {
        self.log_not_forwarded(&event, &"it was forwarded before");
        Ok(Read::Nothing)
      }
      Err(misplaced) => {
        self.log_not_forwarded(&event, &misplaced);
        if self.has_all_tokens() {
          return Ok(Read::End(AnswerEnd::NextAnswer));
        }
        self.refuse_answer();
        if matches!(misplaced, Misplaced::Gap { .. }) {
          self.end_check.record_event(&self.stream.gateway);
        }
        Err(misplaced.to_string())
      }
    }
  }

  /// The stream does not go on with the current answer, of which an event is refused. The events behind it still show how the version
  /// numbers them.
  fn refuse_answer(&mut self) {
    self.is_answer_spoilt = true;
    let mut rest = self.splitter.clone();
    while let Some(block) = rest.next_event() {
      if block.kind() == BlockKind::Event {
        self.order.record_refused(&block);
      }
    }
  }

  /// Logs that the current engine sent an event that its caller does not get.
  fn log_not_forwarded(&mut self, event: &SseEvent, reason: &dyn Display) {
    self.not_forwarded += 1;
    if self.not_forwarded > MAX_LOGGED_BLOCKS {
      return;
    }
    let engine = self.head.as_ref().map(|head| head.entry.id.clone());
    let framing = self.framing().map(|framing| framing.to_string());
    log::info!(
      "E527 event not forwarded: {} event {:?} of {} bytes from {}, framing {}, after event {:?}: {reason}",
      self.stream.request.id(),
      event.id,
      event.bytes.len(),
      engine.as_deref().unwrap_or("-"),
      framing.as_deref().unwrap_or("-"),
      self.stream.last_event_id
    );
  }

  /// Records that an event is forwarded: a resumed stream continues after it.
  fn record_event(&mut self, event: &SseEvent) {
    self.record_heartbeat();
    self.stream.last_event_id = self.stream.last_event_id.max(event.id);
    if event.has_data() {
      self.without_event_since_ms = None;
      self.tail = Tail::Event;
      self.events += 1;
      self.end_check.record_event(&self.stream.gateway);
      // Another engine may have sent comments before.
      if self.events == 1
        && let Some(head) = &self.head
      {
        record_stream(&self.stream.gateway, &self.stream.request, head);
      }
    }
    let now_ms = self.stream.gateway.now_ms();
    if let Some(last_ms) = self.last_event_ms.replace(now_ms) {
      self.longest_pause_ms = self.longest_pause_ms.max(now_ms - last_ms);
    }
    if !self.first_event_recorded {
      self.first_event_recorded = true;
      let took_ms = self.stream.gateway.now_ms() - self.stream.request.arrived_ms;
      self.stream.gateway.counters.first_event_ms.record(took_ms);
      let origin = self.head.as_ref().map(|head| &head.entry);
      log::info!(
        "E509 first event: {} after {took_ms} ms, from {} version {} started {}, evidence {}",
        self.stream.request.id(),
        origin.map_or("-", |entry| &entry.id),
        origin.map_or_else(SoftwareVersion::default, |entry| entry.version.clone()),
        origin.map_or_else(|| "-".into(), EndpointEntry::start_text),
        self.evidence_text()
      );
    }
  }

  /// On which evidence the current endpoint has its version, for logs.
  fn evidence_text(&self) -> String {
    let head = self.head.as_ref();
    let evidence = head.map(|head| head.version_evidence(&self.stream.gateway));
    evidence.map_or_else(|| "-".into(), |evidence| evidence.to_string())
  }

  /// Reads the next bytes from the engine.
  async fn read(&mut self) -> Result<Read, String> {
    if self.noise.is_flood(self.stream.gateway.now_ms()) && self.limit_noise().await? {
      return Ok(Read::Nothing);
    }
    let Some(head) = &mut self.head else {
      return Err("no endpoint".into());
    };
    let remaining_ms = self
      .stream
      .request
      .remaining_ms(self.stream.gateway.now_ms());
    let timeout_ms = if self.stream.may_retry() && self.order.may_go_on() {
      remaining_ms.min(SILENCE_TIMEOUT_MS)
    } else {
      remaining_ms
    };
    let since_ms = self.stream.gateway.now_ms();
    let mut read = timeout(Duration::from_millis(timeout_ms), head.body.frame()).await;
    let mut now_ms = self.stream.gateway.now_ms();
    if read.is_err() && self.stream.request.remaining_ms(now_ms) == 0 {
      // What has arrived is passed on by the connection's own task.
      read = timeout(READY_TIMEOUT, head.body.frame()).await;
      let waited_ms = self.stream.gateway.now_ms() - now_ms;
      self.late.record_wait(waited_ms);
      now_ms += waited_ms;
    }
    self.unread.record_read(now_ms - since_ms, now_ms);
    let Ok(frame) = read else {
      return self.handle_silence(timeout_ms, remaining_ms).await;
    };
    self.push_frame(frame)
  }

  /// Handles a silent engine: it is abandoned once another one has responded, or at the deadline.
  async fn handle_silence(&mut self, silent_ms: u64, remaining_ms: u64) -> Result<Read, String> {
    let has_all_tokens = self.has_all_tokens();
    let Some(head) = &mut self.head else {
      return Err("no endpoint".into());
    };
    let engine = head.connection.endpoint.clone();
    // At the deadline, an engine whose events were left unread is not the one that is late.
    if self.unread.unread_ms().is_none() {
      self.stream.gateway.mark_overdue(&engine);
      self.is_overdue = true;
    }
    let silent = format!("silent for {silent_ms} ms");
    if silent_ms >= remaining_ms {
      return Err(silent);
    }
    self.stream.log_silence(&engine, silent_ms);
    let now_ms = self.stream.gateway.now_ms();
    let answering_ms = self.answering_since_ms.map(|since_ms| now_ms - since_ms);
    let lost = self
      .stream
      .lost_stage(&head.entry, head.sent_ms, answering_ms, silent);
    let is_end_unconfirmed = head.framing() == Framing::Connection
      && (self.splitter.has_partial_event() || !has_all_tokens);
    let takeover = Takeover {
      has_failed: |frame: &Option<hyper::Result<_>>| match frame {
        Some(frame) => frame.is_err(),
        None => is_end_unconfirmed,
      },
      silent: lost,
    };
    let race = self.stream.race_takeover(head.body.frame(), takeover);
    let left = Duration::from_millis(remaining_ms - silent_ms);
    match timeout(left, race).await {
      Ok(Race::Current(frame) | Race::Failed(frame)) => self.push_frame(frame),
      Ok(Race::TakenOver(head, _)) => {
        self.stream.log_taken_over(&engine, &head);
        self.replace_head(*head);
        Ok(Read::Nothing)
      }
      Ok(Race::Stays) => Ok(Read::Nothing),
      Err(_) => Err("deadline exceeded".into()),
    }
  }

  /// Goes on with the response of another engine, after the last complete event; the connection to the former one is closed.
  fn replace_head(&mut self, mut head: ResponseHead) {
    self.stream.record_beginning(&mut head);
    let former = self.head.replace(head);
    self.end_check.record_lost_run();
    self.discard_partial_event();
    self.order.record_interruption();
    self.answering_since_ms = None;
    self.is_answer_spoilt = false;
    self.is_overdue = false;
    self.unread = UnreadTime::default();
    let interrupted = former.as_ref().map(|former| former.entry.version.clone());
    drop(former);
    self.record_resumed(&interrupted.unwrap_or_default());
  }

  /// Drops an event that the current engine has begun, which shows that the stream was not complete before.
  fn discard_partial_event(&mut self) {
    self.tail = Tail::Nothing;
    self.noise = NoiseBudget::default();
    self.without_event_since_ms = None;
    if self.splitter.partial_kind().is_some() {
      self.end_check.record_event(&self.stream.gateway);
    }
    self.splitter = EventSplitter::default();
  }

  /// Records that another endpoint goes on with the stream, which `version` of its software had begun.
  fn record_resumed(&self, version: &SoftwareVersion) {
    let Some(head) = &self.head else { return };
    self.stream.gateway.counters.resumed.inc();
    log::info!(
      "E557 stream resumed: {} after event {:?} at {} version {} started {}, evidence {}, interrupted at version {version}",
      self.stream.request.id(),
      self.stream.last_event_id,
      head.entry.id,
      head.entry.version,
      head.entry.start_text(),
      self.evidence_text()
    );
  }

  fn push_frame(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Result<Read, String> {
    match frame {
      Some(Ok(frame)) => {
        if let Some(data) = frame.data_ref() {
          self.splitter.push(data);
          self.end_silence();
          self.record_answering();
          let now_ms = self.stream.gateway.now_ms();
          let late_ms = self.stream.request.late_ms(now_ms);
          self.late.record(data.len(), late_ms)?;
        }
        if self.splitter.is_overlong() {
          return Err("event too long".into());
        }
        self.check_noise()?;
        Ok(Read::Nothing)
      }
      Some(Err(error)) => Err(error.to_string()),
      None => self.end_answer(),
    }
  }

  /// How the current answer has ended; fails when that was within an event, or with nothing else than noise.
  fn end_answer(&mut self) -> Result<Read, String> {
    let partial = self.splitter.partial_kind();
    let end = match (partial, self.ends_with_connection()) {
      (Some(BlockKind::Event | BlockKind::IgnoredLines | BlockKind::Damaged), _) => {
        return Err("stream ended within an event".into());
      }
      (Some(BlockKind::AnswerHead), true) => AnswerEnd::NextAnswer,
      (_, true) => AnswerEnd::Connection,
      (_, false) => AnswerEnd::Framed,
    };
    if partial == Some(BlockKind::Noise) {
      self.tail = self.tail.after_noise();
    }
    if partial.is_some() {
      self.splitter = EventSplitter::default();
    }
    let is_doubtful = match self.tail {
      Tail::Event | Tail::Nothing => false,
      Tail::NoiseAfterEvent => end == AnswerEnd::Framed,
      Tail::NoiseAlone => true,
    };
    if is_doubtful {
      return Err("bytes that are no event end the answer".into());
    }
    Ok(Read::End(end))
  }

  /// Records that a silent engine has continued.
  fn end_silence(&mut self) {
    if std::mem::take(&mut self.is_overdue)
      && let Some(head) = &self.head
    {
      self.stream.gateway.record_continued(&head.entry);
      self.stream.end_silence();
    }
  }

  /// Records that the current endpoint has sent bytes of the body. One that goes on to answer shows that the prompt's segments are
  /// sound.
  fn record_answering(&mut self) {
    let StreamRequest {
      gateway, request, ..
    } = &self.stream;
    let now_ms = gateway.now_ms();
    let since_ms = *self.answering_since_ms.get_or_insert(now_ms);
    if !self.has_sound_segments && is_past_beginning(now_ms - since_ms) {
      self.has_sound_segments = true;
      record_sound_segments(gateway, request, RoutedRequest::segment_fingerprints);
    }
  }

  /// Whether the current response ends with its connection.
  fn ends_with_connection(&self) -> bool {
    self.framing() == Some(Framing::Connection)
  }

  fn framing(&self) -> Option<Framing> {
    self.head.as_ref().map(ResponseHead::framing)
  }

  /// Whether as many events were forwarded as the request allows tokens: each event holds one or more.
  fn has_all_tokens(&self) -> bool {
    let attributes = &self.stream.request.attributes;
    let begins = attributes.last_event_id.is_none();
    begins && attributes.answer_tokens > 0 && self.events >= attributes.answer_tokens
  }

  /// Whether more events were forwarded than a whole answer has.
  fn has_surplus_events(&self) -> bool {
    let answer_tokens = self.stream.request.attributes.answer_tokens;
    answer_tokens > 0 && self.events > answer_tokens + MAX_EVENTS_WITHOUT_TOKEN
  }

  /// Whether the caller named an event to continue after, and none came.
  fn is_empty_rest(&self) -> bool {
    self.events == 0 && self.stream.request.attributes.last_event_id.is_some()
  }

  /// Checks that the end of the current response is the stream's end.
  async fn check_end(&mut self, end: AnswerEnd) -> Result<(), EndDoubt> {
    let received = Received {
      end,
      events: self.events,
      has_all_tokens: self.has_all_tokens(),
      is_empty_rest: self.is_empty_rest(),
      may_go_on: self.order.may_go_on(),
    };
    match &self.head {
      Some(head) => self.end_check.check(&self.stream, head, received).await,
      None => Ok(()),
    }
  }

  /// Records that the current engine has answered, although its answer does not complete the stream.
  fn settle_sound_engine(&mut self) {
    if let Some(head) = &mut self.head {
      head.load_guard.answered();
    }
  }

  /// Completes the stream.
  fn finish(&mut self, end: AnswerEnd) -> Option<Result<Bytes, StreamAborted>> {
    self.is_finished = true;
    self.record_id_steps(true);
    let gateway = self.stream.gateway.clone();
    let framing = self.framing().map(|framing| framing.to_string());
    log::info!(
      "E515 stream complete: {} to event {:?}, {} events of at most {} tokens, framing {}, {} ms after arrival, tried {}, longest pause {} ms",
      self.stream.request.id(),
      self.stream.last_event_id,
      self.events,
      self.stream.request.attributes.answer_tokens,
      framing.as_deref().unwrap_or("-"),
      gateway.now_ms() - self.stream.request.arrived_ms,
      self.stream.tried().len(),
      self.longest_pause_ms
    );
    record_success(&gateway, &self.stream.request, RoutedRequest::fingerprint);
    record_sound_segments(
      &gateway,
      &self.stream.request,
      RoutedRequest::segment_fingerprints,
    );
    let took_ms = gateway.now_ms() - self.stream.request.arrived_ms;
    gateway.slot_forecast.borrow_mut().record_stream(took_ms);
    if let Some(mut head) = self.head.take() {
      head.load_guard.answered();
      if end != AnswerEnd::NextAnswer {
        gateway.keep_alive(head.connection, &head.raw_headers);
      }
    }
    let blank_lines = self.splitter.take_blank_lines();
    (!blank_lines.is_empty()).then_some(Ok(blank_lines))
  }

  /// Records how the stream's events were numbered.
  fn record_id_steps(&self, is_whole: bool) {
    let StreamRequest {
      gateway, request, ..
    } = &self.stream;
    let mut steps = gateway.id_steps.borrow_mut();
    steps.record(
      &request.service,
      &self.listed_version,
      self.order.shown(is_whole),
    );
  }

  /// Resumes the stream at another engine, after the last complete event.
  async fn resume(&mut self, error: String) -> Result<(), String> {
    let request = self.stream.request.clone();
    log::info!(
      "E506 stream interrupted: {} after event {:?}: {error}",
      request.id(),
      self.stream.last_event_id
    );
    let mut interrupted_version = SoftwareVersion::default();
    if let Some(mut head) = self.head.take() {
      self.is_overdue = false;
      interrupted_version = head.entry.version.clone();
      let since_ms = self.answering_since_ms.take();
      let unread = std::mem::take(&mut self.unread);
      if let Some(unread_ms) = unread.unread_ms() {
        let endpoint = &head.connection.endpoint;
        let gateway = &self.stream.gateway;
        gateway.record_left_unread(request.id(), endpoint, UnreadCause::Caller, unread_ms);
      } else if self.end_check.is_open() {
        head.load_guard.answered();
      } else {
        head.load_guard.settle(AttemptOutcome::Lost);
        let answering_ms = since_ms.map(|since_ms| self.stream.gateway.now_ms() - since_ms);
        let lost = self
          .stream
          .lost_stage(&head.entry, head.sent_ms, answering_ms, error.clone());
        record_lost_stage(&self.stream.gateway, &request, lost).await;
      }
      let is_spoilt = std::mem::take(&mut self.is_answer_spoilt);
      self.stream.interrupted_at = (!is_spoilt).then(|| head.connection.endpoint.clone());
    }
    self.discard_partial_event();
    self.order.record_interruption();
    let remaining_ms = request.remaining_ms(self.stream.gateway.now_ms());
    if remaining_ms == 0 {
      return Err(format!("deadline exceeded after: {error}"));
    }
    if !self.order.may_go_on() {
      return Err(format!(
        "the last event has no id that is sure, after: {error}"
      ));
    }
    if !self
      .stream
      .may_continue_after(&StageError::Lost(String::new()))
    {
      return Err(format!("no attempt left after: {error}"));
    }
    let resumed = timeout(Duration::from_millis(remaining_ms), async {
      self.stream.settle_version().await?;
      self.stream.begin().await
    });
    match resumed.await {
      Ok(Ok(mut head)) => {
        self.stream.record_beginning(&mut head);
        self.head = Some(head);
        self.record_resumed(&interrupted_version);
        Ok(())
      }
      Ok(Err(failure)) => {
        let gateway = &self.stream.gateway;
        self.end_check.record_failure(gateway, &failure);
        Err(format!(
          "no endpoint resumed the stream, {failure}, after: {error}"
        ))
      }
      Err(_) => Err("deadline exceeded".into()),
    }
  }

  /// Aborts the stream, so that the caller sees that it is incomplete.
  fn abort(&mut self, error: String) -> StreamAborted {
    self.is_finished = true;
    self.record_id_steps(false);
    self.stream.gateway.counters.interrupted_streams.inc();
    log::info!(
      "E507 stream aborted: {}: {error}; {}",
      self.stream.request.id(),
      configurations(&self.stream.gateway, &self.stream.request)
    );
    StreamAborted(error)
  }
}

/// How an endpoint's events are numbered, as far as streams of its version have shown.
fn numbering(gateway: &Gateway, entry: &EndpointEntry) -> Numbering {
  let steps = gateway.id_steps.borrow();
  steps.of(&entry.service, &entry.version)
}

impl Drop for EventRelay {
  fn drop(&mut self) {
    if !self.is_finished {
      self.stream.gateway.counters.caller_disconnects.inc();
      log::info!(
        "E516 caller disconnected: {} after event {:?}",
        self.stream.request.id(),
        self.stream.last_event_id
      );
    }
  }
}
