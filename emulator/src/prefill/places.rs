//! Places in the prefill simulation: boxes ask coordinators, which grant them with the gateway's own decision code.

use {
  super::{
    fleet::{HALLS, hall_of_box},
    pattern::{FAULT_MS, PrefillPattern},
    state::{Ask, Event, PrefillReplay},
  },
  rand::RngExt,
  rillford::gateway::{
    LoadHeader, Place, PlaceId, PlaceOutcome, PlaceRequest, PrefillOffer, PrefillQueue,
    ReportedEngineLoad, asks_other_halls, best_prefill_offer,
  },
  std::time::Instant,
};

/// Time for which a box waits for a coordinator.
const ASK_TIMEOUT_MS: u64 = 40;
/// Time for which a box does not ask a coordinator that did not answer.
const UNRESPONSIVE_MS: u64 = 1_000;
/// Delays of messages between boxes.
const BOX_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=3;
/// The round trip that a box assumes to other halls.
const ROUND_TRIP_MS: u64 = 4;
const EXTRA_TRANSFER_MS: u64 = 3;
// Sizes of messages: heads and bodies.
pub(super) const PLACE_REQUEST_BYTES: u64 = 117;
pub(super) const PLACE_ANSWER_BYTES: u64 = 96;
/// A report and its answer.
const REPORT_BYTES: u64 = 101 + 64;

impl PrefillReplay {
  /// Asks the coordinator of a group in the hall of the decode engine.
  pub(super) fn ask_decode_hall(&mut self, request: usize) {
    let hall = self.requests[request].decode_hall;
    if !self.ask(request, hall, true) {
      self.send_by_registry(request);
    }
  }

  /// The coordinator of a group by a box's own list.
  fn coordinator(&self, at: usize, group: usize) -> usize {
    let is_shorter = self.pattern == PrefillPattern::CoordinatorKilled
      && self.now_ms >= FAULT_MS.0 + self.places.list_delays_ms[at];
    let group = &self.fleet.groups[group];
    if is_shorter {
      group.next_coordinator
    } else {
      group.coordinator
    }
  }

  /// Asks the coordinator of a random group in a hall; `false` when it did not answer lately.
  fn ask(&mut self, request: usize, hall: usize, is_first: bool) -> bool {
    let groups = self.fleet.groups_of(hall);
    let group = groups[self.random.random_range(0..groups.len())];
    let at = self.requests[request].at;
    let coordinator = self.coordinator(at, group);
    let unresponsive = &self.places.unresponsive_until_ms;
    if unresponsive
      .get(&(at, coordinator))
      .is_some_and(|until_ms| self.now_ms < *until_ms)
    {
      return false;
    }
    let ask = self.places.asks.len();
    self.places.asks.push(Ask {
      coordinator,
      group,
      is_closed: false,
      is_first,
      request,
    });
    self.places.offers.entry(request).or_default().0 += 1;
    let event = Event::PlaceRequested { ask };
    self.send_message(at, coordinator, PLACE_REQUEST_BYTES, event);
    self
      .queue
      .put(self.now_ms + ASK_TIMEOUT_MS, Event::AskTimeout { ask });
    true
  }

  /// Sends a message from one box to another, unless one of them is down or they are cut off from each other.
  fn send_message(&mut self, from: usize, to: usize, bytes: u64, event: Event) {
    if from == to {
      return self.queue.put(self.now_ms, event);
    }
    for at in [from, to] {
      self.messages[at] += 1;
      self.bytes[at] += bytes;
    }
    let failing = self.fleet.failing;
    let other = if from == failing { to } else { from };
    let is_lost = (from == failing || to == failing)
      && self.pattern.has_fault(self.now_ms)
      && match self.pattern {
        PrefillPattern::CoordinatorKilled => true,
        PrefillPattern::CoordinatorCutOff => (other / HALLS).is_multiple_of(3),
        _ => false,
      };
    if is_lost {
      return;
    }
    let between_halls = u64::from(hall_of_box(from) != hall_of_box(to));
    let delay_ms = self.random.random_range(BOX_DELAY_MS) + between_halls;
    let handled_ms = self.handled_ms(to, self.now_ms + delay_ms);
    self.queue.put(handled_ms, event);
  }

  fn id(&self, ask: usize) -> PlaceId {
    PlaceId {
      box_incarnation: self.requests[self.places.asks[ask].request].at as u64,
      sequence: ask as u64,
    }
  }

  fn queue_of(&mut self, ask: usize) -> &mut PrefillQueue {
    let Ask {
      coordinator, group, ..
    } = self.places.asks[ask];
    self.places.queues.entry((coordinator, group)).or_default()
  }

