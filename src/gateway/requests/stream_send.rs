//! Sending a streamed request to one engine: within the silence that is borne, and what the engine's word means for the
//! next try.

use {
  super::{seat::reserve_seat, stream_request::StreamRequest},
  crate::gateway::{
    edge::{EndpointEntry, Marks, Part},
    parts::{Head, KeptExport, OutgoingPart, PartError, Reservation, send_part},
    permits::Permit,
    quarantine::{LostStage, record_lost_stage},
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
    export: Option<KeptExport>,
  ) -> Result<Head, PartError> {
    self.tried.push(entry.id.clone());
    // Counted before it is sent: the time may run out while no answer is known.
    self.attempts += 1;
    let marks = self.marks(entry, reservation.as_ref(), export.as_ref());
    let sent_ms = self.gateway.now_ms();
    let permit = reservation
      .as_mut()
      .map_or(Permit::NotNeeded, Reservation::take_permit);
    let result = self.send_within_silence(entry, &marks, permit).await;
    match &result {
      Ok(_) => self.note_answer(reservation, export),
      Err(error) => self.note_error(entry, error, export),
    }
    if let Err(PartError::Lost(error)) = &result {
      let lost = LostStage {
        entry: entry.clone(),
        error: error.clone(),
        fingerprint: self.request.fingerprint(),
        sent_ms,
      };
      record_lost_stage(&self.gateway, &self.request, lost).await;
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
    permit: Permit,
  ) -> Result<Head, PartError> {
    let (gateway, request) = (self.gateway.clone(), self.request.clone());
    let size = request.tokens().max(1);
    let part = OutgoingPart {
      permit,
      ..OutgoingPart::new(entry, marks, size, 1)
    };
    let mut sending = pin!(send_part(&gateway, &request, part));
    loop {
      let silence = Duration::from_millis(SILENCE_MS);
      if let Ok(result) = timeout(silence, sending.as_mut()).await {
        return result;
      }
      gateway.mark_overdue(&entry.id);
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
    if self.request.is_barred(&self.gateway) {
      return false;
    }
    if !self.has_attempts_left() || !self.gateway.has_retry_left(&self.request.service) {
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
      PartError::Unreachable
      | PartError::Unsent(_)
      | PartError::Unavailable(_)
      | PartError::Barred => self.export = export,
      PartError::Lost(_) => {}
    }
  }

  /// Another engine took the prompt: the one that refused it is at fault.
  fn blame_for_refusal(&mut self) {
    if let Some(engine) = self.refused_by.take() {
      self.gateway.mark_faulty(&engine);
    }
  }

  /// An engine with a seat refused: it, or the prompt that another engine keeps, may be at fault.
  fn note_refusal(&mut self, entry: &EndpointEntry, export: Option<KeptExport>) {
    self.refusals += 1;
    match (export, self.refused_by.take()) {
      (None, _) => self.gateway.mark_faulty(&entry.id),
      (Some(export), None) => {
        self.refused_by = Some(entry.id.clone());
        self.export = Some(export);
      }
      (Some(export), Some(_)) => {
        self.gateway.mark_faulty(export.engine());
        self.reads_itself = true;
      }
    }
  }
}
