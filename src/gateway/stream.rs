//! A request that is answered by a stream of events: read on one engine, written on another.

use {
  super::{
    Choice, EndpointEntry, EventCutter, Marks, Part, PartEnd, Wanted,
    answer::{AnswerBody, OwnAnswer, StreamBroke, passed_on, whole_body},
    engine_call::{CallFailure, KeptExport, Reservation, call_engine},
    gateway::{Gateway, InFlight},
    part::{Booking, Head, PartError, send_part},
    request::RoutedRequest,
    retry_after::{RETRY_AFTER_FULL_MS, retry_after_no_seat_ms},
  },
  crate::{decide::Role, ids::Name},
  bytes::Bytes,
  futures_util::stream,
  http::Response,
  http_body_util::{BodyExt, StreamBody},
  hyper::body::Frame,
  std::{rc::Rc, time::Duration},
  tokio::time::{sleep, timeout},
};

/// Time for reading a prompt: a floor for queueing, and this much for each token ahead of it and its own.
const READ_FLOOR_MS: u64 = 500;
const READ_US_PER_TOKEN: u64 = 60;
/// A reservation outlasts reading and a retry.
const RESERVATION_MS: u64 = 1_500;
/// Part of the wanted latency that a request may wait for a seat: refused later, its return counts for less.
const SEAT_WAIT_SHARE: f64 = 0.22;
/// Pause between asks when every engine has just said that it is full.
const SEAT_PAUSE: Duration = Duration::from_millis(8);
/// How long a repeatable stream may be silent before another engine takes it up: less than a caller's patience.
const SILENCE_MS: u64 = 1_200;

/// One streamed request.
struct StreamRequest {
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  /// Endpoints that were sent it, or refused it.
  tried: Vec<Name>,
  attempts: u32,
  /// The last event that went to the caller.
  last_event_id: Option<u64>,
  first_event_noted: bool,
}

/// Why no endpoint streams.
enum NoStream {
  /// No endpoint was sent it, and none may be.
  NoEndpoint,
  /// It failed at the last endpoint that may be tried.
  Failed(PartError),
  /// An endpoint answered with something other than a stream.
  Answered(Box<Head>),
}

