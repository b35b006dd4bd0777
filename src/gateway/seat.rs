//! Reserving a seat at a decode engine before a prompt is read for it.

use {
  super::{
    EndpointEntry, PartEnd, Wanted,
    engine_call::{CallFailure, Reservation, call_engine},
    gateway::Gateway,
    part::Booking,
    request::RoutedRequest,
  },
  crate::{decide::Role, ids::Name},
  std::{rc::Rc, time::Duration},
  tokio::time::{sleep, timeout},
};

/// A reservation outlasts reading and a retry.
const RESERVATION_MS: u64 = 1_500;
/// A stream that broke waits longer: its caller has a part of the answer, and patience for two seconds.
const RESUME_WAIT_MS: u64 = 900;
/// Pause between asks when every engine has just said that it is full.
const SEAT_PAUSE: Duration = Duration::from_millis(8);

/// Reserves a seat. The oldest request of the box goes first; one that finds no seat in time is refused while
/// its caller may still come back.
pub(crate) async fn reserve_seat(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  tried: &[Name],
) -> Option<(EndpointEntry, Reservation)> {
  let wait_ms = if tried.is_empty() {
    request.rank.seat_wait_ms
  } else {
    RESUME_WAIT_MS
  };
  let since_ms = gateway.now_ms();
  let seat = timeout(
    Duration::from_millis(wait_ms),
    ask_in_turn(gateway, request, tried),
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

/// Asks one engine after another until one has a seat, once the older requests of the box have theirs.
async fn ask_in_turn(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  tried: &[Name],
) -> Option<(EndpointEntry, Reservation)> {
  let _turn = gateway.seat_turn.lock().await;
  loop {
    let choice = gateway.choose(Wanted {
      hall: gateway.preferred_hall(),
      may_repeat: request.route.kind.may_repeat(),
      role: Some(Role::Decode),
      service: &request.service,
      size: request.tokens().max(1),
      tried,
    })?;
    match ask_seat(gateway, request, &choice.entry, request.tokens()).await {
      Some(reservation) => return Some((choice.entry, reservation)),
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
  let call = gateway.dialect.reserve(tokens, RESERVATION_MS);
  let mut booking = Booking::new(gateway, &entry.id, request.tokens(), 1);
  match call_engine(gateway, entry, call).await {
    Ok(body) => match gateway.dialect.reservation(&body) {
      Ok(id) => return Some(Reservation::new(gateway, entry, id)),
      Err(error) => {
        log::warn!(
          "E511 reservation failed: {} at {}: {error}",
          request.id(),
          entry.id
        );
        booking.settle(PartEnd::Lost);
      }
    },
    Err(failure) => {
      // A refusal is usual: the engine is full.
      if !matches!(failure, CallFailure::Refused(_)) {
        log::info!(
          "E511 reservation failed: {} at {}: {failure}",
          request.id(),
          entry.id
        );
      }
      booking.settle(failure.part_end());
    }
  }
  None
}
