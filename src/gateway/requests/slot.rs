//! Reserves a batch slot at a decode engine before the prompt is prefilled.

use {
  crate::{
    decide::Role,
    gateway::{
      decisions::{AttemptOutcome, EndpointCriteria, OrganisationLoad, QueuePosition, SlotUrgency},
      edge::{EndpointEntry, SoftwareVersion},
      permits::{Permit, acquire_permit, return_permit},
      stages::{EngineCallError, LoadGuard, Purpose, Reservation, RoutedRequest, call_engine},
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
  tokio::time::{sleep, timeout},
};

/// Lifetime of a reservation: long enough for a prefill and a retry.
const RESERVATION_TTL_MS: u64 = 1_500;
/// How long an interrupted stream waits for a slot: callers give up after two seconds.
const RESUME_TIMEOUT_MS: u64 = 900;
/// Delay before the next request for a slot when every engine is full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(8);
/// Fraction of the latency target for which a new request waits for a slot at least, even if its first event may be late.
const MIN_WAIT_SHARE: f64 = 0.22;
/// Fraction of the latency target that is assumed between a slot and the first event before any was observed.
const DEFAULT_START_SHARE: f64 = 0.4;
/// Engines in a row that can't be reached, after which a request gives up: another box may reach them.
const MAX_UNREACHED: u32 = 6;
/// Factor on the mean time between a slot and the first event, since it varies.
const START_MARGIN: f64 = 1.5;

/// How long a request waits for a slot, and with which urgency.
#[derive(Clone, Copy, Debug)]
struct SlotWait {
  urgency: SlotUrgency,
  until_ms: u64,
}

/// The engines that a request may not get a slot at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exclusions<'a> {
  /// Engines that were tried.
  pub(crate) tried: &'a [Name],
  /// The version that began the stream; engines of other versions are excluded.
  pub(crate) version: Option<&'a SoftwareVersion>,
}

/// Reserves a slot. Resumed streams go first, then the oldest request of the highest priority. A new request waits as long as its
/// first event can still meet the latency target.
pub(crate) async fn reserve_slot(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  exclusions: Exclusions<'_>,
) -> Option<(EndpointEntry, Reservation)> {
  let since_ms = gateway.now_ms();
  let wait = slot_wait(gateway, request, exclusions.tried);
  let wait_ms = wait.until_ms.saturating_sub(since_ms);
  if !has_chance(gateway, request, wait.urgency, wait_ms) {
    return None;
  }
  let slot = timeout(
    Duration::from_millis(wait_ms),
    request_in_order(gateway, request, exclusions, wait.urgency),
  )
  .await
  .unwrap_or(None);
  if slot.is_none() {
    log::info!(
      "E504 no slot: {} waited {} of {wait_ms} ms",
      request.id(),
      gateway.now_ms() - since_ms
    );
  }
  slot
}

/// Whether a request is likely to get a slot within its wait; a resumed stream always tries.
fn has_chance(
  gateway: &Gateway,
  request: &RoutedRequest,
  urgency: SlotUrgency,
  wait_ms: u64,
) -> bool {
  if urgency == SlotUrgency::Resumed || !gateway.settings.mechanisms.rejection_by_forecast {
    return true;
  }
  let ahead = gateway.slot_queue.borrow().len();
  let forecast = gateway.slot_forecast.borrow();
  if forecast.has_chance(ahead, wait_ms) {
    return true;
  }
  log::info!(
    "E524 no slot expected: {} has {wait_ms} ms and {ahead} ahead, one slot per {:?} ms",
    request.id(),
    forecast.interval_ms()
  );
  false
}

fn slot_wait(gateway: &Gateway, request: &RoutedRequest, tried: &[Name]) -> SlotWait {
  if !tried.is_empty() || request.attributes.last_event_id.is_some() {
    return SlotWait {
      until_ms: gateway.now_ms() + RESUME_TIMEOUT_MS,
      urgency: SlotUrgency::Resumed,
    };
  }
  let target_ms = request.rank.target_ms as f64;
  let start_ms = gateway
    .mean_first_event_ms
    .get()
    .unwrap_or(target_ms * DEFAULT_START_SHARE);
  let timely_wait_ms = target_ms - start_ms * START_MARGIN;
  let wait_ms = timely_wait_ms.max(target_ms * MIN_WAIT_SHARE) as u64;
  SlotWait {
    until_ms: (request.arrived_ms + wait_ms).min(request.deadline_ms),
    urgency: SlotUrgency::New,
  }
}

/// A request's entry in the slot queue, removed on drop.
struct QueuedRequest<'a> {
  gateway: &'a Gateway,
  position: QueuePosition,
}

impl<'a> QueuedRequest<'a> {
  fn new(gateway: &'a Gateway, request: &RoutedRequest, urgency: SlotUrgency) -> Self {
    let load = organisation_load(gateway, request);
    let mut queue = gateway.slot_queue.borrow_mut();
    let position = queue.join_with_load(urgency, request.rank.priority, load);
    Self { gateway, position }
  }

