//! What a gateway box holds: the configuration in force, the endpoints, connections and budgets.

use {
  super::{
    change_log::ChangeLog, counters::Counters, line_pause::LinePause, quarantine::Quarantine,
    unheard_boxes::UnheardBoxes, unknown_names::UnknownNames,
  },
  crate::{
    HttpClient,
    gateway::{
      connections::{Connection, ConnectionPool},
      decisions::{
        AttemptOutcome, BoxList, CachedPrompts, Choice, ColdPeriod, EndpointCounts,
        EndpointCriteria, EndpointRegistry, LocalUsage, PermitTable, RetryWindow, SlotForecast,
        SlotQueue, Unavailable, UsageTable, retry_after_backoff_ms,
      },
      edge::{ColdStart, EndpointEntry, PlatformCodec, RouteTable, StoreLease},
      settings::{GatewaySettings, RoutePolicy},
    },
    ids::Name,
  },
  http::HeaderMap,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
  },
  tokio::sync::{Mutex, Notify, watch},
};

/// Boxes that are assumed while their list is not yet known: the smallest deployment has six.
const LEAST_BOXES: usize = 6;
/// Part of an endpoint's connections that may rest: the others are for waves, and for boxes that come.
const RESTING_SHARE: f64 = 0.5;
/// Connections that rest for one endpoint; a box has few requests at one endpoint at once.
const MOST_RESTING: usize = 8;
/// Weight of the newest first event in their moving mean.
const NEWEST_START_WEIGHT: f64 = 0.1;

/// What a box does with new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
  /// It serves.
  Serving,
  /// It serves what comes, and asks callers to go elsewhere.
  Leaving,
  /// It closes connections that rest.
  Closing,
  /// It takes no new connections.
  Closed,
}

/// A lease that this box holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
  pub(crate) lease: StoreLease,
  /// When the call that renewed it was sent.
  pub(crate) renewed_ms: u64,
}

/// One gateway box.
pub(crate) struct Gateway {
  pub(crate) codec: Rc<dyn PlatformCodec>,
  pub(crate) settings: GatewaySettings,
  pub(crate) policy: RoutePolicy,
  pub(crate) book: RefCell<EndpointRegistry>,
  pub(crate) pool: ConnectionPool,
  pub(crate) counters: Counters,
  pub(crate) phase: watch::Sender<Phase>,
  pub(crate) in_flight: Cell<usize>,
  /// Callers' connections.
  pub(crate) connections: Cell<usize>,
  /// When the process ends, once it is leaving.
  pub(crate) ends_ms: Cell<Option<u64>>,
  pub(crate) boxes: RefCell<BoxList>,
  /// The latest changes of the store, for boxes that follow this one.
  pub(crate) change_log: ChangeLog,
  pub(crate) store_heard_ms: Cell<Option<u64>>,
  /// Requests that end endpoints.
  pub(crate) quarantine: Quarantine,
  /// What is expected of the engines' seats.
  pub(crate) seat_forecast: RefCell<SlotForecast>,
  /// The requests that look for a seat.
  pub(crate) seat_queue: RefCell<SlotQueue>,
  /// Told when a request leaves that queue.
  pub(crate) seat_queue_moved: Notify,
  /// Moving mean of the time from a seat to the first event.
  pub(crate) start_ms: Cell<Option<f64>>,
  /// What the engines of each service listed as kept.
  kept_prompts: RefCell<HashMap<Name, Rc<Mutex<CachedPrompts>>>>,
  /// This box's lease in the store, and when it was last renewed.
  pub(crate) lease: Cell<Option<HeldLease>>,
  /// Organisations' use, as far as this box counts it.
  pub(crate) use_book: RefCell<UsageTable>,
  /// Organisations' use, as far as others count it.
  pub(crate) use_ledger: RefCell<LocalUsage>,
  /// The box that counts and answered last.
  pub(crate) counting_box: Cell<Option<SocketAddr>>,
  /// Places at endpoints that this box gives out for all boxes.
  pub(crate) permit_book: RefCell<PermitTable>,
  /// Places that it gives out by itself while it does not reach the box that does.
  pub(crate) lone_permits: RefCell<PermitTable>,
  /// Boxes that did not answer a moment ago.
  pub(crate) unheard_boxes: RefCell<UnheardBoxes>,
  /// For calls to other boxes.
  pub(crate) box_calls: HttpClient,
  /// Tells the starts of this box apart.
  pub(crate) incarnation: u64,
  /// Whether the store was listed to its end: before that some endpoints are not known.
  pub(crate) has_listed: Cell<bool>,
  /// Whether a box is steward, as far as this one knows.
  pub(crate) has_steward: Cell<bool>,
  /// For lines on what endpoints say and nobody can read.
  pub(crate) unreadable_lines: LinePause,
  /// For lines on limits whose figures change.
  pub(crate) limit_lines: LinePause,
  /// Names in endpoints' answers that the platform's page doesn't have.
  pub(crate) unknown_names: RefCell<UnknownNames>,
  table: RefCell<Option<Rc<RouteTable>>>,
  windows: RefCell<HashMap<Name, RetryWindow>>,
  random: RefCell<ChaCha8Rng>,
  started: Instant,
}

