//! The tries of one streamed request: a seat, the prompt, the stream.

use {
  super::{
    EndpointEntry, Marks, Part, PartEnd, Wanted,
    engine_call::{KeptExport, Reservation},
    gateway::Gateway,
    part::{Head, PartError, send_part},
    prompt::read_prompt,
    request::RoutedRequest,
    resume_seat::reserve_resume_seat,
    seat::reserve_seat,
  },
  crate::ids::Name,
  futures_util::FutureExt,
  std::{pin::pin, rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// How long a repeatable stream may be silent before another engine takes it up: less than a caller's patience.
pub(crate) const SILENCE_MS: u64 = 1_200;
/// Endpoints that may turn out not to be reachable before a request is refused.
const MOST_UNSENT: usize = 4;
/// Engines that may refuse a request before it is refused.
const MOST_REFUSALS: u32 = 3;

/// Why no endpoint streams.
pub(crate) enum NoStream {
  /// No endpoint has a seat, and none was sent it.
  NoSeat,
  /// It failed at the last endpoint that may be tried.
  Failed,
  /// An endpoint answered with something other than a stream.
  Answered(Box<Head>),
}

/// What one try came to. The outer error says that there is no endpoint to try.
type Attempt = Result<Result<Head, PartError>, NoStream>;

/// One streamed request.
pub(crate) struct StreamRequest {
  pub(crate) gateway: Rc<Gateway>,
  pub(crate) request: Rc<RoutedRequest>,
  /// The last event that went to the caller.
  pub(crate) last_event_id: Option<u64>,
  /// Endpoints that were sent it.
  tried: Vec<Name>,
  /// Sends that may have run.
  attempts: u32,
  /// Arrivals at endpoints; all but the first are paid from the budget for repeats.
  arrivals: u32,
  /// Endpoints that said that it did not run.
  refusals: u32,
  /// A seat that was found while another engine was silent.
  seat: Option<(EndpointEntry, Reservation)>,
  /// The prompt as it was read, kept after a refusal.
  export: Option<KeptExport>,
  /// The engine that refused that prompt.
  refused_by: Option<Name>,
  /// Whether the engine that writes the answer is to read the prompt.
  reads_itself: bool,
  /// The engine that wrote the stream so far, when it may go on there.
  pub(crate) wrote_it: Option<Name>,
  /// Whether an engine that keeps the prompt was looked for.
  looked_for_kept: bool,
  /// Whether an engine was asked to read the prompt; the first time is free.
  prompt_was_read: bool,
}

impl StreamRequest {
  pub(crate) fn new(gateway: Rc<Gateway>, request: Rc<RoutedRequest>) -> Self {
    Self {
      arrivals: 0,
      attempts: 0,
      export: None,
      gateway,
      looked_for_kept: false,
      last_event_id: request.facts.last_event_id,
      prompt_was_read: false,
      reads_itself: false,
      refusals: 0,
      refused_by: None,
      request,
      seat: None,
      tried: Vec::new(),
      wrote_it: None,
    }
  }

  /// The endpoints that were sent it.
  pub(crate) fn tried(&self) -> &[Name] {
    &self.tried
  }

  /// Whether an endpoint may have run it.
  pub(crate) fn may_have_run(&self) -> bool {
    self.attempts > 0
  }

  /// Whether another endpoint may be sent what may have run.
  pub(crate) fn may_repeat(&self) -> bool {
    self.request.route.kind.may_repeat()
  }

  /// Sends the request until an endpoint streams, or no further one may be tried.
  pub(crate) async fn begin(&mut self) -> Result<Head, NoStream> {
    loop {
      let error = match self.attempt().await? {
        Ok(head) if head.status.is_success() && head.facts.has_receipt => return Ok(head),
        Ok(head) if head.status.is_success() => PartError::Lost("success without a receipt".into()),
        Ok(mut head) if head.status.is_server_error() && self.has_attempts_left() => {
          self.gateway.counters.endpoint_failures.inc();
          head.booking.settle(PartEnd::Failed);
          PartError::Lost(format!("status {}", head.status))
        }
        Ok(head) => return Err(NoStream::Answered(Box::new(head))),
        Err(error) => error,
      };
      if !self.may_try_again(&error) {
        return Err(NoStream::Failed);
      }
    }
  }

  fn has_attempts_left(&self) -> bool {
    self.may_repeat() && self.attempts < self.request.route.most_attempts
  }

  /// Whether the request may be sent once more after an error.
  pub(crate) fn may_try_again(&self, error: &PartError) -> bool {
    match error {
      PartError::Unreachable | PartError::Unsent(_) => self.tried.len() < MOST_UNSENT,
      PartError::NotRun(_) => self.refusals < MOST_REFUSALS,
      PartError::Lost(_) => self.has_attempts_left(),
    }
  }

  /// Whether the request may arrive at an endpoint: the first time always, then as the budget allows.
  fn may_arrive(&mut self) -> bool {
    self.arrivals += 1;
    if self.arrivals == 1 {
      return true;
    }
    let taken = self.gateway.take_repeat(&self.request.service);
    if taken {
      self.gateway.counters.repeats.inc();
    }
    taken
  }

  async fn attempt(&mut self) -> Attempt {
    if self.is_split() {
      self.attempt_split().await
    } else {
      self.attempt_whole().await
    }
  }

  /// A try at an endpoint that reads the prompt itself.
  async fn attempt_whole(&mut self) -> Attempt {
    let choice = self.gateway.choose(Wanted {
      hall: self.gateway.preferred_hall(),
      may_repeat: self.may_repeat(),
      role: None,
      service: &self.request.service,
      size: self.request.tokens().max(1),
      tried: &self.tried,
    });
    let entry = choice.ok_or(NoStream::NoSeat)?.entry;
    self.arrive(&entry, None, None).await
  }

  /// A try with a seat at one engine, and the prompt read by another.
  async fn attempt_split(&mut self) -> Attempt {
    if let Some((entry, reservation)) = self.resume_seat().await {
      return self.arrive(&entry, Some(reservation), None).await;
    }
    let asked_ms = self.gateway.now_ms();
    let seat = match self.seat.take() {
      Some(seat) => Some(seat),
      None => reserve_seat(&self.gateway, &self.request, &self.tried).await,
    };
    let seated_ms = self.gateway.now_ms();
    let (entry, reservation) = seat.ok_or(NoStream::NoSeat)?;
    let export = self.prompt(&entry.hall).await;
    let read_ms = self.gateway.now_ms();
    let reader = export
      .as_ref()
      .map_or_else(|| entry.id.clone(), |export| export.engine().clone());
    let arrived = self.arrive(&entry, Some(reservation), export).await?;
    if let Ok(head) = &arrived {
      self.gateway.note_start(self.gateway.now_ms() - seated_ms);
      log::info!(
        "E510 streaming: {} at {} with status {}, read by {reader}: seat {} ms, prompt {} ms, head {} ms, {} ms after arrival, try {}",
        self.request.id(),
        entry.id,
        head.status,
        seated_ms - asked_ms,
        read_ms - seated_ms,
        self.gateway.now_ms() - read_ms,
        self.gateway.now_ms() - self.request.arrived_ms,
        self.tried.len()
      );
    }
    Ok(arrived)
  }

  /// A seat at an engine that keeps the prompt of a stream that goes on; looked for once a break.
  async fn resume_seat(&mut self) -> Option<(EndpointEntry, Reservation)> {
    let wrote_it = self.wrote_it.take();
    let is_new = self.tried.is_empty() && !self.looked_for_kept;
    let may_look = wrote_it.is_some() || is_new;
    if self.seat.is_some() || self.last_event_id.is_none() || !may_look {
      return None;
    }
    self.looked_for_kept = true;
    if !self.gateway.settings.mechanisms.resume_where_kept {
      return None;
    }
    reserve_resume_seat(&self.gateway, &self.request, wrote_it.as_ref()).await
  }

  /// The prompt for an engine in a hall; nothing when the engine that writes the answer is to read it.
  async fn prompt(&mut self, hall: &str) -> Option<KeptExport> {
    if self.reads_itself {
      return None;
    }
    match self.export.take() {
      Some(export) if export.is_fresh() => Some(export),
      // A second reading is paid for; else the engine that writes the answer reads.
      _ if self.prompt_was_read && !self.may_arrive() => None,
      _ => {
        let reading = read_prompt(&self.gateway, &self.request, hall).await;
        if !self.prompt_was_read && reading.arrived && reading.export.is_none() {
          self.arrivals += 1;
        }
        self.prompt_was_read = true;
        reading.export
      }
    }
  }

  /// Sends the request to an endpoint, if it may arrive there.
  async fn arrive(
    &mut self,
    entry: &EndpointEntry,
    reservation: Option<Reservation>,
    export: Option<KeptExport>,
  ) -> Attempt {
    if !self.may_arrive() {
      return Err(NoStream::Failed);
    }
    let sent = self.send(entry, reservation, export).await;
    if matches!(&sent, Err(error) if error.is_unsent()) {
      self.arrivals -= 1;
    }
    Ok(sent)
  }

  async fn send(
    &mut self,
    entry: &EndpointEntry,
    reservation: Option<Reservation>,
    export: Option<KeptExport>,
  ) -> Result<Head, PartError> {
    self.tried.push(entry.id.clone());
    // Counted before it is sent: the time may run out while no answer is known.
    self.attempts += 1;
    let marks = self.marks(entry, reservation.as_ref(), export.as_ref());
    let result = self.send_within_silence(entry, &marks).await;
    match &result {
      Ok(_) => self.note_answer(reservation, export),
      Err(error) => self.note_error(entry, error, export),
    }
    result
  }

  fn marks(
    &self,
    entry: &EndpointEntry,
    reservation: Option<&Reservation>,
    export: Option<&KeptExport>,
  ) -> Marks {
    let part = export.map_or(Part::Whole, |kept| Part::AnswerFrom(kept.export.clone()));
    Marks {
      last_event_id: self.last_event_id,
      reservation: reservation.map(|reservation| reservation.id.clone()),
      ..self.request.marks(entry, part, self.gateway.now_ms())
    }
  }

  /// Waits for the head; an engine that is silent for too long is left alone, and given up once another one has
  /// a seat. Silence by itself ends nothing.
  async fn send_within_silence(
    &mut self,
    entry: &EndpointEntry,
    marks: &Marks,
  ) -> Result<Head, PartError> {
    let (gateway, request) = (self.gateway.clone(), self.request.clone());
    let size = request.tokens().max(1);
    let mut sending = pin!(send_part(&gateway, &request, entry, marks, size, 1));
    loop {
      let silence = Duration::from_millis(SILENCE_MS);
      if let Ok(result) = timeout(silence, sending.as_mut()).await {
        return result;
      }
      gateway.overdue(&entry.id);
      if !self.prepare_takeover().await {
        continue;
      }
      // It may have answered while a seat was looked for.
      if let Some(result) = sending.as_mut().now_or_never() {
        self.cancel_takeover();
        return result;
      }
      return Err(PartError::Lost("no answer in time".into()));
    }
  }

  /// Finds a seat for a further try while the present endpoint is silent.
  pub(crate) async fn prepare_takeover(&mut self) -> bool {
    if !self.gateway.settings.mechanisms.silence_takeover {
      return false;
    }
    if !self.has_attempts_left() || !self.gateway.has_repeat_left(&self.request.service) {
      return false;
    }
    if !self.is_split() {
      return true;
    }
    self.seat = reserve_seat(&self.gateway, &self.request, &self.tried).await;
    self.seat.is_some()
  }

  /// The present endpoint goes on after all.
  pub(crate) fn cancel_takeover(&mut self) {
    self.seat = None;
  }

  /// An endpoint answered: it has used up the seat and the prompt.
  fn note_answer(&mut self, reservation: Option<Reservation>, export: Option<KeptExport>) {
    if let Some(mut export) = export {
      export.set_used();
    }
    if let Some(mut reservation) = reservation {
      reservation.set_used();
    }
    self.blame_for_refusal();
  }

  fn note_error(&mut self, entry: &EndpointEntry, error: &PartError, export: Option<KeptExport>) {
    if error.has_not_run() {
      self.attempts -= 1;
    }
    log::info!(
      "E502 part failed: {} at {}: {error}",
      self.request.id(),
      entry.id
    );
    match error {
      PartError::NotRun(_) => self.note_refusal(entry, export),
      // No engine has fetched it.
      PartError::Unreachable | PartError::Unsent(_) => self.export = export,
      PartError::Lost(_) => {}
    }
  }

  /// Another engine took the prompt: the one that refused it is at fault.
  fn blame_for_refusal(&mut self) {
    if let Some(engine) = self.refused_by.take() {
      self.gateway.blame(&engine);
    }
  }

  /// An engine with a seat refused: it, or the prompt that another engine keeps, may be at fault.
  fn note_refusal(&mut self, entry: &EndpointEntry, export: Option<KeptExport>) {
    self.refusals += 1;
    match (export, self.refused_by.take()) {
      (None, _) => self.gateway.blame(&entry.id),
      (Some(export), None) => {
        self.refused_by = Some(entry.id.clone());
        self.export = Some(export);
      }
      (Some(export), Some(_)) => {
        self.gateway.blame(export.engine());
        self.reads_itself = true;
      }
    }
  }

  /// Whether the service has engines for both parts.
  fn is_split(&self) -> bool {
    let Some(table) = self.gateway.table() else {
      return false;
    };
    let service = table.service(&self.request.service);
    service.is_some_and(|service| service.engine.is_some())
  }
}
