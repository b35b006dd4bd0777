//! The tries of one streamed request: a seat, the prompt, the stream.

use {
  super::{prompt::read_prompt, resume_seat::reserve_resume_seat, seat::reserve_seat},
  crate::{
    gateway::{
      decisions::{PartEnd, Wanted},
      edge::EndpointEntry,
      stages::{ExportGuard, Reservation, ResponseHead, RoutedRequest, StageError},
      state::Gateway,
    },
    ids::Name,
  },
  std::rc::Rc,
};

/// Endpoints that may turn out not to be reachable before a request is refused.
const MAX_UNSENT: usize = 4;
/// Engines that may refuse a request before it is refused.
const MAX_REJECTIONS: u32 = 3;

/// Why no endpoint streams.
pub(crate) enum NoStream {
  /// No endpoint has a seat, and none was sent it.
  NoSeat,
  /// It failed at the last endpoint that may be tried.
  Failed,
  /// An endpoint answered with something other than a stream.
  Answered(Box<ResponseHead>),
}

/// What one try came to. The outer error says that there is no endpoint to try.
type Attempt = Result<Result<ResponseHead, StageError>, NoStream>;

/// One streamed request.
pub(crate) struct StreamRequest {
  pub(crate) gateway: Rc<Gateway>,
  pub(crate) request: Rc<RoutedRequest>,
  /// The last event that went to the caller.
  pub(crate) last_event_id: Option<u64>,
  /// Endpoints that were sent it.
  pub(super) tried: Vec<Name>,
  /// Sends that may have run.
  pub(super) attempts: u32,
  /// Arrivals at endpoints; all but the first are paid from the budget for repeats.
  pub(super) arrivals: u32,
  /// Endpoints that said that it did not run.
  pub(super) refusals: u32,
  /// A seat that was found while another engine was silent.
  pub(super) seat: Option<(EndpointEntry, Reservation)>,
  /// The prompt as it was read, kept after a refusal.
  pub(super) export: Option<ExportGuard>,
  /// The engine that refused that prompt.
  pub(super) refused_by: Option<Name>,
  /// Whether the engine that writes the answer is to read the prompt.
  pub(super) reads_itself: bool,
  /// The engine that wrote the stream so far, when it may go on there.
  pub(crate) wrote_it: Option<Name>,
  /// Whether an engine that keeps the prompt was looked for.
  pub(super) looked_for_kept: bool,
  /// Whether an engine was asked to read the prompt; the first time is free.
  pub(super) prompt_was_read: bool,
}

impl StreamRequest {
  pub(crate) fn new(gateway: Rc<Gateway>, request: Rc<RoutedRequest>) -> Self {
    Self {
      arrivals: 0,
      attempts: 0,
      export: None,
      gateway,
      looked_for_kept: false,
      last_event_id: request.attributes.last_event_id,
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
  pub(crate) fn may_retry(&self) -> bool {
    self.request.route.kind.may_retry()
  }

  /// Sends the request until an endpoint streams, or no further one may be tried.
  pub(crate) async fn begin(&mut self) -> Result<ResponseHead, NoStream> {
    loop {
      let error = match self.attempt().await? {
        Ok(head) if head.status.is_success() && head.attributes.has_receipt => return Ok(head),
        Ok(head) if head.status.is_success() => {
          StageError::Lost("success without a receipt".into())
        }
        Ok(mut head) if head.status.is_server_error() && self.has_attempts_left() => {
          self.gateway.counters.endpoint_failures.inc();
          head.load_guard.settle(PartEnd::Failed);
          StageError::Lost(format!("status {}", head.status))
        }
        Ok(head) => return Err(NoStream::Answered(Box::new(head))),
        Err(error) => error,
      };
      if !self.may_try_again(&error) {
        return Err(NoStream::Failed);
      }
    }
  }

  pub(super) fn has_attempts_left(&self) -> bool {
    self.may_retry() && self.attempts < self.request.route.max_attempts
  }

  /// Whether the request may be sent once more after an error.
  pub(crate) fn may_try_again(&self, error: &StageError) -> bool {
    if self.request.is_blocked(&self.gateway) {
      return false;
    }
    match error {
      StageError::Blocked => false,
      StageError::Unreachable | StageError::Unsent(_) | StageError::Unavailable(_) => {
        self.tried.len() < MAX_UNSENT
      }
      StageError::NotRun(_) => self.refusals < MAX_REJECTIONS,
      StageError::Lost(_) => self.has_attempts_left(),
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
      allowed_halls: &self.request.allowed_halls,
      hall: self.gateway.preferred_hall(),
      may_retry: self.may_retry(),
      role: None,
      service: &self.request.service,
      size: self.request.expected_tokens().max(1),
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
  async fn prompt(&mut self, hall: &str) -> Option<ExportGuard> {
    // A trial reaches one endpoint, not two.
    if self.reads_itself || self.request.is_probe() {
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
    export: Option<ExportGuard>,
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

  /// Whether the service has engines for both parts.
  pub(super) fn is_split(&self) -> bool {
    let Some(table) = self.gateway.table() else {
      return false;
    };
    let service = table.service(&self.request.service);
    service.is_some_and(|service| service.engine.is_some())
  }
}