impl Gateway {
  pub(crate) fn new(
    codec: Rc<dyn PlatformCodec>,
    settings: GatewaySettings,
    policy: RoutePolicy,
    seed: u64,
  ) -> Self {
    let book = new_book(&settings);
    Self {
      book: RefCell::new(book),
      box_calls: HttpClient::default(),
      boxes: RefCell::default(),
      change_log: ChangeLog::default(),
      connections: Cell::new(0),
      counting_box: Cell::new(None),
      counters: Counters::default(),
      codec,
      ends_ms: Cell::new(None),
      has_listed: Cell::new(false),
      has_steward: Cell::new(false),
      in_flight: Cell::new(0),
      incarnation: seed,
      kept_prompts: RefCell::default(),
      lease: Cell::new(None),
      limit_lines: LinePause::default(),
      lone_permits: RefCell::default(),
      phase: watch::Sender::new(Phase::Serving),
      permit_book: RefCell::default(),
      policy,
      pool: ConnectionPool::default(),
      quarantine: Quarantine::default(),
      random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
      seat_forecast: RefCell::default(),
      seat_queue: RefCell::default(),
      seat_queue_moved: Notify::new(),
      start_ms: Cell::new(None),
      settings,
      started: Instant::now(),
      store_heard_ms: Cell::new(None),
      table: RefCell::new(None),
      unheard_boxes: RefCell::default(),
      unknown_names: RefCell::default(),
      unreadable_lines: LinePause::default(),
      use_book: RefCell::default(),
      use_ledger: RefCell::default(),
      windows: RefCell::default(),
    }
  }

  /// Time on this box's clock.
  pub(crate) fn now_ms(&self) -> u64 {
    u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
  }

  /// A number from 0 to 1.
  pub(crate) fn draw(&self) -> f64 {
    self.random.borrow_mut().random()
  }

