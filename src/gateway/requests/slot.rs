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
  std::{pin::pin, rc::Rc, time::Duration},
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
/// Least time since a caller's first rejection by which it counts as one who returns: deadlines of callers vary by some
/// milliseconds, and a caller who returns sooner did not wait as told.
const MIN_RETURN_MS: u64 = 50;
/// Fraction of the latency target within which a rejection is useful to a caller, who returns and is served in time.
const USEFUL_REJECTION_SHARE: f64 = 0.25;
/// Time for the rejection to reach the caller.
const REJECTION_MARGIN_MS: u64 = 20;
/// Factor on the mean time between a slot and the first event, since it varies.
const START_MARGIN: f64 = 1.5;

/// How long a request waits for a slot, and with which urgency.
#[derive(Clone, Copy, Debug)]
struct SlotWait {
  urgency: SlotUrgency,
  until_ms: u64,
}

/// How often a request asks engines for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotTries {
  /// One engine, which may have become free.
  One,
  /// Engines until its wait is over.
  Unlimited,
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
  let tries = slot_tries(gateway, request, wait.urgency, wait_ms)?;
  let queued = QueuedRequest::new(gateway, request, wait.urgency);
  let mut slot_request = pin!(request_in_order(
    gateway, request, exclusions, &queued, tries
  ));
  let soon_ms = soon_wait_ms(gateway, request, wait, since_ms);
  let mut slot = timeout(Duration::from_millis(soon_ms), slot_request.as_mut()).await;
  let left_ms = wait.until_ms.saturating_sub(gateway.now_ms());
  if slot.is_err() && left_ms > 0 {
    if goes_on(&queued, request, left_ms) {
      slot = timeout(Duration::from_millis(left_ms), slot_request).await;
    } else {
      gateway.counters.rejected_soon.inc();
    }
  }
  let slot = slot.unwrap_or(None);
  if slot.is_none() {
    gateway
      .counters
      .rejected_at_once
      .add(u64::from(tries == SlotTries::One));
    log::info!(
      "E504 no slot: {} waited {} of {wait_ms} ms",
      request.id(),
      gateway.now_ms() - since_ms
    );
  }
  slot
}

/// How long a request waits until it decides whether it goes on: while a rejection is useful to its caller, or its whole wait.
fn soon_wait_ms(gateway: &Gateway, request: &RoutedRequest, wait: SlotWait, since_ms: u64) -> u64 {
  let wait_ms = wait.until_ms.saturating_sub(since_ms);
  if wait.urgency == SlotUrgency::Resumed || !rejects_by_supply(gateway) {
    return wait_ms;
  }
  let useful_ms = (request.rank.target_ms as f64 * USEFUL_REJECTION_SHARE) as u64;
  let until_ms = (request.arrived_ms + useful_ms).saturating_sub(REJECTION_MARGIN_MS);
  wait_ms.min(until_ms.saturating_sub(since_ms))
}

/// Whether a request that has not got a slot soon is likely to get one in the rest of its wait.
fn goes_on(queued: &QueuedRequest<'_>, request: &RoutedRequest, left_ms: u64) -> bool {
  let gateway = queued.gateway;
  let ahead = gateway.slot_queue.borrow().ahead(queued.position);
  let now_ms = gateway.now_ms();
  let (is_likely, probability) = gateway.service_returns(&request.service, |returns| {
    let supply = &returns.supply;
    (
      supply.is_likely(ahead, left_ms, now_ms),
      supply.probability(ahead, left_ms, now_ms),
    )
  });
  if !is_likely {
    log::info!(
      "E583 wait ended early: {} has {left_ms} ms and {ahead} ahead, probability {probability:.3}",
      request.id()
    );
  }
  is_likely
}

/// Whether requests are rejected by the supply of slots.
fn rejects_by_supply(gateway: &Gateway) -> bool {
  gateway.settings.mechanisms.rejection_by_forecast && gateway.orders_returns()
}

/// How often a request may ask for a slot; `None` when it is unlikely to get one within its wait. A resumed stream always tries.
fn slot_tries(
  gateway: &Gateway,
  request: &RoutedRequest,
  urgency: SlotUrgency,
  wait_ms: u64,
) -> Option<SlotTries> {
  if urgency == SlotUrgency::Resumed || !gateway.settings.mechanisms.rejection_by_forecast {
    return Some(SlotTries::Unlimited);
  }
  if gateway.orders_returns() {
    return slot_tries_by_supply(gateway, request, urgency, wait_ms);
  }
  let ahead = gateway.slot_queue.borrow().len();
  let forecast = gateway.slot_forecast.borrow();
  if forecast.has_chance(ahead, wait_ms) {
    return Some(SlotTries::Unlimited);
  }
  log::info!(
    "E524 no slot expected: {} has {wait_ms} ms and {ahead} ahead, one slot per {:?} ms",
    request.id(),
    forecast.interval_ms()
  );
  None
}

