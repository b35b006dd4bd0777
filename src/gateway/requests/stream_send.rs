//! Sends a streaming request to one engine, detects its silence, and records what its result means for the next attempt.

use {
  super::{
    stream_request::StreamRequest,
    takeover::{Race, Takeover},
  },
  crate::gateway::{
    decisions::Unavailable,
    edge::{EndpointEntry, ProxyHeaders, Stage},
    permits::Permit,
    quarantine::{LostStage, record_lost_stage},
    stages::{ExportGuard, OutgoingStage, Reservation, ResponseHead, StageError, send_stage},
  },
  std::{pin::pin, time::Duration},
  tokio::time::timeout,
};

/// How long a retryable stream may be silent before another engine takes it over: less than callers' timeouts.
pub(crate) const SILENCE_TIMEOUT_MS: u64 = 1_200;

/// How a request that was sent to an engine was answered.
enum Sent {
  /// By this engine, or not at all.
  Responded(Result<ResponseHead, StageError>),
  /// By another engine, which took it over while this one was silent.
  TakenOver {
    head: ResponseHead,
    /// Why this engine failed meanwhile, if it did.
    error: Option<StageError>,
  },
}

impl StreamRequest {
  pub(super) async fn send(
    &mut self,
    entry: &EndpointEntry,
    mut reservation: Option<Reservation>,
    export: Option<ExportGuard>,
  ) -> Result<ResponseHead, StageError> {
    let checked = self.check_version(entry);
    self.tried.push(entry.id.clone());
    // Counted before it is sent: the deadline may pass before the result is known.
    self.attempts += 1;
    if let Err(error) = checked {
      self.record_error(entry, &error, export);
      return Err(error);
    }
    let proxy_headers = self.proxy_headers(reservation.as_ref(), export.as_ref());
    let sent_ms = self.gateway.now_ms();
    let permit = reservation
      .as_mut()
      .map_or(Permit::NotNeeded, Reservation::take_permit);
    let result = match self
      .send_within_silence(entry, &proxy_headers, permit)
      .await
    {
      Sent::Responded(result) => result,
      Sent::TakenOver { head, error } => {
        if let Some(error) = error {
          self.record_error(entry, &error, None);
        }
        return Ok(head);
      }
    };
    match &result {
      Ok(_) => self.record_response(reservation, export),
      Err(error) => self.record_error(entry, error, export),
    }
    if let Err(StageError::Lost(error)) = &result {
      let lost = self.lost_stage(entry, sent_ms, None, error.clone());
      record_lost_stage(&self.gateway, &self.request, lost).await;
    }
    result
  }

  /// Checks that an endpoint is listed with the stream's version, and that the store has the record without which no stream begins or
  /// goes on.
  fn check_version(&self, entry: &EndpointEntry) -> Result<(), StageError> {
    let version = self.version.as_ref();
    if version.is_some_and(|version| entry.version != *version) {
      return Err(Unavailable::Unlisted.into());
    }
    if !self.is_recorded(entry) {
      return Err(Unavailable::VersionUnrecorded.into());
    }
    Ok(())
  }

  fn proxy_headers(
    &self,
    reservation: Option<&Reservation>,
    export: Option<&ExportGuard>,
  ) -> ProxyHeaders {
    let stage = export.map_or(Stage::Full, |guard| Stage::DecodeFrom(guard.export.clone()));
    ProxyHeaders {
      last_event_id: self.last_event_id,
      reservation: reservation.map(|reservation| reservation.id.clone()),
      ..self.request.proxy_headers(stage, self.gateway.now_ms())
    }
  }

  /// Waits for the response's head. A silent engine gets no further requests, and is abandoned only once another one has responded.
  async fn send_within_silence(
    &mut self,
    entry: &EndpointEntry,
    proxy_headers: &ProxyHeaders,
    permit: Permit,
  ) -> Sent {
    let (gateway, request) = (self.gateway.clone(), self.request.clone());
    let size = request.expected_tokens().max(1);
    let stage = OutgoingStage {
      permit,
      ..OutgoingStage::new(entry, proxy_headers, size, 1)
    };
    let sent_ms = gateway.now_ms();
    let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
    let mut sending = pin!(send_stage(&gateway, &request, stage));
    if let Ok(result) = timeout(silence, sending.as_mut()).await {
      return Sent::Responded(result);
    }
    loop {
      gateway.mark_overdue(&entry.id);
      self.log_silence(&entry.id, SILENCE_TIMEOUT_MS);
      let lost = self.lost_stage(entry, sent_ms, None, "no response in time".into());
      let takeover = Takeover {
        has_failed: is_unusable,
        silent: lost,
      };
      match self.race_takeover(sending.as_mut(), takeover).await {
        Race::Current(result) => {
          gateway.record_continued(entry);
          self.end_silence();
          return Sent::Responded(result);
        }
        Race::Failed(result) => return Sent::Responded(result),
        Race::TakenOver(head, failed) => {
          self.log_taken_over(&entry.id, &head);
          return Sent::TakenOver {
            error: failed.and_then(Result::err),
            head: *head,
          };
        }
        Race::Stays => {}
      }
      if let Ok(result) = timeout(silence, sending.as_mut()).await {
        if result.is_ok() {
          gateway.record_continued(entry);
          self.end_silence();
        }
        return Sent::Responded(result);
      }
    }
  }

  /// A stage of this stream that is lost at an endpoint.
  pub(super) fn lost_stage(
    &self,
    entry: &EndpointEntry,
    sent_ms: u64,
    answering_ms: Option<u64>,
    error: String,
  ) -> LostStage {
    LostStage {
      answering_ms,
      entry: entry.clone(),
      error,
      fingerprint: self.request.fingerprint(),
      segments: self.request.segment_fingerprints(),
      sent_ms,
    }
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
    if matches!(error, StageError::Unavailable(Unavailable::Restarted)) {
      self.restarted += 1;
    }
    if error.has_not_run() {
      self.attempts -= 1;
      self.not_run_at.push(entry.id.clone());
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

/// Whether another endpoint may still do better than a response: it is an error, or lacks its receipt.
fn is_unusable(response: &Result<ResponseHead, StageError>) -> bool {
  response.as_ref().map_or(true, |head| {
    head.status.is_server_error() || head.status.is_success() && !head.attributes.has_receipt
  })
}