  /// Records that the request has a slot.
  fn record_slot(&self) {
    let others_wait = self.gateway.slot_queue.borrow().len() > 1;
    let now_ms = self.gateway.now_ms();
    self
      .gateway
      .slot_forecast
      .borrow_mut()
      .record_slot(now_ms, others_wait);
  }

  fn is_first(&self) -> bool {
    self.gateway.slot_queue.borrow().is_first(self.position)
  }
}

impl Drop for QueuedRequest<'_> {
  fn drop(&mut self) {
    let mut queue = self.gateway.slot_queue.borrow_mut();
    queue.leave(self.position);
    if queue.is_empty() {
      self.gateway.slot_forecast.borrow_mut().record_idle();
    }
    drop(queue);
    self.gateway.slot_queue_changed.notify_waiters();
  }
}

/// Records a request at its organisation's load, where fair shares are enabled, and returns the load.
fn organisation_load(gateway: &Gateway, request: &RoutedRequest) -> OrganisationLoad {
  let Some(organisation) = &request.organisation else {
    return OrganisationLoad::Usual;
  };
  if !gateway.has_fair_shares() {
    return OrganisationLoad::Usual;
  }
  let now_ms = gateway.now_ms();
  let mut loads = gateway.organisation_loads.borrow_mut();
  loads.record(&organisation.name, now_ms);
  let load = loads.load(&organisation.name, now_ms);
  if load == OrganisationLoad::AboveUsual {
    log::info!(
      "E622 above usual load: {} of {} waits for a slot behind organisations within theirs",
      request.id(),
      organisation.name
    );
  }
  load
}

/// Requests a slot from one engine after another, whenever the request is first in the box's queue.
async fn request_in_order(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  exclusions: Exclusions<'_>,
  urgency: SlotUrgency,
) -> Option<(EndpointEntry, Reservation)> {
  let queued = QueuedRequest::new(gateway, request, urgency);
  let mut unreached = 0;
  while unreached < MAX_UNREACHED {
    let queue_changed = gateway.slot_queue_changed.notified();
    if !queued.is_first() {
      queue_changed.await;
      continue;
    }
    let choice = gateway.choose(EndpointCriteria {
      allowed_halls: &request.allowed_halls,
      hall: gateway.preferred_hall(),
      is_retryable: request.route.kind.may_retry(),
      role: Some(Role::Decode),
      service: &request.service,
      size: request.expected_tokens().max(1),
      tried: exclusions.tried,
      version: exclusions.version,
    })?;
    match request_slot(gateway, request, &choice.entry, request.expected_tokens()).await {
      Ok(reservation) => {
        queued.record_slot();
        return Some((choice.entry, reservation));
      }
      Err(NoSlot::Unreached) => unreached += 1,
      Err(NoSlot::Rejected) => unreached = 0,
    }
    if choice.is_backing_off {
      sleep(FULL_RETRY_DELAY).await;
    }
  }
  None
}

/// Why an engine granted no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoSlot {
  /// It is full, or takes no work now.
  Rejected,
  /// It did not answer.
  Unreached,
}

/// Requests a slot with KV memory for some tokens from one engine.
pub(crate) async fn request_slot(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  entry: &EndpointEntry,
  tokens: u64,
) -> Result<Reservation, NoSlot> {
  // One permit covers the slot and the stream in it: without a permit the slot would be useless.
  let permit = match acquire_permit(gateway, entry, request.permit_caller()).await {
    Ok(permit) => permit,
    Err(_) => return Err(NoSlot::Rejected),
  };
  let call = gateway.codec.reservation_call(tokens, RESERVATION_TTL_MS);
  let mut load_guard = LoadGuard::new(gateway, &entry.id, request.expected_tokens(), 1);
  let mut reason = NoSlot::Rejected;
  match call_engine(gateway, entry, call, Purpose::Call).await {
    Ok(body) => match gateway.codec.reservation(&body) {
      Ok(id) => return Ok(Reservation::new(gateway, entry, id, permit)),
      Err(error) => {
        log::warn!(
          "E511 reservation failed: {} at {}: {error}",
          request.id(),
          entry.id
        );
        load_guard.settle(AttemptOutcome::Lost);
      }
    },
    Err(error) => {
      // Rejections are not logged: they only mean that the engine is full.
      if !matches!(error, EngineCallError::Rejected(_)) {
        log::info!(
          "E511 reservation failed: {} at {}: {error}",
          request.id(),
          entry.id
        );
      }
      if matches!(error, EngineCallError::TimedOut | EngineCallError::Lost(_)) {
        request.met_unreachable.set(true);
        reason = NoSlot::Unreached;
      }
      load_guard.settle(error.outcome());
    }
  }
  // Permits are for callers' requests, and none was sent.
  if permit == Permit::Taken {
    return_permit(gateway, entry);
  }
  Err(reason)
}
