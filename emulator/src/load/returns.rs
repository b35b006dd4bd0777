//! Rejections and returns under load: boxes decide with the gateway's slot queue, forecasts and return schedule, callers return.
//!
//! The engines are one pool of slots: which engine a box asks is not modelled.

use {
  crate::queue::Queue,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      LongestDeadlines, OrganisationLoad, QueuePosition, ReturnSchedule, ReturningCaller,
      SlotForecast, SlotQueue, SlotSupply, SlotUrgency,
    },
    ids::Name,
  },
};

const BOXES: usize = 61;
/// Streams that all engines decode at once, bounded by their memory.
const SLOTS: u32 = 360;
/// Mean time for which a stream takes a slot.
const MEAN_STREAM_MS: f64 = 3_650.0;
/// Mean time from a slot to the first event; at least half of it.
const FIRST_EVENT_MS: f64 = 350.0;
/// Time of a request for a slot, and delay of the next one when engines are full.
const ASK_MS: u64 = 4;
const FULL_RETRY_MS: u64 = 12;
const DEADLINE_MS: u64 = 14_000;
/// Fraction of the callers that do not wait as told.
const IMPATIENT_SHARE: f64 = 0.2;
const IMPATIENT_MS: u64 = 20;
/// Rejections after which a caller gives up.
const MAX_REJECTIONS: u32 = 4;
/// The least time since a caller's first rejection by which it counts as one who returns.
const MIN_RETURN_MS: u64 = 50;
/// The gateway's waits for a slot, as fractions of the target and factor on the time to the first event.
const MIN_WAIT_SHARE: f64 = 0.22;
const START_MARGIN: f64 = 1.5;
/// Start of the pattern, its duration, and the end of the simulation.
const PATTERN_MS: (u64, u64) = (10_000, 15_000);
const END_MS: u64 = 40_000;
/// Time before a quarter of the target at which a request decides whether it goes on waiting.
const SOON_MARGIN_MS: u64 = 20;
/// Seeds of all random draws but arrivals.
const FIRST_OTHER_SEED: u64 = 1_000_000;
/// The time from arrival in which requests are counted.
const COUNTED_MS: (u64, u64) = (10_000, 20_000);

struct Route {
  name: &'static str,
  priority: u8,
  target_ms: u64,
  value: f64,
  per_s: f64,
}

const ROUTES: [Route; 3] = [
  Route {
    name: "appeal",
    per_s: 14.8,
    priority: 0,
    target_ms: 800,
    value: 12.0,
  },
  Route {
    name: "review",
    per_s: 11.0,
    priority: 1,
    target_ms: 1_000,
    value: 6.2,
  },
  Route {
    name: "digest",
    per_s: 19.3,
    priority: 2,
    target_ms: 2_000,
    value: 3.1,
  },
];

/// The load of the simulation. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnPattern {
  /// Normal load, half of what the engines can serve.
  Calm,
  /// About what the engines can serve, for 5 s.
  Full,
  /// Four times the normal load for 5 s.
  Burst,
  /// Two engines in three are gone for 5 s.
  EnginesGone,
}

impl ReturnPattern {
  /// All patterns, in the order of reports.
  pub const ALL: [Self; 4] = [Self::Calm, Self::Full, Self::Burst, Self::EnginesGone];

  fn load(self, now_ms: u64) -> f64 {
    match self {
      Self::Full if is_active(now_ms) => 2.2,
      Self::Burst if is_active(now_ms) => 4.0,
      _ => 1.0,
    }
  }

  fn slots(self, now_ms: u64) -> u32 {
    match self {
      Self::EnginesGone if is_active(now_ms) => SLOTS / 3,
      _ => SLOTS,
    }
  }
}

fn is_active(now_ms: u64) -> bool {
  (PATTERN_MS.0..PATTERN_MS.1).contains(&now_ms)
}

/// The decisions that boxes use.
///
/// ```
/// use emulator::load::ReturnVariant;
/// assert_eq!(ReturnVariant::ALL[0].1, ReturnVariant { at_once: false, by_schedule: false });
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReturnVariant {
  /// Reject at once by the supply of slots, instead of the forecast by obtained slots.
  pub at_once: bool,
  /// Return times by schedule, and preference for callers who return.
  pub by_schedule: bool,
}

