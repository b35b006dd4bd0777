//! Reserves a place for a prompt, in the decode engine's hall or in another one.

use {
  super::{
    no_place::NoPlace,
    offers::{COORDINATOR_TIMEOUT, OfferedPlace, PlaceSeeker},
    place_guard::PlaceGuard,
  },
  crate::{
    gateway::{
      decisions::{
        PlaceOutcome, PrefillOffer, ReportedEngineLoad, asks_other_halls, best_prefill_offer,
        extra_transfer_ms,
      },
      edge::{EndpointEntry, LoadHeader},
      stages::RoutedRequest,
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
};

/// Time that the request to another hall's coordinator and its response take: a round trip of some milliseconds and the handling.
const ROUND_TRIP_MS: u64 = 5;

/// A reserved place. What became of it is reported when it is dropped.
pub(crate) struct ReservedPlace {
  pub(crate) entry: EndpointEntry,
  pub(crate) offer: PrefillOffer,
  granted_ms: u64,
  sent_ms: u64,
  request_id: Name,
  guard: PlaceGuard,
}

/// Reserves a place for a request whose decode engine is in a hall. Fails with the reason for which the engine has to be chosen
/// without a place.
pub(crate) async fn reserve_place(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  hall: &Name,
  tried: &[Name],
) -> Result<ReservedPlace, NoPlace> {
  if !is_enabled(gateway, &request.service) {
    return Err(NoPlace::Off);
  }
  let seeker = PlaceSeeker {
    gateway,
    request,
    tried,
  };
  let reserved = reserve(&seeker, hall).await;
  let counters = &gateway.prefill_queues.counters;
  match &reserved {
    Ok(_) => counters.reserved.inc(),
    Err(reason) => {
      *counters
        .without
        .borrow_mut()
        .entry(reason.label())
        .or_default() += 1;
      log::info!("E571 no queue place: {} in {hall}: {reason}", request.id());
    }
  }
  reserved
}

/// Whether places are used for a service.
fn is_enabled(gateway: &Gateway, service: &str) -> bool {
  gateway.settings.prefill_queue.enabled.is_enabled(|| {
    let now_ms = gateway.now_ms();
    gateway.endpoints.borrow().reports_slowdown(service, now_ms)
      || gateway
        .route_table()
        .is_some_and(|table| table.has_ranked_streams(service))
  })
}

async fn reserve(seeker: &PlaceSeeker<'_>, hall: &Name) -> Result<ReservedPlace, NoPlace> {
  let first = match seeker.ask_hall(hall).await {
    Ok(offer) => Some(offer),
    Err(reason) if reason.may_ask_others() => None,
    Err(reason) => return Err(reason),
  };
  let extra_ms = extra_ms(seeker);
  let first_place = first.as_ref().map(|offer| offer.place);
  let mut offers: Vec<OfferedPlace> = first.into_iter().collect();
  if asks_other_halls(first_place.as_ref(), extra_ms, ROUND_TRIP_MS) {
    // The wait costs nothing while the prompt would not be started.
    let wait = first_place.map_or(COORDINATOR_TIMEOUT, |place| {
      COORDINATOR_TIMEOUT.min(Duration::from_millis(place.start_in_ms))
    });
    seeker
      .gateway
      .prefill_queues
      .counters
      .asked_other_halls
      .inc();
    offers.extend(seeker.ask_other_halls(hall, wait).await);
    log::info!(
      "E572 other halls asked for a queue place: {} with a start in {:?} ms in {hall}, {} places",
      seeker.request.id(),
      first_place.map(|place| place.start_in_ms),
      offers.len()
    );
  }
  choose(seeker, hall, offers, extra_ms)
}

/// The extra time of a transfer of the prompt's KV cache between halls.
fn extra_ms(seeker: &PlaceSeeker) -> u64 {
  let table = seeker.gateway.route_table();
  let engine = table
    .as_ref()
    .and_then(|table| table.service(&seeker.request.service))
    .and_then(|service| service.engine);
  let figures = engine.and_then(|engine| Some((engine.kv_token_bytes?, engine.link_mbps?)));
  let tokens = seeker.request.attributes.prompt_tokens;
  figures.map_or(0, |(token_bytes, link_mbps)| {
    extra_transfer_ms(tokens, token_bytes as u64, link_mbps as u64)
  })
}

/// The offer with the earliest end at an engine that this box may use; the others are reported as unused.
fn choose(
  seeker: &PlaceSeeker,
  hall: &str,
  offers: Vec<OfferedPlace>,
  extra_ms: u64,
) -> Result<ReservedPlace, NoPlace> {
  if offers.is_empty() {
    return Err(NoPlace::NotGranted);
  }
  let usable = offers.into_iter().filter_map(|offer| {
    let entry = usable_entry(seeker, &offer)?;
    Some(reserved(seeker, hall, offer, entry, extra_ms))
  });
  let mut usable: Vec<ReservedPlace> = usable.collect();
  let offers: Vec<PrefillOffer> = usable.iter().map(|place| place.offer).collect();
  let best = best_prefill_offer(&offers).ok_or(NoPlace::EngineUnavailable)?;
  Ok(usable.swap_remove(best))
}

fn reserved(
  seeker: &PlaceSeeker,
  hall: &str,
  offer: OfferedPlace,
  entry: EndpointEntry,
  extra_ms: u64,
) -> ReservedPlace {
  let now_ms = seeker.gateway.now_ms();
  let mut place = offer.place;
  let age_ms = now_ms.saturating_sub(offer.granted_ms);
  place.start_in_ms = place.start_in_ms.saturating_sub(age_ms);
  place.end_in_ms = place.end_in_ms.saturating_sub(age_ms);
  ReservedPlace {
    granted_ms: now_ms,
    guard: offer.guard,
    offer: PrefillOffer {
      extra_transfer_ms: if &*entry.hall == hall { 0 } else { extra_ms },
      place,
    },
    entry,
    request_id: seeker.request.id().into(),
    sent_ms: now_ms,
  }
}

/// The entry of the granted engine, if this box lists it and it accepts work.
fn usable_entry(seeker: &PlaceSeeker, offer: &OfferedPlace) -> Option<EndpointEntry> {
  let gateway = seeker.gateway;
  let engine = offer.place.engine;
  let entry = {
    let directory = gateway.prefill_queues.directory.borrow();
    let endpoints = gateway.endpoints.borrow();
    directory
      .id(&seeker.request.service, engine)
      .and_then(|id| endpoints.unrestricted_entry(id, gateway.now_ms()))
      .filter(|entry| seeker.request.allowed_halls.contains(&entry.hall))
      .cloned()
  };
  if entry.is_none() {
    log::info!(
      "E577 queue place at an engine that this box may not use: {} at {} by {}",
      seeker.request.id(),
      engine.key(),
      offer.guard.coordinator
    );
  }
  entry
}

impl ReservedPlace {
  /// The prompt is sent now; from here on it counts as cancelled unless another outcome is set.
  pub(crate) fn set_sent(&mut self) {
    self.sent_ms = self.guard.gateway.now_ms();
    self.guard.settle(PlaceOutcome::Cancelled);
  }

  /// The engine finished the prompt.
  pub(crate) fn complete(&mut self, load: Option<LoadHeader>) {
    let took_ms = self.guard.gateway.now_ms() - self.sent_ms;
    let load = load.map(|load| ReportedEngineLoad {
      running: load.running,
      slowdown_percent: load.slowdown_percent,
      waiting: load.waiting,
    });
    self.guard.settle(PlaceOutcome::Completed { took_ms, load });
    self.log("completed");
  }

  /// The engine failed.
  pub(crate) fn lose(&mut self) {
    self.guard.settle(PlaceOutcome::Lost);
    self.log("lost");
  }

  /// The prompt did not leave this box.
  pub(crate) fn release(&mut self) {
    self.guard.settle(PlaceOutcome::Unused);
    self.log("unused");
  }

  /// The expected and the actual times, for logs. The actual start is not known to the box: it is the end less the expected
  /// duration of the work.
  pub(crate) fn summary(&self) -> String {
    let place = self.offer.place;
    let ended_ms = self.guard.gateway.now_ms() - self.granted_ms;
    let work_ms = place.end_in_ms.saturating_sub(place.start_in_ms);
    format!(
      "queue place by {}: {} ahead, expected from {} to {} ms, was from about {} to {ended_ms} ms",
      self.guard.coordinator,
      place.ahead,
      place.start_in_ms,
      place.end_in_ms,
      ended_ms.saturating_sub(work_ms)
    )
  }

  fn log(&self, outcome: &str) {
    log::info!(
      "E570 prefill {outcome}: {} at {} in {}, {} ({} tokens ahead, sent after {} ms, shard {} of {})",
      self.request_id,
      self.entry.id,
      self.entry.hall,
      self.summary(),
      self.offer.place.tokens_ahead,
      self.sent_ms - self.granted_ms,
      self.guard.group.shard,
      self.guard.group.service
    );
  }
}
