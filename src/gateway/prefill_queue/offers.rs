//! Requests for places to the coordinators of one hall, or of several halls at the same time.

use {
  super::{
    coordination::{Coordinator, coordinator_of, grant},
    messages::{PlaceMessage, request_place},
    no_place::NoPlace,
    place_guard::PlaceGuard,
  },
  crate::{
    CallError,
    gateway::{
      decisions::{EndpointIncarnation, Place, PlaceRequest, PrefillGroup},
      stages::RoutedRequest,
      state::Gateway,
    },
    ids::Name,
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  http::StatusCode,
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// How long a request waits for a coordinator: a frozen one costs a caller this much, and one that answers needs some milliseconds.
pub(super) const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(40);
/// Other halls that are asked for one prompt: with more, most messages of a large deployment would be for places that remain unused.
const MAX_OTHER_HALLS: usize = 2;
/// Excluded engines in a message: a group has some 16.
const MAX_EXCLUDED: usize = 64;

/// A prompt that needs a place.
#[derive(Clone, Copy)]
pub(super) struct PlaceSeeker<'a> {
  pub(super) gateway: &'a Rc<Gateway>,
  pub(super) request: &'a RoutedRequest,
  /// Engines that were tried before.
  pub(super) tried: &'a [Name],
}

/// A place that a coordinator granted.
pub(super) struct OfferedPlace {
  pub(super) place: Place,
  pub(super) granted_ms: u64,
  pub(super) guard: PlaceGuard,
}

impl PlaceSeeker<'_> {
  /// Asks the coordinator of a group in a hall; of several groups one at random.
  pub(super) async fn ask_hall(&self, hall: &Name) -> Result<OfferedPlace, NoPlace> {
    let gateway = self.gateway;
    let group = self.group(hall).ok_or(NoPlace::NoEngine)?;
    let coordinator = coordinator_of(gateway, &group).ok_or(NoPlace::NoCoordinator)?;
    let excluded = self.excluded(&group);
    match coordinator {
      Coordinator::Own => {
        let guard = PlaceGuard::new(gateway, Coordinator::Own, group);
        let request = PlaceRequest {
          excluded: &excluded,
          id: guard.id(),
          prompt_tokens: self.prompt_tokens(),
          target_left_ms: self.target_left_ms(),
        };
        let place = grant(gateway, &guard.group, request);
        self.offered(guard, place)
      }
      Coordinator::Other { address, .. } => {
        let now_ms = gateway.now_ms();
        let unresponsive = &gateway.prefill_queues.unresponsive;
        if unresponsive.borrow().is_unresponsive(address, now_ms) {
          return Err(NoPlace::Skipped);
        }
        let guard = PlaceGuard::new(gateway, coordinator, group);
        self.ask_coordinator(guard, address, excluded).await
      }
    }
  }

  async fn ask_coordinator(
    &self,
    mut guard: PlaceGuard,
    address: SocketAddr,
    excluded: Vec<EndpointIncarnation>,
  ) -> Result<OfferedPlace, NoPlace> {
    let gateway = self.gateway;
    let message = PlaceMessage {
      box_name: gateway.settings.identity.name.clone(),
      excluded,
      hall: guard.group.hall.clone(),
      id: guard.id(),
      prompt_tokens: self.prompt_tokens(),
      service: guard.group.service.clone(),
      shard: guard.group.shard,
      target_left_ms: self.target_left_ms(),
    };
    let http = &gateway.box_client;
    let error = match request_place(http, address, &message, COORDINATOR_TIMEOUT).await {
      Ok(place) => return self.offered(guard, place),
      Err(error) => error,
    };
    log::info!(
      "E573 no place from coordinator {} at {address} for {}: {error}",
      guard.coordinator,
      guard.group.key()
    );
    gateway
      .prefill_queues
      .unresponsive
      .borrow_mut()
      .record_failure(address, gateway.now_ms());
    let reason = match error {
      CallError::Status {
        status: StatusCode::NOT_FOUND | StatusCode::CONFLICT,
        ..
      } => NoPlace::NotSupported,
      _ => NoPlace::NoAnswer,
    };
    if reason == NoPlace::NotSupported || matches!(error, CallError::NotSent(_)) {
      guard.disarm();
    }
    Err(reason)
  }

  fn offered(&self, mut guard: PlaceGuard, place: Option<Place>) -> Result<OfferedPlace, NoPlace> {
    let Some(place) = place else {
      guard.disarm();
      return Err(NoPlace::NotGranted);
    };
    Ok(OfferedPlace {
      granted_ms: self.gateway.now_ms(),
      guard,
      place,
    })
  }

  /// Asks some other halls at the same time; returns the places that are granted within a time.
  pub(super) async fn ask_other_halls(&self, hall: &str, wait: Duration) -> Vec<OfferedPlace> {
    let halls = self.other_halls(hall);
    let mut offers = Vec::new();
    let mut asked: FuturesUnordered<_> = halls.iter().map(|hall| self.ask_hall(hall)).collect();
    let collect = async {
      while let Some(offer) = asked.next().await {
        offers.extend(offer.ok());
      }
    };
    // After a timeout there are fewer offers.
    let _ = timeout(wait, collect).await;
    offers
  }

  /// Halls with prefill engines that may serve the request, some of them at random.
  fn other_halls(&self, hall: &str) -> Vec<Name> {
    let gateway = self.gateway;
    let now_ms = gateway.now_ms();
    let endpoints = gateway.endpoints.borrow();
    let directory = gateway.prefill_queues.directory.borrow();
    let halls = directory.halls(&self.request.service);
    let mut halls: Vec<Name> = halls
      .filter(|other| {
        &***other != hall
          && self.request.allowed_halls.contains(other)
          && !endpoints.is_hall_unreachable(other, now_ms)
      })
      .cloned()
      .collect();
    while halls.len() > MAX_OTHER_HALLS {
      let index = (gateway.draw() * halls.len() as f64) as usize;
      halls.swap_remove(index);
    }
    halls
  }

  /// A group of the request's service in a hall; `None` when no prefill engine is listed there.
  fn group(&self, hall: &Name) -> Option<PrefillGroup> {
    let gateway = self.gateway;
    let mut directory = gateway.prefill_queues.directory.borrow_mut();
    directory.update(&gateway.endpoints.borrow(), gateway.now_ms());
    let shards = directory.shard_count(&self.request.service, hall);
    (shards > 0).then(|| PrefillGroup {
      hall: hall.clone(),
      service: self.request.service.clone(),
      shard: (gateway.draw() * f64::from(shards)) as u32,
    })
  }

  /// Engines of a group that were tried before, or from which this box backs off.
  fn excluded(&self, group: &PrefillGroup) -> Vec<EndpointIncarnation> {
    let now_ms = self.gateway.now_ms();
    let endpoints = self.gateway.endpoints.borrow();
    let directory = self.gateway.prefill_queues.directory.borrow();
    let engines = directory.engines(group).iter();
    let excluded = engines.filter(|engine| {
      self.tried.contains(&engine.id) || endpoints.is_backing_off(&engine.id, now_ms)
    });
    let excluded = excluded.map(|engine| engine.incarnation);
    excluded.take(MAX_EXCLUDED).collect()
  }

  fn prompt_tokens(&self) -> u64 {
    self.request.attributes.prompt_tokens.max(1)
  }

  /// Time left until the first event is due.
  pub(super) fn target_left_ms(&self) -> u64 {
    let due_ms = self.request.arrived_ms + self.request.route.target_ms;
    due_ms.saturating_sub(self.gateway.now_ms())
  }
}
