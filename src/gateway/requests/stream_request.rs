//! The attempts of one streaming request: batch slot, prefill, stream.

use {
  super::{
    prefill::prefill,
    resume_slot::reserve_resume_slot,
    send_charge::{SendCharge, Sends},
    slot::{Exclusions, reserve_slot},
  },
  crate::{
    decide::Role,
    gateway::{
      connections::Connection,
      decisions::{AttemptOutcome, EndpointCriteria, ObservedProcess, RetryNeed, Unavailable},
      edge::{EndpointEntry, SoftwareVersion},
      retries::may_borrow_retry,
      stages::{ExportGuard, Reservation, ResponseHead, RoutedRequest, StageError},
      state::Gateway,
    },
    ids::Name,
  },
  std::{cell::Cell, fmt, rc::Rc},
};

/// Endpoints that may turn out to be unreachable before a request is rejected; those that get no streams from now on do not count.
const MAX_UNSENT: usize = 4;
/// Engines that may reject a request before it is rejected.
const MAX_REJECTIONS: u32 = 3;

/// Why no endpoint streams the response.
pub(crate) enum StreamFailure {
  /// No endpoint has a free slot, and none was sent the request.
  NoSlot,
  /// The retry budget is spent.
  NoRetry,
  /// The version that began the stream will not be known: its engine's process may have ended.
  VersionUnknown,
  /// The last attempt has failed.
  Failed(StageError),
  /// An endpoint's response is not a stream.
  NotStreamed(Box<ResponseHead>),
}

impl fmt::Display for StreamFailure {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    match self {
      Self::NoSlot => formatter.write_str("no free slot"),
      Self::NoRetry => formatter.write_str("no retry left"),
      Self::VersionUnknown => formatter.write_str("version that began the stream is not known"),
      Self::Failed(error) => write!(formatter, "last attempt failed: {error}"),
      Self::NotStreamed(head) => write!(formatter, "status {}", head.status),
    }
  }
}

/// The result of one attempt. The outer error means that no further attempt is possible.
type Attempt = Result<Result<ResponseHead, StageError>, StreamFailure>;

/// The state of one streaming request.
pub(crate) struct StreamRequest {
  pub(crate) gateway: Rc<Gateway>,
  pub(crate) request: Rc<RoutedRequest>,
  /// The last event that was forwarded to the caller.
  pub(crate) last_event_id: Option<u64>,
  /// The version of the endpoint that began the stream; only endpoints of that version may go on.
  pub(crate) version: Option<SoftwareVersion>,
  /// The process that began the stream, until its version is known.
  pub(super) began_at: Option<Rc<ObservedProcess>>,
  /// A connection to that process, beside the one of the stream.
  pub(super) beside: Option<Box<Connection>>,
  /// Endpoints that were tried.
  pub(super) tried: Vec<Name>,
  /// Those of them that have not run the request.
  pub(super) not_run_at: Vec<Name>,
  /// Attempts that may have run.
  pub(super) attempts: u32,
  pub(super) sends: Rc<Sends>,
  /// How much the next retry is needed.
  retry_need: Cell<RetryNeed>,
  /// Endpoints that stated that they did not run the request.
  pub(super) rejections: u32,
  /// Endpoints that have restarted since they were listed.
  pub(super) restarted: usize,
  /// Endpoints whose reports name a start that their entries lack.
  pub(super) lacking_start: usize,
  /// The exported KV cache, retained after a rejection.
  pub(super) export: Option<ExportGuard>,
  /// The engine that rejected the request with that export.
  pub(super) rejected_by: Option<Name>,
  /// Whether the decode engine has to prefill the prompt itself.
  pub(super) skips_prefill: bool,
  /// The engine where the stream was interrupted, until a resumption there was tried.
  pub(crate) interrupted_at: Option<Name>,
  /// Whether an engine with the prompt cached was searched for.
  pub(super) searched_cached: bool,
  /// The prefill's place in its engine's queue, for logs.
  queue_note: Option<String>,
  /// Whether a prefill was requested before; the first one is not charged to the retry budget.
  pub(super) was_prefilled: bool,
}

