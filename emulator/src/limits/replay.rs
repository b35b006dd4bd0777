//! The limits simulation: boxes admit requests with the gateway's own usage accounting and exchange messages with delays.

use {
  super::{
    event::Event,
    figures::{LimitFigures, WindowUsage},
    fleet::LimitFleet,
    limit_box::LimitBox,
    pattern::{LimitPattern, PATTERN_START_MS, SIMULATION_END_MS},
    request_kind::RequestKind,
  },
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      Activation, BandRequest, BoxList, DemandBand, LimitSettings, LimitStrategy, LocalVerdict,
      ReportScope, RequestedUnits, UsageLimit, UsageRequest, UsageTotals, UsageVerdict,
    },
    ids::Name,
  },
  std::net::SocketAddr,
};

// The sync interval, the rounds until an idle box sends an empty report and the rounds between full totals are the
// gateway's.
const SYNC_INTERVAL_MS: u64 = 150;
const IDLE_ROUNDS: u32 = 3;
const FULL_TOTALS_ROUNDS: u32 = 10;
const SETTINGS: LimitSettings = LimitSettings {
  fair_shares: Activation::Never,
  overage: 0.1,
  return_order: Activation::Never,
  slack_units: 190_000.0,
  strategy: LimitStrategy::AskNearLimit,
};
/// Size of a message entry: a name and a number.
const ENTRY_BYTES: usize = 14;

struct LimitReplay {
  pattern: LimitPattern,
  fleet: LimitFleet,
  strategy: LimitStrategy,
  /// Whether small and urgent requests go first.
  is_fair: bool,
  random: ChaCha8Rng,
  queue: Queue<Event>,
  list: BoxList,
  names: Vec<Name>,
  boxes: Vec<LimitBox>,
  usage_windows: Vec<WindowUsage>,
  /// Units served to each organisation while the pattern is active.
  served: Vec<f64>,
  figures: LimitFigures,
}

/// Runs a pattern with a seed.
pub fn replay_limits(
  pattern: LimitPattern,
  fleet: LimitFleet,
  strategy: LimitStrategy,
  seed: u64,
) -> LimitFigures {
  replay(pattern, fleet, strategy, false, seed)
}

/// Runs a pattern with fair shares: small and urgent requests of an organisation go first at its limit.
pub fn replay_fair_shares(pattern: LimitPattern, fleet: LimitFleet, seed: u64) -> LimitFigures {
  replay(pattern, fleet, LimitStrategy::AskNearLimit, true, seed)
}

fn replay(
  pattern: LimitPattern,
  fleet: LimitFleet,
  strategy: LimitStrategy,
  is_fair: bool,
  seed: u64,
) -> LimitFigures {
  let mut replay = LimitReplay {
    boxes: (0..fleet.boxes).map(|_| LimitBox::default()).collect(),
    figures: LimitFigures::default(),
    fleet,
    is_fair,
    list: fleet.box_list(),
    names: (0..fleet.organisations)
      .map(|number| format!("organisation-{number}").as_str().into())
      .collect(),
    pattern,
    queue: Queue::new(),
    random: ChaCha8Rng::seed_from_u64(seed),
    served: vec![0.0; fleet.organisations],
    strategy,
    usage_windows: vec![WindowUsage::default(); fleet.organisations],
  };
  replay.schedule_initial_events();
  replay.run();
  replay.into_figures()
}

impl LimitReplay {
  fn schedule_initial_events(&mut self) {
    self.apply_limits(0);
    for organisation in 0..self.fleet.organisations {
      self.schedule_next_request(organisation, 0);
    }
    for from in 0..self.fleet.boxes {
      let at_ms = self.random.random_range(0..SYNC_INTERVAL_MS);
      self.queue.put(at_ms, Event::SyncUsage { from });
    }
    self.queue.put(PATTERN_START_MS, Event::LimitsChange);
    if let Some(at_ms) = self.pattern.boxes_restart_ms() {
      self.queue.put(at_ms, Event::BoxesRestart);
    }
  }

  fn run(&mut self) {
    while let Some((now_ms, event)) = self.queue.next() {
      if now_ms >= SIMULATION_END_MS {
        return;
      }
      self.handle(event, now_ms);
    }
  }

