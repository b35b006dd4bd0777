//! The permit simulation: boxes decide with the gateway's own permit and limit accounting and exchange messages with delays.

use {
  super::{
    event::{Event, ReceivedLimit},
    figures::PlaceFigures,
    fleet::PlaceFleet,
    pattern::{
      ADVERTISED_FROM_MS, MAX_LIST_DELAY_MS, PlacePattern, SIMULATION_END_MS, TERMINATED_MS,
    },
    place_box::PlaceBox,
    way::PlaceWay,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      AdvertisedLimit, BoxList, EndpointEntry, EndpointIncarnation, ISOLATED_BOXES, LimitChange,
      LimitHeader, LimitSource, LocalPermitVerdict, PermitRequest, PermitVerdict, ReportScope,
      SoftwareVersion, TokenBucket, UsageLimit, UsageTotals, UsageVerdict, coordinator_limit,
      coordinator_order, isolated_limit,
    },
    ids::Name,
  },
  std::collections::VecDeque,
};

// Timeouts and intervals of the gateway.
const PERMIT_TIMEOUT_MS: u64 = 120;
/// Time for which an unresponsive coordinator is not asked.
const UNRESPONSIVE_MS: u64 = 1_000;
/// Retry delay of an isolated box that may not grant itself permits.
const NO_PERMIT_WAIT_MS: u64 = 1_000;
const ANNOUNCE_INTERVAL_MS: u64 = 150;
// Network delays and the endpoint's processing time.
const BOX_DELAY_MS: u64 = 2;
const MAX_EXTRA_DELAY_MS: f64 = 150.0;
const LOST_SHARE: f64 = 0.2;
const ENDPOINT_DELAY_MS: u64 = 2;
const PROCESSING_MS: u64 = 20;
// Sizes of messages: headers and body.
const PERMIT_REQUEST_BYTES: u64 = 115;
const PERMIT_RESPONSE_BYTES: u64 = 95;
const LIMIT_BYTES: u64 = 105;
const TOTALS_BYTES: u64 = 110;
/// Window over which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Requests are counted from this long after the limit was first advertised.
const CONTACT_MS: u64 = 3_000;
/// A box has to know the limit this long after a response with it.
const APPLY_MS: u64 = 500;
/// Time from which the used share of the limit is measured.
const USED_FROM_MS: u64 = ADVERTISED_FROM_MS + 5_000;

struct PlaceReplay {
  pattern: PlacePattern,
  fleet: PlaceFleet,
  strategy: PlaceWay,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  entry: EndpointEntry,
  list: BoxList,
  /// The endpoint's coordinator order with all boxes, and without the original coordinator.
  order: Vec<usize>,
  order_without_coordinator: Vec<usize>,
  /// The coordinator while no box has failed.
  coordinator: usize,
  boxes: Vec<PlaceBox>,
  now_ms: u64,
  permit_requests: u32,
  responses: u32,
  first_advertised_ms: Option<u64>,
  /// Times of the counted requests in the window, all from boxes that know the limit.
  window: VecDeque<u64>,
  used: u32,
  figures: PlaceFigures,
}

/// Runs a pattern with a seed.
pub fn replay_places(
  pattern: PlacePattern,
  fleet: PlaceFleet,
  strategy: PlaceWay,
  seed: u64,
) -> PlaceFigures {
  let entry = EndpointEntry {
    address: ([127, 0, 0, 1], 1).into(),
    started_ms: Some(1),
    cold_ms: 0,
    hall: PlaceFleet::hall(0).as_str().into(),
    id: format!("e-{seed}").as_str().into(),
    leaving: false,
    role: None,
    slots: 8,
    service: "portal".into(),
    version: SoftwareVersion::default(),
  };
  let list = fleet.list_without(None);
  let order = order_of(&list, &entry);
  let coordinator = order[0];
  let mut replay = PlaceReplay {
    responses: 0,
    boxes: (0..fleet.boxes).map(|_| PlaceBox::default()).collect(),
    coordinator,
    figures: PlaceFigures::default(),
    first_advertised_ms: None,
    fleet,
    list,
    order_without_coordinator: order_of(&fleet.list_without(Some(coordinator)), &entry),
    now_ms: 0,
    order,
    pattern,
    entry,
    permit_requests: 0,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    used: 0,
    strategy,
    window: VecDeque::new(),
  };
  replay.schedule_initial_events();
  replay.run();
  replay.into_figures()
}