impl StreamRequest {
  pub(crate) fn new(gateway: Rc<Gateway>, request: Rc<RoutedRequest>) -> Self {
    let version = request.resumption.version().cloned();
    Self {
      attempts: 0,
      began_at: None,
      beside: None,
      export: None,
      gateway,
      interrupted_at: None,
      lacking_start: 0,
      last_event_id: request.attributes.last_event_id,
      not_run_at: Vec::new(),
      queue_note: None,
      rejected_by: None,
      rejections: 0,
      restarted: 0,
      request,
      retry_need: Cell::default(),
      searched_cached: false,
      sends: Rc::default(),
      skips_prefill: false,
      tried: Vec::new(),
      version,
      was_prefilled: false,
    }
  }

  /// The endpoints that were tried.
  pub(crate) fn tried(&self) -> &[Name] {
    &self.tried
  }

  /// The endpoints that may not run the stream.
  pub(super) fn exclusions(&self) -> Exclusions<'_> {
    Exclusions {
      tried: &self.tried,
      version: self.version.as_ref(),
    }
  }

  /// Whether an endpoint may have run the request.
  pub(crate) fn may_have_run(&self) -> bool {
    self.attempts > 0
  }

  /// Whether a request that may have run may be sent again.
  pub(crate) fn may_retry(&self) -> bool {
    self.request.route.kind.may_retry()
  }

  /// Sends the request until an endpoint streams or no further attempt is allowed.
  pub(crate) async fn begin(&mut self) -> Result<ResponseHead, StreamFailure> {
    self.begin_charged(None).await
  }

  /// The same, with the charge for the first attempt if it was taken before.
  pub(super) async fn begin_charged(
    &mut self,
    mut charge: Option<SendCharge>,
  ) -> Result<ResponseHead, StreamFailure> {
    loop {
      let error = match self.attempt(charge.take()).await? {
        Ok(head) if head.status.is_success() && head.attributes.has_receipt => {
          self.retry_need.set(RetryNeed::Required);
          return Ok(head);
        }
        Ok(head) if head.status.is_success() => {
          StageError::Lost("success without a receipt".into())
        }
        Ok(mut head) if head.status.is_server_error() && self.has_attempts_left() => {
          self.gateway.counters.endpoint_failures.inc();
          head.load_guard.settle(AttemptOutcome::Failed);
          StageError::Lost(format!("status {}", head.status))
        }
        Ok(head) => return Err(StreamFailure::NotStreamed(Box::new(head))),
        Err(error) => error,
      };
      if !self.may_continue_after(&error) {
        return Err(StreamFailure::Failed(error));
      }
    }
  }

  pub(super) fn has_attempts_left(&self) -> bool {
    self.may_retry() && self.attempts < self.request.route.max_attempts
  }

  /// Whether the request may be sent again after an error.
  pub(crate) fn may_continue_after(&self, error: &StageError) -> bool {
    if self.request.is_blocked(&self.gateway) {
      return false;
    }
    match error {
      StageError::Blocked => false,
      StageError::Unreachable | StageError::Unsent(_) | StageError::Unavailable(_) => {
        self.tried.len() < MAX_UNSENT + self.restarted + self.lacking_start
      }
      StageError::NotRun(_) => self.rejections < MAX_REJECTIONS,
      StageError::Lost(_) | StageError::LeftUnread { .. } => self.has_attempts_left(),
    }
  }

  async fn attempt(&mut self, charge: Option<SendCharge>) -> Attempt {
    if self.request.is_split {
      self.attempt_split(charge).await
    } else {
      self.attempt_full(charge).await
    }
  }

  /// An attempt at an endpoint that runs the whole request.
  async fn attempt_full(&mut self, charge: Option<SendCharge>) -> Attempt {
    self.await_recorded_version(None).await;
    self.await_known_engine(None).await;
    let excluded = self.tried_or_unrecorded();
    let choice = self.gateway.choose(EndpointCriteria {
      allowed_halls: &self.request.allowed_halls,
      hall: self.gateway.preferred_hall(),
      is_retryable: self.may_retry(),
      role: None,
      service: &self.request.service,
      size: self.request.expected_tokens().max(1),
      tried: &excluded,
      version: self.version.as_ref(),
    });
    let entry = choice.ok_or(StreamFailure::NoSlot)?.entry;
    let charge = self.charge_or_take(charge).await?;
    let outgoing = OutgoingStream::new(&entry, charge);
    Ok(self.send_charged(outgoing).await)
  }

  /// An attempt with disaggregated prefill: a slot at a decode engine, and the prefill at another engine.
  async fn attempt_split(&mut self, charge: Option<SendCharge>) -> Attempt {
    self.await_recorded_version(Some(Role::Decode)).await;
    self.await_known_engine(Some(Role::Decode)).await;
    if let Some((entry, reservation)) = self.resume_slot().await {
      let charge = self.charge_or_take(charge).await?;
      let outgoing = OutgoingStream {
        reservation: Some(reservation),
        ..OutgoingStream::new(&entry, charge)
      };
      return Ok(self.send_charged(outgoing).await);
    }
    let requested_ms = self.gateway.now_ms();
    let slot = reserve_slot(&self.gateway, &self.request, self.exclusions()).await;
    let reserved_ms = self.gateway.now_ms();
    let (entry, reservation) = slot.ok_or(StreamFailure::NoSlot)?;
    // Charged before the prefill: without a retry for the stream its result would be lost.
    let charge = self.charge_or_take(charge).await?;
    let export = self.export_for(&entry.hall).await?;
    let prefilled_ms = self.gateway.now_ms();
    let prefilled_by = export
      .as_ref()
      .map_or_else(|| entry.id.clone(), |export| export.engine().clone());
    let outgoing = OutgoingStream {
      export,
      reservation: Some(reservation),
      ..OutgoingStream::new(&entry, charge)
    };
    let sent = self.send_charged(outgoing).await;
    if let Ok(head) = &sent
      && head.entry.id == entry.id
    {
      self
        .gateway
        .record_first_event(self.gateway.now_ms() - reserved_ms);
      let endpoints = self.gateway.endpoints.borrow();
      let recorded_at = endpoints.covering_record(&entry, 0);
      log::info!(
        "E510 streaming: {} at {} version {} recorded at {recorded_at:?} with status {}, prefilled by {prefilled_by}: seat {} ms, prompt {} ms, head {} ms, {} ms after arrival, try {}{}",
        self.request.id(),
        entry.id,
        entry.version,
        head.status,
        reserved_ms - requested_ms,
        prefilled_ms - reserved_ms,
        self.gateway.now_ms() - prefilled_ms,
        self.gateway.now_ms() - self.request.arrived_ms,
        self.tried.len(),
        self
          .queue_note
          .as_ref()
          .map_or_else(String::new, |note| format!(", {note}"))
      );
    }
    Ok(sent)
  }

  /// A slot at an engine that has the prompt of a resumed stream cached; searched for once per interruption.
  async fn resume_slot(&mut self) -> Option<(EndpointEntry, Reservation)> {
    let interrupted_at = self.interrupted_at.take();
    let is_new = self.tried.is_empty() && !self.searched_cached;
    let may_search = interrupted_at.is_some() || is_new;
    if self.last_event_id.is_none() || !may_search {
      return None;
    }
    self.searched_cached = true;
    if !self.gateway.settings.mechanisms.resume_on_cached_prompt {
      return None;
    }
    reserve_resume_slot(
      &self.gateway,
      &self.request,
      interrupted_at.as_ref(),
      self.version.as_ref(),
    )
    .await
  }

  /// The exported KV cache for a decode engine in a hall; `None` when that engine has to prefill the prompt itself.
  async fn export_for(&mut self, hall: &Name) -> Result<Option<ExportGuard>, StreamFailure> {
    // A quarantine probe must reach one endpoint only.
    if self.skips_prefill || self.request.is_probe() {
      return Ok(None);
    }
    if let Some(export) = self.export.take().filter(ExportGuard::is_fresh) {
      return Ok(Some(export));
    }
    let is_first = !std::mem::replace(&mut self.was_prefilled, true);
    let mut charge = match is_first {
      true => None,
      false => SendCharge::take_own(&self.gateway, &self.request, &self.sends),
    };
    // A second prefill is charged to the retry budget; without budget the decode engine prefills.
    if !is_first && charge.is_none() {
      return Ok(None);
    }
    if let Some(charge) = &mut charge {
      charge.set_sent(true);
    }
    let result = prefill(&self.gateway, &self.request, hall).await;
    self.queue_note = result.queue_note;
    if let Some(charge) = &mut charge {
      charge.set_sent(result.was_received);
    }
    // A first prefill that failed counts like a send.
    if is_first && result.was_received && result.export.is_none() {
      self.charge_or_take(None).await?.set_sent(true);
    }
    Ok(result.export)
  }

  /// Whether the retry budget may allow a retry that only shows whether the stream is complete. One that is needed, since ends were
  /// early or the stream is aborted without it, may use as much as a retry of a failed request.
  pub(super) fn may_check_end(&self, service: &Name, is_needed: bool) -> bool {
    let need = match is_needed {
      true => RetryNeed::Required,
      false => RetryNeed::Optional,
    };
    self.retry_need.set(need);
    self.gateway.has_retry_for(service, need) || may_borrow_retry(&self.gateway, service)
  }

  /// Charges a send before it is sent: always the first one, then as the retry budget allows.
  pub(super) async fn take_charge(&self) -> Option<SendCharge> {
    let need = self.retry_need.get();
    SendCharge::take(&self.gateway, &self.request, &self.sends, need).await
  }

  /// The charge of a send that was charged before, or a new one; fails when the retry budget is spent.
  async fn charge_or_take(&self, charge: Option<SendCharge>) -> Result<SendCharge, StreamFailure> {
    match charge {
      Some(charge) => Ok(charge),
      None => self.take_charge().await.ok_or(StreamFailure::NoRetry),
    }
  }

  /// Sends the request to an endpoint. A charge for what reached no endpoint is returned.
  async fn send_charged(
    &mut self,
    outgoing: OutgoingStream<'_>,
  ) -> Result<ResponseHead, StageError> {
    let OutgoingStream {
      entry,
      export,
      mut charge,
      reservation,
    } = outgoing;
    charge.set_sent(true);
    let sent = self.send(entry, reservation, export).await;
    if matches!(&sent, Err(error) if error.is_unsent()) {
      charge.set_sent(false);
    }
    let is_unconfirmed = matches!(
      &sent,
      Err(StageError::Unavailable(Unavailable::Unconfirmed))
    );
    if is_unconfirmed && self.gateway.endpoints.borrow().lacks_start(entry) {
      self.lacking_start += 1;
    }
    sent
  }
}

impl Drop for StreamRequest {
  fn drop(&mut self) {
    // Its caller may resume the stream before the version of the process is known.
    if let Some(beside) = self.beside.take() {
      self.gateway.keep_unused(*beside);
    }
  }
}

/// A request that is to be sent to an endpoint, with what was secured for it.
struct OutgoingStream<'a> {
  entry: &'a EndpointEntry,
  charge: SendCharge,
  reservation: Option<Reservation>,
  export: Option<ExportGuard>,
}

impl<'a> OutgoingStream<'a> {
  fn new(entry: &'a EndpointEntry, charge: SendCharge) -> Self {
    Self {
      charge,
      entry,
      export: None,
      reservation: None,
    }
  }
}