  /// The configuration in force.
  pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
    self.table.borrow().clone()
  }

  /// Puts a configuration in force, unless it is not newer than the one that is.
  pub(crate) fn put_in_force(&self, table: RouteTable) -> bool {
    let mut current = self.table.borrow_mut();
    if current
      .as_ref()
      .is_some_and(|current| current.version() >= table.version())
    {
      return false;
    }
    let limits = table
      .limited()
      .map(|(name, limit)| (name.clone(), self.settings.limits.enforced(limit)));
    self.use_book.borrow_mut().set_limits(limits, self.now_ms());
    *current = Some(Rc::new(table));
    true
  }

  /// Boxes among which what is shared is divided.
  pub(crate) fn box_count(&self) -> usize {
    self.boxes.borrow().len().max(LEAST_BOXES)
  }

  /// Whether this box counts organisations' use for others.
  pub(crate) fn is_counting(&self) -> bool {
    let identity = &self.settings.identity;
    let boxes = self.boxes.borrow();
    boxes.is_coordinator(&identity.name, &identity.hall)
  }

  /// Whether this box decides on limits by its own count.
  pub(crate) fn counts_use(&self) -> bool {
    self.settings.limits.strategy.uses_coordinators() && self.is_counting()
  }

  /// Whether the store was heard so recently that what this box knows can be trusted.
  pub(crate) fn is_current(&self) -> bool {
    let bounds = &self.settings.bounds;
    let most_ms = bounds.contact_ms.min(bounds.configuration_ms);
    self
      .store_heard_ms
      .get()
      .is_some_and(|heard_ms| self.now_ms() < heard_ms + most_ms)
  }

  /// Whether the balancer may send callers.
  pub(crate) fn is_ready(&self) -> bool {
    *self.phase.borrow() == Phase::Serving
      && self.table.borrow().is_some()
      && self.has_listed.get()
      && !self.book.borrow().is_empty()
  }

  /// The hall whose endpoints are preferred: the own one, or none.
  pub(crate) fn preferred_hall(&self) -> &str {
    if self.settings.mechanisms.own_hall_first {
      &self.settings.identity.hall
    } else {
      ""
    }
  }

  /// Chooses an endpoint.
  pub(crate) fn choose(&self, wanted: EndpointCriteria) -> Option<Choice> {
    self
      .book
      .borrow()
      .choose(wanted, self.now_ms(), || self.draw())
  }

  /// An endpoint is cold for so long from now on. It decides something where the configuration says what one of its service carries.
  pub(crate) fn note_cold(&self, entry: &EndpointEntry, cold_ms: u64) {
    let Some(cold_start) = self.cold_start(&entry.service) else {
      return;
    };
    let recorded_ms = self.now_ms();
    let span = ColdPeriod {
      recorded_ms,
      per_s: cold_start.per_s,
      until_ms: recorded_ms.saturating_add(cold_ms),
    };
    let mut book = self.book.borrow_mut();
    let limits = book.limits_mut();
    limits.record_cold(&entry.id, entry.started_ms, span);
  }

  /// The endpoints of a hall whose drain has ended may have turned cold shortly before, and their entries tell so late.
  pub(crate) fn note_hall_cold(&self, hall: &str) {
    let entries: Vec<EndpointEntry> = {
      let book = self.book.borrow();
      let of_hall = book.entries().filter(|entry| &*entry.hall == hall);
      of_hall.cloned().collect()
    };
    for entry in entries {
      if let Some(cold_start) = self.cold_start(&entry.service) {
        self.note_cold(&entry, cold_start.duration_ms);
      }
    }
  }

  /// What the endpoints of a service carry while they are cold.
  fn cold_start(&self, service: &str) -> Option<ColdStart> {
    let table = self.table.borrow();
    table.as_ref()?.service(service)?.cold_start
  }

  /// Whether an endpoint that was chosen before may be sent work now.
  pub(crate) fn check(&self, chosen: &EndpointEntry) -> Result<(), Unavailable> {
    self.book.borrow().check(chosen, self.now_ms())
  }

  /// When a caller may come back whose request found no endpoint of a service that takes work: when the first pause ends, or after
  /// `otherwise_ms` where it is not pauses that keep it waiting.
  pub(crate) fn retry_after_ms(&self, service: &str, otherwise_ms: u64) -> u64 {
    let available_in_ms = self.book.borrow().available_in_ms(service, self.now_ms());
    available_in_ms.map_or(otherwise_ms, |available_in_ms| {
      retry_after_backoff_ms(available_in_ms, self.draw())
    })
  }

  /// Books the end of an endpoint's part.
  pub(crate) fn ended(&self, id: &str, size: u64, units: u64, end: AttemptOutcome) {
    self
      .book
      .borrow_mut()
      .record_outcome(id, size, units, end, self.now_ms());
    if matches!(end, AttemptOutcome::Lost | AttemptOutcome::Unreachable) {
      self.pool.close(id);
    }
  }

  /// Lets a connection rest whose answer came whole; `headers` are that answer's.
  pub(crate) fn rest(&self, connection: Connection, headers: &HeaderMap) {
    let most = self.most_resting(&connection.endpoint);
    self.pool.put_idle(connection, headers, most, self.now_ms());
  }

  /// This box's share of the connections that an endpoint accepts, as far as they may rest.
  fn most_resting(&self, endpoint: &str) -> usize {
    let book = self.book.borrow();
    let table = self.table.borrow();
    let service = book
      .entry(endpoint)
      .and_then(|entry| table.as_ref()?.service(&entry.service));
    let Some(service) = service else { return 0 };
    let boxes = self.box_count();
    let share = f64::from(service.max_connections) * RESTING_SHARE / boxes as f64;
    (share as usize).clamp(1, MOST_RESTING)
  }

  /// An endpoint has owed an answer for too long; its resting connections may be as dead.
  pub(crate) fn overdue(&self, id: &str) {
    log::info!("E514 overdue: {id} is left alone");
    self.book.borrow_mut().mark_overdue(id, self.now_ms());
    self.pool.close(id);
  }

  /// An endpoint is at fault although it answers: it is left alone like a lost one.
  pub(crate) fn blame(&self, id: &str) {
    log::info!("E513 left alone: {id} has a seat and refuses requests, or its exports are gone");
    self.book.borrow_mut().mark_faulty(id, self.now_ms());
  }

  /// How many endpoints of a service take work.
  pub(crate) fn count_endpoints(&self, service: &str) -> EndpointCounts {
    self.book.borrow().count(Some(service), self.now_ms())
  }

  /// How many endpoints are known, leave, pause, name limits, and stand in drained halls, which halls these are, and how many
  /// unknown names endpoints' answers have, as text.
  pub(crate) fn endpoint_figures(&self) -> String {
    let EndpointCounts {
      drained,
      known,
      leaving,
      limited,
      backing_off,
    } = self.book.borrow().count(None, self.now_ms());
    let unknown = self.unknown_names.borrow().count();
    let mut text = format!(
      "rillford_endpoints {known}\nrillford_endpoints_leaving {leaving}\nrillford_endpoints_pausing {backing_off}\n\
       rillford_endpoints_limited {limited}\nrillford_endpoints_drained {drained}\n\
       rillford_unknown_answer_names {unknown}\nrillford_boxes {}\n",
      self.boxes.borrow().len()
    );
    for hall in self.book.borrow().drained_halls().names() {
      // Writing to a string does not fail.
      let _ = writeln!(text, "rillford_hall_drained{{hall=\"{hall}\"}} 1");
    }
    text
  }

  /// A first event came this long after its request had a seat.
  pub(crate) fn note_start(&self, took_ms: u64) {
    let before = self.start_ms.get().unwrap_or(took_ms as f64);
    self.start_ms.set(Some(
      before + NEWEST_START_WEIGHT * (took_ms as f64 - before),
    ));
  }

  /// What the engines of a service listed as kept; locked while they are asked.
  pub(crate) fn kept_prompts(&self, service: &Name) -> Rc<Mutex<CachedPrompts>> {
    self
      .kept_prompts
      .borrow_mut()
      .entry(service.clone())
      .or_default()
      .clone()
  }

  /// Counts a caller's request towards its service's repeats.
  pub(crate) fn note_request(&self, service: &Name) {
    let now_ms = self.now_ms();
    self
      .windows
      .borrow_mut()
      .entry(service.clone())
      .or_default()
      .record_request(now_ms);
  }

  /// Whether a repeat could be taken now.
  pub(crate) fn has_repeat_left(&self, service: &Name) -> bool {
    let boxes = self.box_count();
    let now_ms = self.now_ms();
    let allowance = self.settings.retry_allowance();
    let mut windows = self.windows.borrow_mut();
    windows
      .entry(service.clone())
      .or_default()
      .remaining(allowance, boxes, now_ms)
      >= 1.0
  }

  /// A repeat was taken from the budget, and no endpoint saw it.
  pub(crate) fn give_repeat_back(&self, service: &Name) {
    let now_ms = self.now_ms();
    if let Some(window) = self.windows.borrow_mut().get_mut(service) {
      window.refund(now_ms);
    }
  }

  /// Takes a repeat from the budget that all boxes share.
  pub(crate) fn take_repeat(&self, service: &Name) -> bool {
    let boxes = self.box_count();
    let taken = self
      .windows
      .borrow_mut()
      .entry(service.clone())
      .or_default()
      .take(self.settings.retry_allowance(), boxes, self.now_ms());
    if !taken {
      self.counters.repeats_denied.inc();
    }
    taken
  }
}

/// A book of endpoints that heeds what the settings say.
fn new_book(settings: &GatewaySettings) -> EndpointRegistry {
  let mechanisms = &settings.mechanisms;
  let book = if mechanisms.endpoint_notices {
    EndpointRegistry::default()
  } else {
    EndpointRegistry::ignoring_notices()
  };
  if mechanisms.endpoint_limits {
    book
  } else {
    book.ignoring_limits()
  }
}

/// Counts a request from its arrival until its answer has gone out.
pub(crate) struct InFlight(Rc<Gateway>);

impl InFlight {
  pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
    gateway.in_flight.set(gateway.in_flight.get() + 1);
    Self(gateway.clone())
  }
}

impl Drop for InFlight {
  fn drop(&mut self) {
    self.0.in_flight.set(self.0.in_flight.get() - 1);
  }
}