  pub(super) fn handle_place_request(&mut self, ask: usize) {
    let (id, now_ms) = (self.id(ask), self.now_ms);
    let Ask {
      request,
      group,
      coordinator,
      ..
    } = self.places.asks[ask];
    let request = &self.requests[request];
    let (at, prompt_tokens) = (request.at, request.tokens);
    let candidates = self.fleet.groups[group].engines.clone();
    let request = PlaceRequest {
      excluded: &[],
      id,
      prompt_tokens,
      target_left_ms: 800,
    };
    let queue = self.queue_of(ask);
    let started = Instant::now();
    let place = queue.place(&candidates, request, now_ms);
    self.decision_time += started.elapsed();
    self.decisions += 1;
    let event = Event::PlaceAnswered { ask, place };
    self.send_message(coordinator, at, PLACE_ANSWER_BYTES, event);
  }

  pub(super) fn handle_place_answer(&mut self, ask: usize, place: Option<Place>) {
    if self.places.asks[ask].is_closed {
      if place.is_some() {
        self.report(ask, PlaceOutcome::Unused);
      }
      return;
    }
    self.places.asks[ask].is_closed = true;
    let Ask {
      request,
      group,
      is_first,
      ..
    } = self.places.asks[ask];
    let is_same_hall = self.fleet.groups[group].hall == self.requests[request].decode_hall;
    let extra_transfer_ms = if is_same_hall { 0 } else { EXTRA_TRANSFER_MS };
    let open = self.places.offers.entry(request).or_default();
    open.0 -= 1;
    if let Some(place) = place {
      let offer = PrefillOffer {
        extra_transfer_ms,
        place,
      };
      open.1.push((ask, offer));
    }
    if is_first && asks_other_halls(place.as_ref(), EXTRA_TRANSFER_MS, ROUND_TRIP_MS) {
      let decode_hall = self.requests[request].decode_hall;
      for hall in (0..HALLS).filter(|hall| *hall != decode_hall) {
        self.ask(request, hall, false);
      }
    }
    self.decide(request);
  }

  /// Takes the best offer once no question is open.
  fn decide(&mut self, request: usize) {
    if self
      .places
      .offers
      .get(&request)
      .is_none_or(|open| open.0 > 0)
    {
      return;
    }
    let (_, offers) = self.places.offers.remove(&request).unwrap_or_default();
    let places: Vec<PrefillOffer> = offers.iter().map(|(_, offer)| *offer).collect();
    let best = best_prefill_offer(&places);
    for (index, (ask, offer)) in offers.iter().enumerate() {
      if Some(index) != best {
        self.report(*ask, PlaceOutcome::Unused);
        continue;
      }
      self.requests[request].ask = Some(*ask);
      let engine = self.fleet.numbers[&offer.place.engine];
      self.send(request, engine);
    }
    if best.is_none() {
      self.send_by_registry(request);
    }
  }

  pub(super) fn handle_ask_timeout(&mut self, ask: usize) {
    if self.places.asks[ask].is_closed {
      return;
    }
    self.places.asks[ask].is_closed = true;
    let Ask {
      request,
      coordinator,
      ..
    } = self.places.asks[ask];
    let at = self.requests[request].at;
    let until_ms = self.now_ms + UNRESPONSIVE_MS;
    let unresponsive = &mut self.places.unresponsive_until_ms;
    unresponsive.insert((at, coordinator), until_ms);
    // The place may have been granted.
    self.report(ask, PlaceOutcome::Unused);
    if let Some(open) = self.places.offers.get_mut(&request) {
      open.0 -= 1;
    }
    self.decide(request);
  }

  pub(super) fn report_completed(
    &mut self,
    ask: usize,
    took_ms: u64,
    load: LoadHeader,
    slowdown_percent: u32,
  ) {
    let load = Some(ReportedEngineLoad {
      running: load.running,
      slowdown_percent: Some(slowdown_percent),
      waiting: load.waiting,
    });
    self.report(ask, PlaceOutcome::Completed { load, took_ms });
  }

  fn report(&mut self, ask: usize, outcome: PlaceOutcome) {
    let Ask {
      request,
      coordinator,
      ..
    } = self.places.asks[ask];
    let at = self.requests[request].at;
    let event = Event::Reported { ask, outcome };
    self.send_message(at, coordinator, REPORT_BYTES, event);
  }

  pub(super) fn handle_report(&mut self, ask: usize, outcome: PlaceOutcome) {
    let (id, now_ms) = (self.id(ask), self.now_ms);
    self.queue_of(ask).finish(id, outcome, now_ms);
  }
}