impl ReturnVariant {
  /// All variants, with the names that the report prints.
  pub const ALL: [(&'static str, Self); 4] = [
    ("as before", Self::new(false, false)),
    ("rejection at once", Self::new(true, false)),
    ("return order", Self::new(false, true)),
    ("both", Self::new(true, true)),
  ];

  const fn new(at_once: bool, by_schedule: bool) -> Self {
    Self {
      at_once,
      by_schedule,
    }
  }
}

/// Results of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReturnFigures {
  pub asked: u32,
  /// Served with the first event in time, at the first attempt.
  pub in_time: u32,
  /// Served in time after rejections.
  pub in_time_returned: u32,
  /// Served, the first event being late.
  pub late: u32,
  /// Rejected for good.
  pub lost: u32,
  /// Rejections within a quarter of the target, and later ones.
  pub rejected_soon: u32,
  pub rejected_late: u32,
  /// Value of what was served in time; half for callers who were rejected once, soon.
  pub value: f64,
}

#[derive(Clone, Copy)]
struct Request {
  route: usize,
  first_ms: u64,
  arrived_ms: u64,
  rejections: u32,
  /// Whether all rejections came soon.
  is_soon: bool,
}

struct Waiting {
  position: QueuePosition,
  request: Request,
  until_ms: u64,
  /// The end of its whole wait.
  latest_ms: u64,
  /// It asks once.
  is_single: bool,
}

#[derive(Default)]
struct GatewayBox {
  queue: SlotQueue,
  waiting: Vec<Waiting>,
  is_asking: bool,
  forecast: SlotForecast,
  supply: SlotSupply,
  schedule: ReturnSchedule,
  deadlines: LongestDeadlines,
}

enum Event {
  /// The next request of a route arrives.
  Next(usize),
  Arrives(Request),
  /// A box's first waiting request asks for a slot.
  Asks(usize),
  SlotFree,
}

struct Replay {
  pattern: ReturnPattern,
  variant: ReturnVariant,
  random: ChaCha8Rng,
  /// Of arrivals, which are the same for all variants.
  arrivals: ChaCha8Rng,
  queue: Queue<Event>,
  boxes: Vec<GatewayBox>,
  running: u32,
  figures: ReturnFigures,
}

/// Runs a pattern with a seed.
///
/// ```
/// use emulator::load::{ReturnPattern, ReturnVariant, replay_returns};
/// for (_, variant) in ReturnVariant::ALL {
///   let calm = replay_returns(ReturnPattern::Calm, variant, 1);
///   assert_eq!((calm.rejected_soon, calm.rejected_late), (0, 0));
/// }
/// ```
pub fn replay_returns(pattern: ReturnPattern, variant: ReturnVariant, seed: u64) -> ReturnFigures {
  let mut replay = Replay {
    boxes: (0..BOXES).map(|_| GatewayBox::default()).collect(),
    figures: ReturnFigures::default(),
    pattern,
    queue: Queue::new(),
    arrivals: ChaCha8Rng::seed_from_u64(seed),
    random: ChaCha8Rng::seed_from_u64(seed + FIRST_OTHER_SEED),
    running: 0,
    variant,
  };
  (0..ROUTES.len()).for_each(|route| replay.queue.put(0, Event::Next(route)));
  while let Some((now_ms, event)) = replay.queue.next() {
    if now_ms >= END_MS {
      break;
    }
    match event {
      Event::Next(route) => replay.handle_next(now_ms, route),
      Event::Arrives(request) => replay.handle_arrival(now_ms, request),
      Event::Asks(at_box) => replay.handle_ask(now_ms, at_box),
      Event::SlotFree => replay.running -= 1,
    }
  }
  replay.figures
}