/// The same by waits without a slot and engines that reported themselves full. Without others ahead, one engine is asked in any case:
/// it may have become free.
fn slot_tries_by_supply(
  gateway: &Gateway,
  request: &RoutedRequest,
  urgency: SlotUrgency,
  wait_ms: u64,
) -> Option<SlotTries> {
  let ahead = ahead(gateway, request, urgency);
  let now_ms = gateway.now_ms();
  let (has_chance, probability) = gateway.service_returns(&request.service, |returns| {
    let supply = &returns.supply;
    (
      supply.has_chance(ahead, wait_ms, now_ms),
      supply.probability(ahead, wait_ms, now_ms),
    )
  });
  if has_chance {
    return Some(SlotTries::Unlimited);
  }
  log::info!(
    "E582 no slot expected: {} has {wait_ms} ms and {ahead} ahead, probability {probability:.3}",
    request.id()
  );
  if ahead == 0 {
    return Some(SlotTries::One);
  }
  gateway.counters.rejected_at_once.inc();
  None
}

/// The number of requests in the queue that go before a request.
fn ahead(gateway: &Gateway, request: &RoutedRequest, urgency: SlotUrgency) -> usize {
  let load = current_load(gateway, request);
  let queue = gateway.slot_queue.borrow();
  queue.ahead_of(urgency, request.rank.priority, load)
}

/// The urgency of a request whose caller has received nothing.
fn urgency(gateway: &Gateway, request: &RoutedRequest) -> SlotUrgency {
  if request.refused_for_ms < MIN_RETURN_MS {
    gateway.record_new_caller(&request.service);
    return SlotUrgency::New;
  }
  if !gateway.orders_returns() {
    return SlotUrgency::New;
  }
  gateway.counters.returned.inc();
  log::info!(
    "E581 caller returned: {} was refused for {} ms",
    request.id(),
    request.refused_for_ms
  );
  SlotUrgency::Returned
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
    urgency: urgency(gateway, request),
  }
}

/// A request's entry in the slot queue, removed on drop.
struct QueuedRequest<'a> {
  gateway: &'a Gateway,
  service: &'a Name,
  position: QueuePosition,
}

impl<'a> QueuedRequest<'a> {
  fn new(gateway: &'a Gateway, request: &'a RoutedRequest, urgency: SlotUrgency) -> Self {
    let load = organisation_load(gateway, request);
    let mut queue = gateway.slot_queue.borrow_mut();
    let position = queue.join_with_load(urgency, request.rank.priority, load);
    Self {
      gateway,
      position,
      service: &request.service,
    }
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
    self.gateway.record_slot(self.service);
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
      self.gateway.record_no_slot_wait(self.service);
    }
    drop(queue);
    self.gateway.slot_queue_changed.notify_waiters();
  }
}

/// The load of a request's organisation without the request, where fair shares are enabled.
fn current_load(gateway: &Gateway, request: &RoutedRequest) -> OrganisationLoad {
  let organisation = request.organisation.as_ref();
  let organisation = organisation.filter(|_| gateway.has_fair_shares());
  let loads = gateway.organisation_loads.borrow();
  organisation.map_or(OrganisationLoad::Usual, |organisation| {
    loads.load(&organisation.name, gateway.now_ms())
  })
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
  queued: &QueuedRequest<'_>,
  tries: SlotTries,
) -> Option<(EndpointEntry, Reservation)> {
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
      // Neither full nor out of reach, and avoided from now on.
      Err(NoSlot::Misdirected) => {}
      Err(NoSlot::Rejected) => {
        gateway.record_full(&request.service);
        unreached = 0;
      }
    }
    if tries == SlotTries::One {
      return None;
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
  /// Another endpoint has its address, or it has another role.
  Misdirected,
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
      match error {
        EngineCallError::TimedOut | EngineCallError::Lost(_) => {
          request.met_unreachable.set(true);
          reason = NoSlot::Unreached;
        }
        EngineCallError::Misdirected => reason = NoSlot::Misdirected,
        EngineCallError::Rejected(_) | EngineCallError::Unavailable(_) => {}
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