fn order_of(list: &BoxList, entry: &EndpointEntry) -> Vec<usize> {
  let order = coordinator_order(list, &entry.id, &entry.hall, 1 + ISOLATED_BOXES);
  let numbers = order
    .into_iter()
    .map(|(_, address)| PlaceFleet::number(address));
  numbers.collect()
}

impl PlaceReplay {
  fn schedule_initial_events(&mut self) {
    self.queue.put(0, Event::RequestArrives);
    if self.strategy == PlaceWay::ToldSums {
      for at in 0..self.fleet.boxes {
        let first_ms = (self.random.random::<f64>() * ANNOUNCE_INTERVAL_MS as f64) as u64;
        self.queue.put(first_ms, Event::AnnounceTotal { at });
      }
    }
    if self.pattern == PlacePattern::CountingEnds {
      self.queue.put(TERMINATED_MS.1, Event::CoordinatorRestarts);
      for at in 0..self.fleet.boxes {
        for (changed_ms, has_coordinator) in [(TERMINATED_MS.0, false), (TERMINATED_MS.1, true)] {
          let delay_ms = (self.random.random::<f64>() * MAX_LIST_DELAY_MS) as u64;
          let event = Event::ListReceived {
            at,
            has_coordinator,
          };
          self.queue.put(changed_ms + delay_ms, event);
        }
      }
    }
  }

  fn run(&mut self) {
    while let Some((now_ms, event)) = self.queue.next() {
      if now_ms >= SIMULATION_END_MS {
        return;
      }
      self.now_ms = now_ms;
      self.handle(event);
    }
  }