  fn handle(&mut self, event: Event, now_ms: u64) {
    match event {
      Event::RequestArrives { organisation } => {
        self.handle_request(organisation, now_ms);
        self.schedule_next_request(organisation, now_ms);
      }
      Event::SyncUsage { from } => {
        self.sync_usage(from, now_ms);
        self
          .queue
          .put(now_ms + SYNC_INTERVAL_MS, Event::SyncUsage { from });
      }
      Event::TotalsReceived { at, totals } => {
        let receiver = &mut self.boxes[at];
        let uptime_ms = now_ms - receiver.started_ms;
        receiver
          .usage_table
          .merge_totals(&totals, uptime_ms, now_ms);
      }
      Event::ReportReceived {
        at,
        from,
        requested,
        used,
      } => {
        self.record_demand(at, requested, now_ms);
        self.handle_report(at, from, &used, now_ms);
      }
      Event::DemandReceived { at, demand, from } => {
        let usage_table = &mut self.boxes[at].usage_table;
        usage_table.set_peer_demand(&from, demand, now_ms);
      }
      Event::NearLimitReceived { at, near } => {
        self.boxes[at].local_usage.record_near_limit(near, now_ms)
      }
      Event::BoxesRestart => {
        for each in &mut self.boxes {
          *each = LimitBox {
            bytes: each.bytes,
            messages: each.messages,
            started_ms: now_ms,
            ..LimitBox::default()
          };
        }
        self.apply_limits(now_ms);
      }
      Event::LimitsChange => self.apply_limits(now_ms),
    }
  }

  /// The limit of an organisation with the pattern's change applied.
  fn limit(&self, organisation: usize, now_ms: u64) -> UsageLimit {
    let limit = self.fleet.limit(organisation);
    let share = self.pattern.limit_share(now_ms);
    UsageLimit {
      burst: limit.burst * share,
      rate_per_s: limit.rate_per_s * share,
    }
  }

  fn apply_limits(&mut self, now_ms: u64) {
    let limits: Vec<(Name, UsageLimit)> = (0..self.fleet.organisations)
      .map(|number| {
        let enforced = SETTINGS.enforced(self.limit(number, now_ms));
        (self.names[number].clone(), enforced)
      })
      .collect();
    for each in &mut self.boxes {
      each.usage_table.set_limits(limits.iter().cloned(), now_ms);
    }
  }

  fn schedule_next_request(&mut self, organisation: usize, now_ms: u64) {
    let load = self
      .pattern
      .load(organisation, self.fleet.organisations, now_ms);
    let per_s = self.fleet.requests_per_s(organisation) * load;
    let draw: f64 = self.random.random();
    let interval_ms = -(1.0 - draw).ln() / per_s * 1_000.0;
    // Capped, so that a long interval drawn before a change of load does not delay the new load.
    let at_ms = now_ms + (interval_ms as u64).min(1_000);
    self
      .queue
      .put(at_ms, Event::RequestArrives { organisation });
  }

  fn handle_request(&mut self, organisation: usize, now_ms: u64) {
    let one_hall = self.pattern == LimitPattern::OneHall;
    let caller = self.random.random_range(0..self.fleet.boxes);
    let at = self.fleet.box_of(organisation, caller, one_hall);
    let (index, kind) = self.draw_kind();
    let is_admitted = self.admit(at, organisation, kind, now_ms);
    let load = self
      .pattern
      .load(organisation, self.fleet.organisations, now_ms);
    let is_overloading = self.pattern.is_hot() && is_overloading(organisation, self.fleet);
    if !is_overloading && load <= 1.0 && self.pattern.limit_share(now_ms) >= 1.0 {
      self.figures.inside += 1;
      self.figures.refused_inside += u32::from(!is_admitted);
    }
    if is_overloading && self.pattern.is_active(now_ms) {
      let counts = &mut self.figures.kinds[index];
      counts.asked += 1;
      counts.admitted += u32::from(is_admitted);
      self.figures.value += if is_admitted { kind.value } else { 0.0 };
    }
    if is_admitted {
      let limit = self.limit(organisation, now_ms);
      let used = self.usage_windows[organisation].admit(kind.units as f64, limit, now_ms);
      // A lowered limit applies to whole windows only one window after the change.
      let is_changing = self.pattern == LimitPattern::LimitsCut
        && (PATTERN_START_MS..PATTERN_START_MS + 8_000).contains(&now_ms);
      if !is_changing {
        self.figures.most_used = self.figures.most_used.max(used);
      }
      if self.pattern.is_active(now_ms) {
        self.served[organisation] += kind.units as f64;
      }
    }
  }

  /// The kind of the next request, and its index.
  fn draw_kind(&mut self) -> (usize, RequestKind) {
    if self.pattern != LimitPattern::MixedSizes {
      return (0, RequestKind::UNIFORM);
    }
    let index = RequestKind::mixed(self.random.random());
    (index, RequestKind::MIXED[index])
  }

  fn band(&self, kind: RequestKind) -> Option<DemandBand> {
    self
      .is_fair
      .then(|| DemandBand::of(kind.units, kind.priority))
  }