impl Replay {
  fn handle_next(&mut self, now_ms: u64, route: usize) {
    let request = Request {
      arrived_ms: now_ms,
      first_ms: now_ms,
      is_soon: true,
      rejections: 0,
      route,
    };
    self.figures.asked += u32::from(is_counted(&request));
    self.queue.put(now_ms, Event::Arrives(request));
    let mean_ms = 1_000.0 / (ROUTES[route].per_s * self.pattern.load(now_ms));
    let interval_ms = exponential(&mut self.arrivals, mean_ms);
    self.queue.put(now_ms + interval_ms, Event::Next(route));
  }

  fn handle_arrival(&mut self, now_ms: u64, mut request: Request) {
    request.arrived_ms = now_ms;
    let at_box = self.random.random_range(0..BOXES);
    let route = &ROUTES[request.route];
    let target_ms = route.target_ms as f64;
    let wait_ms =
      (target_ms - FIRST_EVENT_MS * START_MARGIN).max(target_ms * MIN_WAIT_SHARE) as u64;
    let remaining_ms = (request.first_ms + DEADLINE_MS).saturating_sub(now_ms);
    let gateway = &mut self.boxes[at_box];
    let name = Name::from(route.name);
    let refused_ms = gateway
      .deadlines
      .refused_for_ms(&name, remaining_ms, now_ms);
    if refused_ms < MIN_RETURN_MS {
      gateway.supply.record_arrival(now_ms);
    }
    let urgency = if self.variant.by_schedule && refused_ms >= MIN_RETURN_MS {
      SlotUrgency::Returned
    } else {
      SlotUrgency::New
    };
    let mut is_single = false;
    if self.variant.at_once {
      let ahead = gateway
        .queue
        .ahead_of(urgency, route.priority, OrganisationLoad::Usual);
      is_single = !gateway.supply.has_chance(ahead, wait_ms, now_ms);
      if is_single && ahead > 0 {
        return self.reject(now_ms, at_box, request);
      }
    } else if !gateway.forecast.has_chance(gateway.queue.len(), wait_ms) {
      return self.reject(now_ms, at_box, request);
    }
    let latest_ms = now_ms + wait_ms.min(remaining_ms);
    let position = gateway.queue.join(urgency, route.priority);
    gateway.waiting.push(Waiting {
      is_single,
      position,
      request,
      latest_ms,
      until_ms: if self.variant.at_once {
        latest_ms.min(now_ms + route.target_ms / 4 - SOON_MARGIN_MS)
      } else {
        latest_ms
      },
    });
    if !std::mem::replace(&mut gateway.is_asking, true) {
      self.queue.put(now_ms + ASK_MS, Event::Asks(at_box));
    }
  }

  fn handle_ask(&mut self, now_ms: u64, at_box: usize) {
    let is_over = |waiting: &Waiting| waiting.until_ms <= now_ms;
    while let Some(index) = self.boxes[at_box].waiting.iter().position(is_over) {
      if self.goes_on(now_ms, at_box, index) {
        continue;
      }
      let request = self.leave(now_ms, at_box, index);
      self.reject(now_ms, at_box, request);
    }
    let has_slot = self.running < self.pattern.slots(now_ms);
    let gateway = &mut self.boxes[at_box];
    let is_first = |waiting: &Waiting| gateway.queue.is_first(waiting.position);
    let Some(first) = gateway.waiting.iter().position(is_first) else {
      gateway.is_asking = false;
      return;
    };
    let mut again_ms = ASK_MS;
    if has_slot {
      let others_wait = gateway.waiting.len() > 1;
      gateway.forecast.record_slot(now_ms, others_wait);
      gateway.supply.record_slot(now_ms);
      let request = self.leave(now_ms, at_box, first);
      self.serve(now_ms, at_box, request);
    } else {
      gateway.supply.record_full(now_ms);
      again_ms = FULL_RETRY_MS;
      if gateway.waiting[first].is_single {
        let request = self.leave(now_ms, at_box, first);
        self.reject(now_ms, at_box, request);
      }
    }
    self.queue.put(now_ms + again_ms, Event::Asks(at_box));
  }

  /// Whether a request waits beyond the time in which a rejection is useful.
  fn goes_on(&mut self, now_ms: u64, at_box: usize, index: usize) -> bool {
    let gateway = &mut self.boxes[at_box];
    let waiting = &mut gateway.waiting[index];
    if waiting.until_ms >= waiting.latest_ms {
      return false;
    }
    let within_ms = waiting.latest_ms.saturating_sub(now_ms);
    waiting.until_ms = waiting.latest_ms;
    let ahead = gateway.queue.ahead(waiting.position);
    within_ms > 0 && gateway.supply.is_likely(ahead, within_ms, now_ms)
  }

