//! Reserving a seat at a decode engine before a prompt is read for it.

use {
  crate::{
    decide::Role,
    gateway::{
      decisions::{PartEnd, SeatPlace, SeatUrgency, Wanted},
      edge::EndpointEntry,
      permits::{Permit, return_permit, take_permit},
      stages::{EngineCallError, LoadGuard, Purpose, Reservation, RoutedRequest, call_engine},
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
  tokio::time::{sleep, timeout},
};

/// A reservation outlasts reading and a retry.
const RESERVATION_MS: u64 = 1_500;
/// How long a stream that broke looks for a seat: its caller has patience for two seconds.
const GO_ON_WAIT_MS: u64 = 900;
/// Pause between asks when every engine has just said that it is full.
const SEAT_PAUSE: Duration = Duration::from_millis(8);
/// Part of the wanted time for which a request looks for a seat at least, though its first event may come too late.
const LEAST_WAIT_SHARE: f64 = 0.22;
/// Part of the wanted time that is taken for the way from a seat to the first event before any was seen.
const UNSEEN_START_SHARE: f64 = 0.4;
/// The way from a seat to the first event varies; this many times its mean is allowed for.
const START_MARGIN: f64 = 1.5;

/// How long a request looks for a seat, and how it stands among the others.
#[derive(Clone, Copy, Debug)]
struct SeatWait {
  urgency: SeatUrgency,
  until_ms: u64,
}

/// Reserves a seat. A stream that goes on comes first, then the oldest request; one that begins looks for a seat as
/// long as its first event can still come in the wanted time.
pub(crate) async fn reserve_seat(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  tried: &[Name],
) -> Option<(EndpointEntry, Reservation)> {
  let since_ms = gateway.now_ms();
  let wait = seat_wait(gateway, request, tried);
  let wait_ms = wait.until_ms.saturating_sub(since_ms);
  if !has_chance(gateway, request, wait.urgency, wait_ms) {
    return None;
  }
  let seat = timeout(
    Duration::from_millis(wait_ms),
    ask_in_turn(gateway, request, tried, wait.urgency),
  )
  .await
  .unwrap_or(None);
  if seat.is_none() {
    log::info!(
      "E504 no seat: {} waited {} of {wait_ms} ms",
      request.id(),
      gateway.now_ms() - since_ms
    );
  }
  seat
}

/// Whether a request may get a seat before its wait is over; a stream that goes on always tries.
fn has_chance(
  gateway: &Gateway,
  request: &RoutedRequest,
  urgency: SeatUrgency,
  within_ms: u64,
) -> bool {
  if urgency == SeatUrgency::GoesOn || !gateway.settings.mechanisms.refusal_by_forecast {
    return true;
  }
  let ahead = gateway.seat_queue.borrow().len();
  let forecast = gateway.seat_forecast.borrow();
  if forecast.has_chance(ahead, within_ms) {
    return true;
  }
  log::info!(
    "E524 no seat expected: {} has {within_ms} ms and {ahead} ahead, a seat comes each {:?} ms",
    request.id(),
    forecast.interval_ms()
  );
  false
}

/// How long a request looks for a seat.
fn seat_wait(gateway: &Gateway, request: &RoutedRequest, tried: &[Name]) -> SeatWait {
  if !tried.is_empty() || request.attributes.last_event_id.is_some() {
    return SeatWait {
      until_ms: gateway.now_ms() + GO_ON_WAIT_MS,
      urgency: SeatUrgency::GoesOn,
    };
  }
  let target_ms = request.rank.target_ms as f64;
  let start_ms = gateway
    .start_ms
    .get()
    .unwrap_or(target_ms * UNSEEN_START_SHARE);
  let in_time_ms = target_ms - start_ms * START_MARGIN;
  let wait_ms = in_time_ms.max(target_ms * LEAST_WAIT_SHARE) as u64;
  SeatWait {
    until_ms: (request.arrived_ms + wait_ms).min(request.deadline_ms),
    urgency: SeatUrgency::Begins,
  }
}

/// A request in the queue; it leaves when this is dropped.
struct QueuedRequest<'a> {
  gateway: &'a Gateway,
  place: SeatPlace,
}

impl<'a> QueuedRequest<'a> {
  fn new(gateway: &'a Gateway, urgency: SeatUrgency, priority: u8) -> Self {
    let place = gateway.seat_queue.borrow_mut().join(urgency, priority);
    Self { gateway, place }
  }

  /// The request has a seat.
  fn note_seat(&self) {
    let others_wait = self.gateway.seat_queue.borrow().len() > 1;
    let now_ms = self.gateway.now_ms();
    self
      .gateway
      .seat_forecast
      .borrow_mut()
      .note_seat(now_ms, others_wait);
  }

  fn is_first(&self) -> bool {
    self.gateway.seat_queue.borrow().is_first(self.place)
  }
}

impl Drop for QueuedRequest<'_> {
  fn drop(&mut self) {
    let mut queue = self.gateway.seat_queue.borrow_mut();
    queue.leave(self.place);
    if queue.is_empty() {
      self.gateway.seat_forecast.borrow_mut().note_idle();
    }
    drop(queue);
    self.gateway.seat_queue_moved.notify_waiters();
  }
}