  fn record_demand(&mut self, at: usize, requested: RequestedUnits, now_ms: u64) {
    let usage_table = &mut self.boxes[at].usage_table;
    for (organisation, band, units) in requested {
      usage_table.record_demand(&organisation, BandRequest { band, units }, now_ms);
    }
  }

  /// The decision of a coordinator.
  fn decide(&mut self, at: usize, name: &Name, kind: RequestKind, now_ms: u64) -> UsageVerdict {
    let band = self.band(kind);
    let usage_table = &mut self.boxes[at].usage_table;
    let units = kind.units;
    match band {
      Some(band) => {
        usage_table
          .admit_ranked(name, BandRequest { band, units }, now_ms)
          .verdict
      }
      None => usage_table.admit(name, units, now_ms),
    }
  }

  fn admit(&mut self, at: usize, organisation: usize, kind: RequestKind, now_ms: u64) -> bool {
    let name = self.names[organisation].clone();
    let Some(limit) = self.boxes[at].usage_table.limit(&name) else {
      return true;
    };
    if self.strategy.uses_coordinators() && self.is_coordinator(at) {
      return self.decide(at, &name, kind, now_ms) == UsageVerdict::WithinLimit;
    }
    let request = self.request(&name, limit, kind, now_ms);
    let local = self.boxes[at].local_usage.admit(request, self.strategy);
    let verdict = match local {
      LocalVerdict::Settled(verdict) => verdict,
      LocalVerdict::Ask => self.ask(at, &name, limit, kind, now_ms),
    };
    verdict == UsageVerdict::WithinLimit
  }