/// Answers a request.
pub(crate) async fn answer_stream(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<AnswerBody> {
  let mut stream = StreamRequest {
    attempts: 0,
    first_event_noted: false,
    gateway,
    last_event_id: request.facts.last_event_id,
    request,
    tried: Vec::new(),
  };
  let left = Duration::from_millis(stream.request.left_ms(stream.gateway.now_ms()));
  match timeout(left, stream.begin()).await {
    Ok(Ok(head)) => {
      let headers = head.headers();
      let status = head.status;
      let events = EventSource {
        cutter: EventCutter::default(),
        ended: false,
        head: Some(head),
        in_flight,
        stream,
      };
      passed_on(status, headers, events.into_body())
    }
    Ok(Err(NoStream::NoEndpoint)) => {
      log::warn!(
        "E501 refused: {} no endpoint of {} is free",
        stream.request.id(),
        stream.request.service
      );
      OwnAnswer::NotRun {
        retry_after_ms: retry_after_no_seat_ms(stream.gateway.draw()),
      }
      .response()
    }
    Ok(Err(NoStream::Failed(PartError::Lost(_)))) => OwnAnswer::Unknown.response(),
    Ok(Err(NoStream::Failed(_))) => OwnAnswer::NotRun {
      retry_after_ms: RETRY_AFTER_FULL_MS,
    }
    .response(),
    Ok(Err(NoStream::Answered(head))) => {
      let gateway = stream.gateway.clone();
      match head.whole(&gateway).await {
        Ok(answer) => passed_on(answer.status, answer.headers, whole_body(answer.body)),
        Err(_) => OwnAnswer::Unknown.response(),
      }
    }
    Err(_) => {
      log::info!(
        "E503 timed out: {} at {:?}",
        stream.request.id(),
        stream.tried
      );
      OwnAnswer::TimedOut.response()
    }
  }
}

impl StreamRequest {
  /// Sends the request until an endpoint streams, or no further one may be tried.
  async fn begin(&mut self) -> Result<Head, NoStream> {
    let mut last = None;
    loop {
      if self.attempts > 0 && !self.may_try_again(last.as_ref()) {
        return Err(last.map_or(NoStream::NoEndpoint, NoStream::Failed));
      }
      match self.attempt().await {
        Ok(head) if head.status.is_success() && head.facts.has_receipt => return Ok(head),
        Ok(head) if head.status.is_success() => {
          last = Some(PartError::Lost("success without a receipt".into()));
        }
        Ok(head)
          if head.status.is_server_error()
            && self.may_repeat()
            && self.attempts < self.request.route.most_attempts =>
        {
          let status = head.status;
          self.gateway.counters.endpoint_failures.inc();
          let mut head = head;
          head.booking.settle(PartEnd::Failed);
          last = Some(PartError::Lost(format!("status {status}")));
        }
        Ok(head) => return Err(NoStream::Answered(Box::new(head))),
        Err(Some(error)) => last = Some(error),
        Err(None) => return Err(last.map_or(NoStream::NoEndpoint, NoStream::Failed)),
      }
    }
  }

  fn may_repeat(&self) -> bool {
    self.request.route.kind.may_repeat()
  }

  fn may_try_again(&self, last: Option<&PartError>) -> bool {
    let run = matches!(last, Some(PartError::Lost(_)));
    let allowed = match last {
      Some(PartError::Unsent(_)) => return (self.tried.len() as u32) < MOST_UNSENT,
      Some(PartError::NotRun(_)) => self.attempts < self.request.route.most_attempts.max(2),
      _ => self.attempts < self.request.route.most_attempts,
    };
    if !allowed || (run && !self.may_repeat()) {
      return false;
    }
    let taken = self.gateway.take_repeat(&self.request.service);
    if taken {
      self.gateway.counters.repeats.inc();
    }
    taken
  }

  /// One try: prompt, seat, stream. `None` when there is no endpoint to try.
  async fn attempt(&mut self) -> Result<Head, Option<PartError>> {
    let split = self.is_split();
    let (entry, reservation, export) = if split {
      let gateway = self.gateway.clone();
      let request = self.request.clone();
      let Some((entry, reservation)) = reserve_seat(&gateway, &request, &self.tried).await else {
        return Err(None);
      };
      let export = read_prompt(&gateway, &request).await;
      (entry, Some(reservation), export)
    } else {
      let choice = choose(&self.gateway, &self.request, None, &self.tried).ok_or(None)?;
      (choice.entry, None, None)
    };
    self.send(entry, reservation, export).await.map_err(Some)
  }

  async fn send(
    &mut self,
    entry: EndpointEntry,
    mut reservation: Option<Reservation>,
    mut export: Option<KeptExport>,
  ) -> Result<Head, PartError> {
    self.tried.push(entry.id.clone());
    self.attempts += 1;
    let part = match &export {
      Some(kept) => Part::AnswerFrom(kept.export.clone()),
      None => Part::Whole,
    };
    let marks = Marks {
      deadline_ms: self.request.left_ms(self.gateway.now_ms()),
      endpoint_id: entry.id.clone(),
      last_event_id: self.last_event_id,
      part,
      priority: self.request.route.priority,
      reservation: reservation
        .as_ref()
        .map(|reservation| reservation.id.clone()),
    };
    let size = self.request.tokens().max(1);
    let sending = send_part(&self.gateway, &self.request, &entry, &marks, size, 1);
    let result = if self.may_repeat() {
      timeout(Duration::from_millis(SILENCE_MS), sending)
        .await
        .unwrap_or_else(|_| Err(PartError::Lost("no answer in time".into())))
    } else {
      sending.await
    };
    match &result {
      Ok(_) => {
        if let Some(export) = &mut export {
          export.set_used();
        }
        if let Some(reservation) = &mut reservation {
          reservation.set_used();
        }
      }
      Err(error) => log::info!(
        "E502 part failed: {} at {}: {error}",
        self.request.id(),
        entry.id
      ),
    }
    result
  }

  /// Whether the service has engines for both parts.
  fn is_split(&self) -> bool {
    let table = self.gateway.table();
    table
      .and_then(|table| {
        table
          .service(&self.request.service)
          .map(|service| service.engine.is_some())
      })
      .unwrap_or(false)
  }
}

/// Endpoints that may turn out not to be reachable before a request is refused.
const MOST_UNSENT: u32 = 4;

fn choose(
  gateway: &Gateway,
  request: &RoutedRequest,
  role: Option<Role>,
  tried: &[Name],
) -> Option<Choice> {
  let size = match role {
    Some(Role::Prefill) => request.facts.prompt_tokens,
    _ => request.tokens(),
  };
  gateway.choose(Wanted {
    hall: &gateway.settings.identity.hall,
    may_repeat: request.route.kind.may_repeat(),
    role,
    service: &request.service,
    size: size.max(1),
    tried,
  })
}

/// Reserves a seat at a decode engine before the prompt is read for it. The oldest request of the box goes
/// first; one that finds no seat in time is refused while its caller may still come back.
async fn reserve_seat(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  tried: &[Name],
) -> Option<(EndpointEntry, Reservation)> {
  let wait_ms = (request.route.target_ms as f64 * SEAT_WAIT_SHARE) as u64;
  let since_ms = gateway.now_ms();
  let until_ms = since_ms + wait_ms;
  let asking = async {
    let _turn = gateway.seat_turn.lock().await;
    loop {
      let choice = choose(gateway, request, Some(Role::Decode), tried)?;
      let was_full = choice.left_alone;
      match ask_seat(gateway, request, &choice.entry).await {
        Some(reservation) => return Some((choice.entry, reservation)),
        None if was_full => sleep(SEAT_PAUSE).await,
        None => {}
      }
    }
  };
  let left = Duration::from_millis(until_ms.saturating_sub(gateway.now_ms()));
  let seat = timeout(left, asking).await.unwrap_or(None);
  if seat.is_none() {
    log::info!(
      "E504 no seat: {} waited {} ms, {} engines known",
      request.id(),
      gateway.now_ms() - since_ms,
      gateway.book.borrow().len()
    );
  }
  seat
}

async fn ask_seat(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  entry: &EndpointEntry,
) -> Option<Reservation> {
  let call = gateway.dialect.reserve(request.tokens(), RESERVATION_MS);
  let mut booking = Booking::new(gateway, &entry.id, request.tokens(), 1);
  let answer = call_engine(gateway, entry, call).await;
  match answer {
    Ok(body) => match gateway.dialect.reservation(&body) {
      Ok(id) => return Some(Reservation::new(gateway, entry, id)),
      Err(error) => {
        log::warn!("E504 no seat: {} at {}: {error}", request.id(), entry.id);
        booking.settle(PartEnd::Lost);
      }
    },
    Err(CallFailure::Refused(_)) => booking.settle(PartEnd::Full),
    Err(error) => {
      log::info!("E504 no seat: {} at {}: {error}", request.id(), entry.id);
      booking.settle(PartEnd::Lost);
    }
  }
  None
}

/// Has the prompt read; nothing when the engine that writes the answer has to read it.
async fn read_prompt(gateway: &Rc<Gateway>, request: &Rc<RoutedRequest>) -> Option<KeptExport> {
  let choice = choose(gateway, request, Some(Role::Prefill), &[])?;
  let entry = choice.entry;
  let tokens = request.facts.prompt_tokens.max(1);
  let marks = Marks {
    deadline_ms: request.left_ms(gateway.now_ms()),
    endpoint_id: entry.id.clone(),
    last_event_id: None,
    part: Part::ReadPrompt,
    priority: request.route.priority,
    reservation: None,
  };
  let ahead = choice.ahead + tokens;
  let limit =
    Duration::from_millis(READ_FLOOR_MS) + Duration::from_micros(READ_US_PER_TOKEN * ahead);
  let read = async {
    let head = send_part(gateway, request, &entry, &marks, tokens, ahead).await?;
    head.whole(gateway).await
  };
  let answer = match timeout(limit, read).await {
    Ok(Ok(answer)) if answer.status.is_success() => answer,
    Ok(Ok(answer)) => {
      log::info!(
        "E505 prompt not read: {} at {}: status {}",
        request.id(),
        entry.id,
        answer.status
      );
      return None;
    }
    Ok(Err(error)) => {
      log::info!(
        "E505 prompt not read: {} at {}: {error}",
        request.id(),
        entry.id
      );
      return None;
    }
    Err(_) => {
      log::info!(
        "E505 prompt not read: {} at {}: no answer in {} ms",
        request.id(),
        entry.id,
        limit.as_millis()
      );
      gateway.ended(&entry.id, 0, 1, PartEnd::Lost);
      return None;
    }
  };
  match gateway.dialect.export_handle(&answer.body) {
    Ok(handle) => Some(KeptExport::new(gateway, &entry, handle)),
    Err(error) => {
      log::warn!(
        "E505 prompt not read: {} at {}: {error}",
        request.id(),
        entry.id
      );
      None
    }
  }
}

/// Where the caller's events come from, over all engines that write the answer.
struct EventSource {
  stream: StreamRequest,
  head: Option<Head>,
  cutter: EventCutter,
  ended: bool,
  in_flight: InFlight,
}

impl EventSource {
  fn into_body(self) -> AnswerBody {
    let events = stream::unfold(self, |mut source| async move {
      let item = source.next().await?;
      Some((item.map(Frame::data), source))
    });
    Box::pin(BodyExt::map_err(StreamBody::new(events), |error| error))
  }

  /// The next bytes for the caller; nothing after the whole stream.
  async fn next(&mut self) -> Option<Result<Bytes, StreamBroke>> {
    loop {
      if self.ended {
        return None;
      }
      if let Some(event) = self.cutter.next_event() {
        if let (Some(id), Some(last)) = (event.id, self.stream.last_event_id)
          && id <= last
        {
          continue;
        }
        self.note_event(event.id);
        return Some(Ok(event.bytes));
      }
      match self.read().await {
        Ok(true) => {}
        Ok(false) => return self.finish(),
        Err(error) => {
          if let Err(error) = self.resume(error).await {
            return Some(Err(self.break_off(error)));
          }
        }
      }
    }
  }

  fn note_event(&mut self, id: Option<u64>) {
    if id.is_some() {
      self.stream.last_event_id = id;
    }
    if !self.stream.first_event_noted {
      self.stream.first_event_noted = true;
      let took_ms = self.stream.gateway.now_ms() - self.stream.request.arrived_ms;
      self.stream.gateway.counters.first_event_ms.note(took_ms);
    }
  }

  /// Reads on; `false` at the stream's end.
  async fn read(&mut self) -> Result<bool, String> {
    let Some(head) = &mut self.head else {
      return Err("no endpoint".into());
    };
    let left_ms = self.stream.request.left_ms(self.stream.gateway.now_ms());
    let limit_ms = if self.stream.may_repeat() {
      left_ms.min(SILENCE_MS)
    } else {
      left_ms
    };
    let frame = timeout(Duration::from_millis(limit_ms), head.body.frame()).await;
    match frame {
      Ok(Some(Ok(frame))) => {
        if let Some(data) = frame.data_ref() {
          self.cutter.push(data);
        }
        if self.cutter.is_overlong() {
          return Err("an event is too long".into());
        }
        Ok(true)
      }
      Ok(Some(Err(error))) => Err(error.to_string()),
      Ok(None) if self.cutter.has_rest() && !head.is_framed() => {
        Err("ended within an event".into())
      }
      Ok(None) => Ok(false),
      Err(_) => Err(format!("silent for {limit_ms} ms")),
    }
  }

  fn finish(&mut self) -> Option<Result<Bytes, StreamBroke>> {
    self.ended = true;
    let gateway = self.stream.gateway.clone();
    if let Some(mut head) = self.head.take() {
      head.booking.answered();
      gateway
        .pool
        .put(head.connection, &head.raw_headers, gateway.now_ms());
    }
    gateway.counters.answered.inc();
    let rest = self.cutter.take_rest();
    (!rest.is_empty()).then_some(Ok(rest))
  }

  /// Has another engine go on after the last whole event.
  async fn resume(&mut self, error: String) -> Result<(), String> {
    let request = &self.stream.request;
    log::info!(
      "E506 stream broke: {} after event {:?}: {error}",
      request.id(),
      self.stream.last_event_id
    );
    if let Some(mut head) = self.head.take() {
      head.booking.settle(PartEnd::Lost);
    }
    self.cutter = EventCutter::default();
    let left_ms = request.left_ms(self.stream.gateway.now_ms());
    if !self.stream.may_repeat()
      || left_ms == 0
      || !self
        .stream
        .may_try_again(Some(&PartError::Lost(String::new())))
    {
      return Err(error);
    }
    match timeout(Duration::from_millis(left_ms), self.stream.begin_again()).await {
      Ok(Ok(head)) => {
        self.stream.gateway.counters.resumed.inc();
        self.head = Some(head);
        Ok(())
      }
      Ok(Err(text)) => Err(text),
      Err(_) => Err("time is over".into()),
    }
  }

  fn break_off(&mut self, error: String) -> StreamBroke {
    self.ended = true;
    self.stream.gateway.counters.broken_streams.inc();
    log::info!(
      "E507 stream broken off: {}: {error}",
      self.stream.request.id()
    );
    StreamBroke(error)
  }
}

impl StreamRequest {
  /// A try whose repeat was taken already.
  async fn begin_again(&mut self) -> Result<Head, String> {
    match self.attempt().await {
      Ok(head) if head.status.is_success() && head.facts.has_receipt => Ok(head),
      Ok(head) => Err(format!("status {} on resuming", head.status)),
      Err(Some(error)) => Err(error.to_string()),
      Err(None) => Err("no endpoint to resume at".into()),
    }
  }
}

impl Drop for EventSource {
  fn drop(&mut self) {
    if !self.ended {
      self.stream.gateway.counters.callers_gone.inc();
      log::debug!("caller left: {}", self.stream.request.id());
    }
    let _ = &self.in_flight;
  }
}