/// Asks one engine after another until one has a seat, while no other request of the box goes first.
async fn ask_in_turn(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  tried: &[Name],
  urgency: SeatUrgency,
) -> Option<(EndpointEntry, Reservation)> {
  let queued = QueuedRequest::new(gateway, urgency, request.rank.priority);
  loop {
    let moved = gateway.seat_queue_moved.notified();
    if !queued.is_first() {
      moved.await;
      continue;
    }
    let choice = gateway.choose(Wanted {
      allowed_halls: &request.allowed_halls,
      hall: gateway.preferred_hall(),
      may_retry: request.route.kind.may_retry(),
      role: Some(Role::Decode),
      service: &request.service,
      size: request.expected_tokens().max(1),
      tried,
    })?;
    match ask_seat(gateway, request, &choice.entry, request.expected_tokens()).await {
      Some(reservation) => {
        queued.note_seat();
        return Some((choice.entry, reservation));
      }
      None if choice.left_alone => sleep(SEAT_PAUSE).await,
      None => {}
    }
  }
}

/// Asks one engine for a seat with memory for some tokens; nothing when it has none or does not answer.
pub(crate) async fn ask_seat(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  entry: &EndpointEntry,
  tokens: u64,
) -> Option<Reservation> {
  // One permit is for the seat and for the stream in it: a seat without a permit would be reserved in vain.
  let permit = match take_permit(gateway, entry, request.permit_caller()).await {
    Ok(permit) => permit,
    Err(_) => return None,
  };
  let call = gateway.codec.reservation_call(tokens, RESERVATION_MS);
  let mut load_guard = LoadGuard::new(gateway, &entry.id, request.expected_tokens(), 1);
  match call_engine(gateway, entry, call, Purpose::Call).await {
    Ok(body) => match gateway.codec.reservation(&body) {
      Ok(id) => return Some(Reservation::new(gateway, entry, id, permit)),
      Err(error) => {
        log::warn!(
          "E511 reservation failed: {} at {}: {error}",
          request.id(),
          entry.id
        );
        load_guard.settle(PartEnd::Lost);
      }
    },
    Err(failure) => {
      // A refusal is usual: the engine is full.
      if !matches!(failure, EngineCallError::Rejected(_)) {
        log::info!(
          "E511 reservation failed: {} at {}: {failure}",
          request.id(),
          entry.id
        );
      }
      load_guard.settle(failure.outcome());
    }
  }
  // What gets a permit is a caller's request, and none was sent.
  if permit == Permit::Taken {
    return_permit(gateway, entry);
  }
  None
}