  fn request<'a>(
    &self,
    organisation: &'a Name,
    limit: UsageLimit,
    kind: RequestKind,
    now_ms: u64,
  ) -> UsageRequest<'a> {
    UsageRequest {
      band: self.band(kind),
      boxes: self.fleet.boxes,
      limit,
      now_ms,
      organisation,
      units: kind.units,
    }
  }

  /// Asks the first reachable coordinator, which responds without a delay in the simulation.
  fn ask(
    &mut self,
    at: usize,
    name: &Name,
    limit: UsageLimit,
    kind: RequestKind,
    now_ms: u64,
  ) -> UsageVerdict {
    let Some(coordinator) = self.first_reachable_coordinator(at, now_ms) else {
      let request = self.request(name, limit, kind, now_ms);
      let local_usage = &mut self.boxes[at].local_usage;
      local_usage.record_unreachable();
      return local_usage.admit_isolated(request);
    };
    let used = self.boxes[at].local_usage.take_unreported();
    let requested = self.boxes[at].local_usage.take_requested();
    self.record_message(at, coordinator, used.len() + requested.len() + 1);
    self.record_demand(coordinator, requested, now_ms);
    let reporter: Name = self.fleet.name(at).as_str().into();
    let usage_table = &mut self.boxes[coordinator].usage_table;
    usage_table.record_reporter(&reporter, now_ms);
    for (organisation, units) in &used {
      usage_table.charge(organisation, *units, now_ms);
    }
    let verdict = self.decide(coordinator, name, kind, now_ms);
    let near = self.boxes[coordinator].usage_table.near_limit(now_ms);
    let band = self.band(kind);
    let local_usage = &mut self.boxes[at].local_usage;
    local_usage.record_near_limit(near, now_ms);
    match verdict {
      UsageVerdict::WithinLimit => local_usage.record_admitted(name, kind.units, now_ms),
      UsageVerdict::OverLimit { remaining, wait_ms } => {
        local_usage.record_rejected(name, band, remaining, wait_ms, now_ms)
      }
    }
    verdict
  }

  fn sync_usage(&mut self, from: usize, now_ms: u64) {
    if !self.strategy.uses_coordinators() {
      return;
    }
    if self.is_coordinator(from) {
      return self.announce_totals(from, now_ms);
    }
    let sender = &mut self.boxes[from];
    let is_busy = sender.local_usage.is_busy();
    sender.idle_rounds = if is_busy { 0 } else { sender.idle_rounds + 1 };
    if !is_busy && sender.idle_rounds < IDLE_ROUNDS {
      return;
    }
    sender.idle_rounds = 0;
    let Some(at) = self.first_reachable_coordinator(from, now_ms) else {
      self.boxes[from].local_usage.record_unreachable();
      return;
    };
    let used = self.boxes[from].local_usage.take_unreported();
    let requested = self.boxes[from].local_usage.take_requested();
    self.record_message(from, at, used.len() + requested.len());
    let at_ms = now_ms + self.message_delay_ms(from, at, now_ms);
    self.queue.put(
      at_ms,
      Event::ReportReceived {
        at,
        from,
        requested,
        used,
      },
    );
  }

  fn announce_totals(&mut self, from: usize, now_ms: u64) {
    let name: Name = self.fleet.name(from).as_str().into();
    let location = self.fleet.location(from);
    let sender = &mut self.boxes[from];
    let scope = match sender.rounds % FULL_TOTALS_ROUNDS {
      0 => ReportScope::All,
      _ => ReportScope::Changed,
    };
    sender.rounds += 1;
    sender.usage_table.set_box_count(self.fleet.boxes, now_ms);
    let reporters = sender.usage_table.reporter_count(now_ms);
    let totals = sender.usage_table.totals_to_report(scope);
    let announced = totals.into_iter().map(|(name, units)| {
      let units = self.pattern.announced_units(location, units, now_ms);
      (name, units)
    });
    let totals = UsageTotals {
      box_name: name.clone(),
      reporters,
      incarnation: sender.started_ms,
      totals: announced.collect(),
      uptime_ms: now_ms - sender.started_ms,
    };
    let demand = if self.is_fair {
      self.boxes[from].usage_table.own_demand(now_ms)
    } else {
      Vec::new()
    };
    for address in self.list.other_coordinators(&name) {
      let at = LimitFleet::number(address);
      if !self
        .pattern
        .are_connected(location, self.fleet.location(at), now_ms)
      {
        continue;
      }
      self.record_message(from, at, totals.totals.len());
      let at_ms = now_ms + self.message_delay_ms(from, at, now_ms);
      let totals = totals.clone();
      self.queue.put(at_ms, Event::TotalsReceived { at, totals });
      if !demand.is_empty() {
        self.record_message(from, at, demand.iter().map(|(_, bands)| bands.len()).sum());
        let received = Event::DemandReceived {
          at,
          demand: demand.clone(),
          from: name.clone(),
        };
        self.queue.put(at_ms, received);
      }
    }
  }

  fn handle_report(&mut self, at: usize, from: usize, used: &[(Name, i64)], now_ms: u64) {
    let reporter: Name = self.fleet.name(from).as_str().into();
    let usage_table = &mut self.boxes[at].usage_table;
    usage_table.record_reporter(&reporter, now_ms);
    for (organisation, units) in used {
      usage_table.charge(organisation, *units, now_ms);
    }
    let near = usage_table.near_limit(now_ms);
    let at_ms = now_ms + self.message_delay_ms(at, from, now_ms);
    self
      .queue
      .put(at_ms, Event::NearLimitReceived { at: from, near });
  }

  fn is_coordinator(&self, number: usize) -> bool {
    let hall = format!("hall-{}", self.fleet.location(number).hall);
    self.list.is_coordinator(&self.fleet.name(number), &hall)
  }

  /// The first coordinator in a box's order that it can reach.
  fn first_reachable_coordinator(&self, from: usize, now_ms: u64) -> Option<usize> {
    let location = self.fleet.location(from);
    let hall = format!("hall-{}", location.hall);
    let name = self.fleet.name(from);
    let is_reachable = |address: &SocketAddr| {
      let other = self.fleet.location(LimitFleet::number(*address));
      self.pattern.are_connected(location, other, now_ms)
    };
    let coordinators = self.list.coordinators_for(&name, &hall);
    coordinators
      .into_iter()
      .find(is_reachable)
      .map(LimitFleet::number)
  }

  fn message_delay_ms(&self, one: usize, other: usize, now_ms: u64) -> u64 {
    let (one, other) = (self.fleet.location(one), self.fleet.location(other));
    self.pattern.message_delay_ms(one, other, now_ms)
  }

  fn record_message(&mut self, from: usize, to: usize, entries: usize) {
    for number in [from, to] {
      self.boxes[number].messages += 1;
      self.boxes[number].bytes += entries * ENTRY_BYTES;
    }
  }

  fn into_figures(mut self) -> LimitFigures {
    let seconds = SIMULATION_END_MS as f64 / 1_000.0;
    let messages = self.boxes.iter().map(|each| each.messages).max();
    let bytes = self.boxes.iter().map(|each| each.bytes).max();
    self.figures.busiest_messages_per_s = f64::from(messages.unwrap_or(0)) / seconds;
    self.figures.busiest_bytes_per_s = bytes.unwrap_or(0) as f64 / seconds;
    let limit = self.fleet.limit(0);
    let pattern_s = (PATTERN_START_MS..SIMULATION_END_MS)
      .filter(|at_ms| self.pattern.is_active(*at_ms))
      .count() as f64
      / 1_000.0;
    self.figures.served_of_limit = self.served[0] / (limit.rate_per_s * pattern_s + limit.burst);
    self.figures
  }
}

fn is_overloading(organisation: usize, fleet: LimitFleet) -> bool {
  organisation == 0 || organisation + 1 == fleet.organisations
}
