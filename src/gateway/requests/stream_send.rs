//! Sending a streamed request to one engine: within the silence that is borne, and what the engine's word means for the
//! next try.

use {
  super::{seat::reserve_seat, stream_request::StreamRequest},
  crate::gateway::{
    edge::{EndpointEntry, ProxyHeaders, Stage},
    permits::Permit,
    quarantine::{LostPart, note_lost},
    stages::{ExportGuard, OutgoingStage, Reservation, ResponseHead, StageError, send_stage},
  },
  futures_util::FutureExt,
  std::{pin::pin, time::Duration},
  tokio::time::timeout,
};

/// How long a repeatable stream may be silent before another engine takes it up: less than a caller's patience.
pub(crate) const SILENCE_MS: u64 = 1_200;

impl StreamRequest {
  pub(super) async fn send(
    &mut self,
    entry: &EndpointEntry,
    mut reservation: Option<Reservation>,
    export: Option<ExportGuard>,
  ) -> Result<ResponseHead, StageError> {
    self.tried.push(entry.id.clone());
    // Counted before it is sent: the time may run out while no answer is known.
    self.attempts += 1;
    let proxy_headers = self.proxy_headers(entry, reservation.as_ref(), export.as_ref());
    let sent_ms = self.gateway.now_ms();
    let permit = reservation
      .as_mut()
      .map_or(Permit::NotNeeded, Reservation::take_permit);
    let result = self
      .send_within_silence(entry, &proxy_headers, permit)
      .await;
    match &result {
      Ok(_) => self.note_answer(reservation, export),
      Err(error) => self.note_error(entry, error, export),
    }
    if let Err(StageError::Lost(error)) = &result {
      let lost = LostPart {
        entry: entry.clone(),
        error: error.clone(),
        fingerprint: self.request.fingerprint(),
        sent_ms,
      };
      note_lost(&self.gateway, &self.request, lost).await;
    }
    result
  }

  fn proxy_headers(
    &self,
    entry: &EndpointEntry,
    reservation: Option<&Reservation>,
    export: Option<&ExportGuard>,
  ) -> ProxyHeaders {
    let part = export.map_or(Stage::Full, |kept| Stage::DecodeFrom(kept.export.clone()));
    ProxyHeaders {
      last_event_id: self.last_event_id,
      reservation: reservation.map(|reservation| reservation.id.clone()),
      ..self
        .request
        .proxy_headers(entry, part, self.gateway.now_ms())
    }
  }

  /// Waits for the head; an engine that is silent for too long is left alone, and given up once another one has
  /// a seat. Silence by itself ends nothing.
  async fn send_within_silence(
    &mut self,
    entry: &EndpointEntry,
    proxy_headers: &ProxyHeaders,
    permit: Permit,
  ) -> Result<ResponseHead, StageError> {
    let (gateway, request) = (self.gateway.clone(), self.request.clone());
    let size = request.expected_tokens().max(1);
    let part = OutgoingStage {
      permit,
      ..OutgoingStage::new(entry, proxy_headers, size, 1)
    };
    let mut sending = pin!(send_stage(&gateway, &request, part));
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
      return Err(StageError::Lost("no answer in time".into()));
    }
  }

  /// Finds a seat for a further try while the present endpoint is silent.
  pub(crate) async fn prepare_takeover(&mut self) -> bool {
    if !self.gateway.settings.mechanisms.silence_takeover {
      return false;
    }
    if self.request.is_blocked(&self.gateway) {
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
  fn note_answer(&mut self, reservation: Option<Reservation>, export: Option<ExportGuard>) {
    if let Some(mut export) = export {
      export.set_used();
    }
    if let Some(mut reservation) = reservation {
      reservation.set_used();
    }
    self.blame_for_refusal();
  }

  fn note_error(&mut self, entry: &EndpointEntry, error: &StageError, export: Option<ExportGuard>) {
    if error.has_not_run() {
      self.attempts -= 1;
    }
    log::info!(
      "E502 part failed: {} at {}: {error}",
      self.request.id(),
      entry.id
    );
    match error {
      StageError::NotRun(_) => self.note_refusal(entry, export),
      // No engine has fetched it.
      StageError::Unreachable
      | StageError::Unsent(_)
      | StageError::Unavailable(_)
      | StageError::Blocked => self.export = export,
      StageError::Lost(_) => {}
    }
  }

  /// Another engine took the prompt: the one that refused it is at fault.
  fn blame_for_refusal(&mut self) {
    if let Some(engine) = self.refused_by.take() {
      self.gateway.blame(&engine);
    }
  }

  /// An engine with a seat refused: it, or the prompt that another engine keeps, may be at fault.
  fn note_refusal(&mut self, entry: &EndpointEntry, export: Option<ExportGuard>) {
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
}