  fn into_figures(mut self) -> PlaceFigures {
    let measured_s = (SIMULATION_END_MS - USED_FROM_MS) as f64 / 1_000.0;
    let advertised_s = (SIMULATION_END_MS - ADVERTISED_FROM_MS) as f64 / 1_000.0;
    let permitted = (self.fleet.limit_per_s * measured_s).max(1.0);
    self.figures.used_share = f64::from(self.used) / permitted;
    let bytes = self.boxes.iter().map(|one| one.bytes);
    self.figures.busiest_bytes_per_s = bytes.clone().max().unwrap_or(0) as f64 / advertised_s;
    self.figures.mean_bytes_per_s =
      bytes.sum::<u64>() as f64 / advertised_s / self.fleet.boxes as f64;
    self.figures
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::RequestArrives => self.handle_arrival(),
      Event::PermitRequest {
        from,
        to,
        number,
        request,
        limit,
      } => self.handle_permit_request(from, to, number, request, limit),
      Event::PermitResponse {
        to,
        number,
        verdict,
        limit,
      } => self.handle_permit_response(to, number, verdict, limit),
      Event::PermitTimeout {
        at,
        to,
        number,
        request,
      } => self.handle_permit_timeout(at, to, number, request),
      Event::AtEndpoint { from, knows_limit } => self.handle_endpoint_request(from, knows_limit),
      Event::ResponseReceived { at, sent_ms, per_s } => self.handle_response(at, sent_ms, per_s),
      Event::LimitReceived {
        to,
        limit,
        is_forwarded,
      } => self.handle_limit(to, limit, is_forwarded),
      Event::AnnounceTotal { at } => self.announce_total(at),
      Event::TotalsReceived { to, totals } => {
        let now_ms = self.now_ms;
        self.boxes[to]
          .usage_table
          .merge_totals(&totals, now_ms, now_ms);
      }
      Event::ListReceived {
        at,
        has_coordinator,
      } => self.boxes[at].lists_coordinator = has_coordinator,
      Event::CoordinatorRestarts => {
        let bytes = self.boxes[self.coordinator].bytes;
        self.boxes[self.coordinator] = PlaceBox {
          bytes,
          ..PlaceBox::default()
        };
      }
    }
  }

  /// Passes a request to a random box, and schedules the next arrival.
  fn handle_arrival(&mut self) {
    let interval_s = -(1.0 - self.random.random::<f64>()).ln() / self.fleet.requests_per_s;
    let next_ms = self.now_ms + (interval_s * 1_000.0).round() as u64;
    self.queue.put(next_ms, Event::RequestArrives);
    let at = match self.pattern {
      PlacePattern::OneBox => 0,
      _ => self.random.random_range(0..self.fleet.boxes),
    };
    if self.is_up(at) {
      self.admit(at);
    } else {
      self.figures.elsewhere += 1;
    }
  }

  fn is_up(&self, at: usize) -> bool {
    let is_down = self.pattern.is_frozen(self.now_ms) || self.pattern.is_terminated(self.now_ms);
    at != self.coordinator || !is_down
  }

  /// Sends a request to the endpoint if the strategy admits it.
  fn admit(&mut self, at: usize) {
    let now_ms = self.now_ms;
    let Some(per_s) = self.boxes[at].limits.per_s(&self.entry, now_ms) else {
      return self.send(at);
    };
    match self.strategy {
      PlaceWay::Off => self.send(at),
      PlaceWay::EvenParts => {
        let share = UsageLimit {
          burst: 1.0,
          rate_per_s: coordinator_limit(per_s).rate_per_s / self.fleet.boxes as f64,
        };
        let bucket = self.boxes[at]
          .even_share
          .get_or_insert_with(|| TokenBucket::empty(now_ms));
        let has_permit = bucket.level(share, now_ms) >= 1.0;
        if has_permit {
          bucket.charge(share, 1.0);
        }
        self.send_or_not(at, has_permit);
      }
      PlaceWay::ToldSums => {
        let limit = coordinator_limit(per_s);
        let name: Name = self.entry.id.clone();
        let usage_table = &mut self.boxes[at].usage_table;
        if usage_table.limit(&name) != Some(limit) {
          usage_table.set_limits([(name.clone(), limit)], now_ms);
        }
        let verdict = usage_table.admit(&name, 1, now_ms);
        self.send_or_not(at, verdict == UsageVerdict::WithinLimit);
      }
      PlaceWay::Asked | PlaceWay::AskedAndTold => self.acquire_permit(at),
    }
  }

  fn send_or_not(&mut self, at: usize, has_permit: bool) {
    if has_permit {
      self.send(at);
    } else {
      self.figures.elsewhere += 1;
    }
  }

  fn send(&mut self, at: usize) {
    let advertised_ms = self.boxes[at].advertised_ms;
    let knows_limit =
      advertised_ms.is_some_and(|advertised_ms| self.now_ms >= advertised_ms + APPLY_MS);
    if advertised_ms.is_none() && self.first_advertised_ms.is_some() {
      self.figures.untold += 1;
    }
    let arrives_ms = self.now_ms + ENDPOINT_DELAY_MS;
    let event = Event::AtEndpoint {
      from: at,
      knows_limit,
    };
    self.queue.put(arrives_ms, event);
  }

  fn acquire_permit(&mut self, at: usize) {
    let now_ms = self.now_ms;
    if self.boxes[at].limits.blocked_for_ms(&self.entry, now_ms) > 0 {
      self.figures.elsewhere += 1;
      return;
    }
    let id = self.entry.id.clone();
    match self.boxes[at].limits.permits().acquire(&id, now_ms) {
      LocalPermitVerdict::Granted => self.send(at),
      LocalPermitVerdict::Rejected { .. } => self.figures.elsewhere += 1,
      LocalPermitVerdict::Ask { permits, unused } => {
        let request = PermitRequest {
          box_name: PlaceFleet::name(at).as_str().into(),
          permits,
          priority: 1,
          unused,
        };
        self.request_permits(at, request);
      }
    }
  }

  /// The endpoint's coordinator order by the box list that a box knows.
  fn order(&self, at: usize) -> &[usize] {
    if self.boxes[at].lists_coordinator {
      &self.order
    } else {
      &self.order_without_coordinator
    }
  }

  fn request_permits(&mut self, at: usize, request: PermitRequest) {
    let now_ms = self.now_ms;
    let first = self.order(at)[0];
    if first == at {
      let verdict = self.grant(at, &request);
      return self.apply_verdict(at, verdict);
    }
    if now_ms < self.boxes[at].unresponsive_until_ms {
      let verdict = self.grant_isolated(at, &request);
      return self.apply_verdict(at, verdict);
    }
    self.permit_requests += 1;
    let number = self.permit_requests;
    self.boxes[at].pending.insert(number);
    let timeout = Event::PermitTimeout {
      at,
      number,
      request: request.clone(),
      to: first,
    };
    self.queue.put(now_ms + PERMIT_TIMEOUT_MS, timeout);
    let limit = self.received_limit(at);
    let event = Event::PermitRequest {
      from: at,
      limit,
      number,
      request,
      to: first,
    };
    self.send_message(at, first, PERMIT_REQUEST_BYTES, event);
  }

  /// The newest limit that a box knows.
  fn received_limit(&self, at: usize) -> ReceivedLimit {
    let advertised = self.boxes[at].limits.advertised(&self.entry);
    ReceivedLimit {
      per_s: advertised.and_then(|limit| limit.per_s).unwrap_or_default(),
      received_ms: advertised.map_or(0, |limit| limit.received_ms),
    }
  }

  /// Sends a message from one box to another, unless it is lost.
  fn send_message(&mut self, from: usize, to: usize, bytes: u64, event: Event) {
    self.figures.messages += 1;
    self.boxes[from].bytes += bytes;
    self.boxes[to].bytes += bytes;
    let is_partitioned = self.pattern.is_partitioned(self.now_ms)
      && (PlaceFleet::hall(from) == *self.entry.hall) != (PlaceFleet::hall(to) == *self.entry.hall);
    let is_unreliable = self.pattern == PlacePattern::LateAndLost;
    let is_lost = is_unreliable && self.random.random::<f64>() < LOST_SHARE;
    if is_partitioned || is_lost {
      return;
    }
    let extra_delay_ms = if is_unreliable {
      (self.random.random::<f64>() * MAX_EXTRA_DELAY_MS) as u64
    } else {
      0
    };
    self
      .queue
      .put(self.now_ms + BOX_DELAY_MS + extra_delay_ms, event);
  }

  fn handle_permit_request(
    &mut self,
    from: usize,
    to: usize,
    number: u32,
    request: PermitRequest,
    limit: ReceivedLimit,
  ) {
    // In the gateway, a box that is not the coordinator names the one that it knows; here it does not respond.
    if !self.is_up(to) || self.order(to)[0] != to {
      return;
    }
    self.record_limit(to, limit);
    let verdict = self.grant(to, &request);
    let limit = self.received_limit(to);
    let event = Event::PermitResponse {
      limit,
      number,
      to: from,
      verdict,
    };
    self.send_message(to, from, PERMIT_RESPONSE_BYTES, event);
  }

  fn record_limit(&mut self, at: usize, limit: ReceivedLimit) -> LimitChange {
    let advertised = AdvertisedLimit {
      received_ms: limit.received_ms,
      per_s: Some(limit.per_s),
      source: LimitSource::Box,
    };
    let (id, started_ms) = (self.entry.id.clone(), self.entry.started_ms);
    self.boxes[at]
      .limits
      .record_reported(&id, started_ms, advertised)
  }

  fn incarnation(&self) -> EndpointIncarnation {
    EndpointIncarnation::of(&self.entry.id, self.entry.started_ms)
  }

  fn grant(&mut self, at: usize, request: &PermitRequest) -> PermitVerdict {
    let limit = coordinator_limit(self.received_limit(at).per_s);
    let (incarnation, now_ms) = (self.incarnation(), self.now_ms);
    self.boxes[at]
      .permit_table
      .request(incarnation, limit, request, now_ms)
  }

  fn grant_isolated(&mut self, at: usize, request: &PermitRequest) -> PermitVerdict {
    if !self.order(at).iter().skip(1).any(|one| *one == at) {
      return PermitVerdict::Rejected {
        wait_ms: NO_PERMIT_WAIT_MS,
      };
    }
    let request = PermitRequest {
      permits: 1,
      unused: 0,
      ..request.clone()
    };
    let limit = isolated_limit(self.received_limit(at).per_s);
    let (incarnation, now_ms) = (self.incarnation(), self.now_ms);
    self.boxes[at]
      .isolated_permits
      .request(incarnation, limit, &request, now_ms)
  }

  fn apply_verdict(&mut self, at: usize, verdict: PermitVerdict) {
    let (id, now_ms) = (self.entry.id.clone(), self.now_ms);
    let permits = self.boxes[at].limits.permits();
    let has_permit = permits.record_verdict(&id, verdict, now_ms);
    self.send_or_not(at, has_permit);
  }

  fn handle_permit_response(
    &mut self,
    to: usize,
    number: u32,
    verdict: PermitVerdict,
    limit: ReceivedLimit,
  ) {
    // After the timeout the request has gone elsewhere, and the granted permits are lost.
    if !self.boxes[to].pending.remove(&number) {
      return;
    }
    self.record_limit(to, limit);
    self.apply_verdict(to, verdict);
  }

  fn handle_permit_timeout(&mut self, at: usize, to: usize, number: u32, request: PermitRequest) {
    if !self.boxes[at].pending.remove(&number) {
      return;
    }
    debug_assert_ne!(at, to);
    self.boxes[at].unresponsive_until_ms = self.now_ms + UNRESPONSIVE_MS;
    let verdict = self.grant_isolated(at, &request);
    self.apply_verdict(at, verdict);
  }

  fn handle_endpoint_request(&mut self, from: usize, knows_limit: bool) {
    let now_ms = self.now_ms;
    if now_ms >= USED_FROM_MS {
      self.used += 1;
    }
    let counted_from_ms = self
      .first_advertised_ms
      .map_or(u64::MAX, |first_ms| first_ms + CONTACT_MS);
    if knows_limit && now_ms >= counted_from_ms {
      self.window.push_back(now_ms);
      while self
        .window
        .front()
        .is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms)
      {
        self.window.pop_front();
      }
      let requests = u32::try_from(self.window.len()).unwrap_or(u32::MAX);
      self.figures.most_in_window = self.figures.most_in_window.max(requests);
    }
    let responds_ms = now_ms + PROCESSING_MS;
    if responds_ms < ADVERTISED_FROM_MS {
      return;
    }
    self.first_advertised_ms.get_or_insert(responds_ms);
    self.responses += 1;
    let is_half = self.pattern == PlacePattern::FiguresDiffer && self.responses.is_multiple_of(2);
    let event = Event::ResponseReceived {
      at: from,
      per_s: self.fleet.limit_per_s * if is_half { 0.5 } else { 1.0 },
      sent_ms: now_ms - ENDPOINT_DELAY_MS,
    };
    self.queue.put(responds_ms + ENDPOINT_DELAY_MS, event);
  }

  fn handle_response(&mut self, at: usize, sent_ms: u64, per_s: f64) {
    let now_ms = self.now_ms;
    self.boxes[at].advertised_ms.get_or_insert(now_ms);
    let header = LimitHeader::PerSecond(per_s);
    let limits = &mut self.boxes[at].limits;
    let change = limits.record_response(&self.entry, header, sent_ms, now_ms);
    if change != LimitChange::Started || self.strategy != PlaceWay::AskedAndTold {
      return;
    }
    let name = PlaceFleet::name(at);
    let limit = self.received_limit(at);
    for address in self.list.other_coordinators(&name) {
      self.announce_limit(at, PlaceFleet::number(address), limit, false);
    }
    for address in self.list.forwarded_by(&name) {
      self.announce_limit(at, PlaceFleet::number(address), limit, true);
    }
  }

  fn announce_limit(&mut self, from: usize, to: usize, limit: ReceivedLimit, is_forwarded: bool) {
    let event = Event::LimitReceived {
      is_forwarded,
      limit,
      to,
    };
    self.send_message(from, to, LIMIT_BYTES, event);
  }

  fn handle_limit(&mut self, to: usize, limit: ReceivedLimit, is_forwarded: bool) {
    if !self.is_up(to) || self.record_limit(to, limit) != LimitChange::Started || is_forwarded {
      return;
    }
    for address in self.list.forwarded_by(&PlaceFleet::name(to)) {
      self.announce_limit(to, PlaceFleet::number(address), limit, true);
    }
  }

  /// Announces a box's total to all others, and schedules its next announcement.
  fn announce_total(&mut self, at: usize) {
    self.queue.put(
      self.now_ms + ANNOUNCE_INTERVAL_MS,
      Event::AnnounceTotal { at },
    );
    let name = PlaceFleet::name(at);
    if !self.is_up(at) || self.boxes[at].usage_table.is_empty() {
      return;
    }
    let totals = self.boxes[at]
      .usage_table
      .totals_to_report(ReportScope::All);
    let totals = UsageTotals {
      box_name: name.as_str().into(),
      reporters: 0,
      incarnation: 1,
      totals,
      uptime_ms: self.now_ms,
    };
    for to in (0..self.fleet.boxes).filter(|to| *to != at) {
      let event = Event::TotalsReceived {
        to,
        totals: Box::new(totals.clone()),
      };
      self.send_message(at, to, TOTALS_BYTES, event);
    }
  }
}
