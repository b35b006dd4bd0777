//! Sends a streaming request to one engine, detects its silence, and records what its result means for the next attempt.

use {
  super::{slot::reserve_slot, stream_request::StreamRequest, takeover::NoTakeover},
  crate::gateway::{
    decisions::Unavailable,
    edge::{EndpointEntry, ProxyHeaders, Stage},
    permits::Permit,
    quarantine::{LostStage, record_lost_stage},
    stages::{
      ExportGuard, OutgoingStage, Reservation, ResponseHead, StageError, check_incarnation,
      send_stage,
    },
  },
  futures_util::FutureExt,
  std::{pin::pin, time::Duration},
  tokio::time::timeout,
};

/// How long a retryable stream may be silent before another engine takes it over: less than callers' timeouts.
pub(crate) const SILENCE_TIMEOUT_MS: u64 = 1_200;

impl StreamRequest {
  pub(super) async fn send(
    &mut self,
    entry: &EndpointEntry,
    mut reservation: Option<Reservation>,
    export: Option<ExportGuard>,
  ) -> Result<ResponseHead, StageError> {
    self.tried.push(entry.id.clone());
    // Counted before it is sent: the deadline may pass before the result is known.
    self.attempts += 1;
    if let Err(error) = self.check_version(entry).await {
      self.record_error(entry, &error, export);
      return Err(error);
    }
    let proxy_headers = self.proxy_headers(entry, reservation.as_ref(), export.as_ref());
    let sent_ms = self.gateway.now_ms();
    let permit = reservation
      .as_mut()
      .map_or(Permit::NotNeeded, Reservation::take_permit);
    let result = self
      .send_within_silence(entry, &proxy_headers, permit)
      .await;
    match &result {
      Ok(_) => self.record_response(reservation, export),
      Err(error) => self.record_error(entry, error, export),
    }
    if let Err(StageError::Lost(error)) = &result {
      let lost = LostStage {
        answering_ms: None,
        entry: entry.clone(),
        error: error.clone(),
        fingerprint: self.request.fingerprint(),
        segments: self.request.segment_fingerprints(),
        sent_ms,
      };
      record_lost_stage(&self.gateway, &self.request, lost).await;
    }
    result
  }

  /// Checks that an endpoint has the stream's version, or, if the stream begins there, the version that will be recorded for it:
  /// one that has restarted under its id may have another version than the listed one.
  async fn check_version(&self, entry: &EndpointEntry) -> Result<(), StageError> {
    let are_several = {
      let endpoints = self.gateway.endpoints.borrow();
      endpoints.versions().are_several(&entry.service)
    };
    let may_lag = !self.gateway.is_current();
    let needs_check = match &self.version {
      Some(version) if entry.version != *version => return Err(Unavailable::Unlisted.into()),
      Some(_) => are_several || may_lag,
      None => self.may_retry() && are_several && may_lag,
    };
    if needs_check {
      check_incarnation(&self.gateway, entry).await?;
    }
    Ok(())
  }

  fn proxy_headers(
    &self,
    entry: &EndpointEntry,
    reservation: Option<&Reservation>,
    export: Option<&ExportGuard>,
  ) -> ProxyHeaders {
    let stage = export.map_or(Stage::Full, |guard| Stage::DecodeFrom(guard.export.clone()));
    ProxyHeaders {
      last_event_id: self.last_event_id,
      reservation: reservation.map(|reservation| reservation.id.clone()),
      ..self
        .request
        .proxy_headers(entry, stage, self.gateway.now_ms())
    }
  }

  /// Waits for the response's head. A silent engine gets no further requests, and is abandoned only once another one has a slot.
  async fn send_within_silence(
    &mut self,
    entry: &EndpointEntry,
    proxy_headers: &ProxyHeaders,
    permit: Permit,
  ) -> Result<ResponseHead, StageError> {
    let (gateway, request) = (self.gateway.clone(), self.request.clone());
    let size = request.expected_tokens().max(1);
    let stage = OutgoingStage {
      permit,
      ..OutgoingStage::new(entry, proxy_headers, size, 1)
    };
    let mut sending = pin!(send_stage(&gateway, &request, stage));
    loop {
      let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
      if let Ok(result) = timeout(silence, sending.as_mut()).await {
        return result;
      }
      gateway.mark_overdue(&entry.id);
      self.log_silence(&entry.id, SILENCE_TIMEOUT_MS);
      if let Err(reason) = self.prepare_takeover().await {
        self.log_no_takeover(&entry.id, reason);
        continue;
      }
      // The engine may have answered in the meantime.
      if let Some(result) = sending.as_mut().now_or_never() {
        self.log_went_on(&entry.id);
        self.cancel_takeover();
        return result;
      }
      return Err(StageError::Lost("no response in time".into()));
    }
  }

  /// Reserves a slot for the next attempt while the current endpoint is silent.
  pub(crate) async fn prepare_takeover(&mut self) -> Result<(), NoTakeover> {
    if !self.gateway.settings.mechanisms.silence_takeover {
      return Err(NoTakeover::Disabled);
    }
    if self.request.is_blocked(&self.gateway) {
      return Err(NoTakeover::Blocked);
    }
    if !self.has_attempts_left() {
      return Err(NoTakeover::NoAttempt);
    }
    if !self.gateway.has_retry_left(&self.request.service) {
      return Err(NoTakeover::NoRetry);
    }
    if !self.is_split() {
      return Ok(());
    }
    self.slot = reserve_slot(&self.gateway, &self.request, self.exclusions()).await;
    self.slot.as_ref().map(|_| ()).ok_or(NoTakeover::NoSlot)
  }

  /// Releases that slot: the current endpoint has continued.
  pub(crate) fn cancel_takeover(&mut self) {
    self.slot = None;
  }

  /// Records a response: the endpoint has consumed the reservation and the export.
  fn record_response(&mut self, reservation: Option<Reservation>, export: Option<ExportGuard>) {
    if let Some(mut export) = export {
      export.set_used();
    }
    if let Some(mut reservation) = reservation {
      reservation.set_used();
    }
    self.blame_rejecting_engine();
  }

  fn record_error(
    &mut self,
    entry: &EndpointEntry,
    error: &StageError,
    export: Option<ExportGuard>,
  ) {
    if error.has_not_run() {
      self.attempts -= 1;
    }
    log::info!(
      "E502 stage failed: {} at {}: {error}",
      self.request.id(),
      entry.id
    );
    match error {
      StageError::NotRun(_) => self.record_rejection(entry, export),
      // No engine has fetched the export.
      StageError::Unreachable
      | StageError::Unsent(_)
      | StageError::Unavailable(_)
      | StageError::Blocked => self.export = export,
      StageError::Lost(_) | StageError::LeftUnread { .. } => {}
    }
  }

  /// Another engine has accepted the export: the one that rejected it is at fault.
  fn blame_rejecting_engine(&mut self) {
    if let Some(engine) = self.rejected_by.take() {
      self.gateway.mark_faulty(&engine);
    }
  }

  /// Records that an engine rejected the request despite a reservation: the engine or the export may be at fault.
  fn record_rejection(&mut self, entry: &EndpointEntry, export: Option<ExportGuard>) {
    self.rejections += 1;
    match (export, self.rejected_by.take()) {
      (None, _) => self.gateway.mark_faulty(&entry.id),
      (Some(export), None) => {
        self.rejected_by = Some(entry.id.clone());
        self.export = Some(export);
      }
      (Some(export), Some(_)) => {
        self.gateway.mark_faulty(export.engine());
        self.skips_prefill = true;
      }
    }
  }
}