  /// Removes a request from a box's queue.
  fn leave(&mut self, now_ms: u64, at_box: usize, index: usize) -> Request {
    let gateway = &mut self.boxes[at_box];
    let waiting = gateway.waiting.swap_remove(index);
    gateway.queue.leave(waiting.position);
    if gateway.queue.is_empty() {
      gateway.forecast.record_idle();
      gateway.supply.record_idle(now_ms);
    }
    waiting.request
  }

  fn serve(&mut self, now_ms: u64, at_box: usize, request: Request) {
    self.running += 1;
    let stream_ms = exponential(&mut self.random, MEAN_STREAM_MS);
    self.boxes[at_box].forecast.record_stream(stream_ms);
    self.queue.put(now_ms + stream_ms, Event::SlotFree);
    let start_ms =
      FIRST_EVENT_MS / 2.0 + exponential(&mut self.random, FIRST_EVENT_MS / 2.0) as f64;
    if !is_counted(&request) {
      return;
    }
    let route = &ROUTES[request.route];
    let took_ms = now_ms - request.arrived_ms + start_ms as u64;
    if took_ms > route.target_ms {
      self.figures.late += 1;
    } else if request.rejections == 0 {
      self.figures.in_time += 1;
      self.figures.value += route.value;
    } else {
      self.figures.in_time_returned += 1;
      let is_half = request.rejections == 1 && request.is_soon;
      self.figures.value += if is_half { route.value / 2.0 } else { 0.0 };
    }
  }

  fn reject(&mut self, now_ms: u64, at_box: usize, mut request: Request) {
    let route = &ROUTES[request.route];
    let is_soon = (now_ms - request.arrived_ms) * 4 <= route.target_ms;
    request.is_soon &= is_soon;
    request.rejections += 1;
    let counted = u32::from(is_counted(&request));
    self.figures.rejected_soon += counted * u32::from(is_soon);
    self.figures.rejected_late += counted * u32::from(!is_soon);
    let remaining_ms = (request.first_ms + DEADLINE_MS).saturating_sub(now_ms);
    let is_impatient = self.random.random::<f64>() < IMPATIENT_SHARE;
    let after_ms = self.retry_after_ms(now_ms, at_box, request, remaining_ms);
    let after_ms = if is_impatient {
      IMPATIENT_MS
    } else {
      after_ms.min(remaining_ms / 3)
    };
    if request.rejections >= MAX_REJECTIONS || after_ms >= remaining_ms {
      self.figures.lost += counted;
      return;
    }
    self.queue.put(now_ms + after_ms, Event::Arrives(request));
  }

  fn retry_after_ms(
    &mut self,
    now_ms: u64,
    at_box: usize,
    request: Request,
    remaining_ms: u64,
  ) -> u64 {
    let draw = self.random.random();
    let route = &ROUTES[request.route];
    let gateway = &mut self.boxes[at_box];
    let default_ms = gateway.forecast.retry_after_ms(draw);
    let Some(rate_per_s) = gateway.supply.room_per_s(now_ms) else {
      return default_ms;
    };
    if !self.variant.by_schedule {
      return default_ms;
    }
    let name = Name::from(route.name);
    let caller = ReturningCaller {
      priority: route.priority,
      refused_for_ms: gateway
        .deadlines
        .refused_for_ms(&name, remaining_ms, now_ms),
      remaining_ms,
      units: 1.0,
    };
    gateway.schedule.assign(caller, rate_per_s, 0, now_ms, draw)
  }
}

fn is_counted(request: &Request) -> bool {
  (COUNTED_MS.0..COUNTED_MS.1).contains(&request.first_ms)
}

fn exponential(random: &mut ChaCha8Rng, mean_ms: f64) -> u64 {
  let draw: f64 = random.random();
  (-(1.0 - draw).ln() * mean_ms).round() as u64
}
