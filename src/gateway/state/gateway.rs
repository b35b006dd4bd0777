//! The state of a gateway box: the configuration in force, the endpoints, connections and retry budgets.

use {
  super::{
    change_log::ChangeLog, counters::Counters, held_memory::HeldMemory, log_budget::LogBudget,
    log_throttle::LogThrottle, origin_state::OriginState, prefill_queues::PrefillQueues,
    quarantine::Quarantine, service_returns::ServiceReturns, shared_read::SharedRead,
    unknown_headers::UnknownHeaders, unresponsive_boxes::UnresponsiveBoxes,
    unsupporting_boxes::UnsupportingBoxes,
  },
  crate::{
    HttpClient,
    gateway::{
      connections::{Connection, ConnectionPool, SharedConnections, WatchingConnections},
      decisions::{
        AttemptOutcome, BoxEntry, BoxList, CachedPrompts, CheckedEnds, Choice, ColdPeriod,
        ConnectionState, CopyBudget, EndpointCounts, EndpointCriteria, EndpointGroup,
        EndpointRegistry, JoinedBoxes, LocalUsage, LongestDeadlines, LostBoxes, ObservedProcess,
        OrganisationLoads, PeakBoxCount, PeerAnswers, PermitTable, RETURN_MS, Reachability,
        RetryLenders, RetryNeed, RetryUsage, RetryWindow, ServiceVersion, SlotForecast, SlotQueue,
        StrayAnswers, StreamRecords, Unavailable, UnframedAnswers, UsageTable, VersionIdSteps,
        VersionRecord, last_known_order, retry_after_backoff_ms,
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
    collections::{BTreeSet, HashMap},
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
  },
  tokio::sync::{Mutex, Notify, watch},
};

/// Number of boxes assumed while fewer are known: that of the smallest deployment.
const MIN_BOXES: usize = 6;
/// Share of an endpoint's connections that may be idle; the rest is headroom for bursts and new boxes.
const IDLE_SHARE: f64 = 0.5;
/// Idle connections to one endpoint; a box has few concurrent requests at one endpoint.
const MAX_IDLE: usize = 8;
/// Weight of the newest sample in the moving mean of first-event latencies.
const FIRST_EVENT_WEIGHT: f64 = 0.1;

/// The lifecycle phase of a box.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
  /// Accepts requests.
  Serving,
  /// Accepts requests, and asks callers to use another box.
  Leaving,
  /// Closes idle connections.
  Closing,
  /// Accepts no new connections.
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
  pub(crate) endpoints: RefCell<EndpointRegistry>,
  pub(crate) pool: ConnectionPool,
  /// Connections that show whether endpoints outlive their answers.
  pub(crate) shared_connections: SharedConnections,
  /// Connections that show whether the processes go on at which this box holds streams of other boxes.
  pub(crate) watching_connections: WatchingConnections,
  pub(crate) counters: Counters,
  pub(crate) phase: watch::Sender<Phase>,
  pub(crate) in_flight: Cell<usize>,
  /// The bytes that all requests hold.
  pub(crate) held_memory: HeldMemory,
  /// Open connections of callers.
  pub(crate) connections: Cell<usize>,
  /// When the last responses are due, once the box is leaving.
  pub(crate) exit_ms: Cell<Option<u64>>,
  pub(crate) boxes: RefCell<BoxList>,
  /// The boxes that have registered lately.
  pub(crate) joined_boxes: RefCell<JoinedBoxes>,
  peak_box_count: RefCell<PeakBoxCount>,
  /// The latest changes of the store, for this box's followers.
  pub(crate) change_log: ChangeLog,
  /// Time of the last contact with the store, direct or through another box.
  pub(crate) store_contact_ms: Cell<Option<u64>>,
  pub(crate) quarantine: Quarantine,
  /// When engines are expected to have free batch slots.
  pub(crate) slot_forecast: RefCell<SlotForecast>,
  /// The requests that wait for a batch slot.
  pub(crate) slot_queue: RefCell<SlotQueue>,
  /// The organisations' loads at this box, where fair shares are enabled.
  pub(crate) organisation_loads: RefCell<OrganisationLoads>,
  /// Notified when a request leaves that queue.
  pub(crate) slot_queue_changed: Notify,
  /// Notified when this box's own entry is gone.
  pub(crate) own_entry_removed: Notify,
  /// Boxes that were removed from the list and may serve on.
  lost_boxes: RefCell<LostBoxes>,
  /// Notified when an engine may be displaced.
  pub(crate) displacement_suspected: Notify,
  /// The longest deadlines of callers, by route.
  pub(crate) longest_deadlines: RefCell<LongestDeadlines>,
  /// Room and return times, by service.
  service_returns: RefCell<HashMap<Name, ServiceReturns>>,
  /// Moving mean of the time from the reservation of a slot to the first event.
  pub(crate) mean_first_event_ms: Cell<Option<f64>>,
  /// The cached prompts that the engines of each service listed.
  cached_prompts: RefCell<HashMap<Name, Rc<Mutex<CachedPrompts>>>>,
  pub(crate) lease: Cell<Option<HeldLease>>,
  /// Organisations' usage over all boxes, on a coordinator.
  pub(crate) usage_table: RefCell<UsageTable>,
  /// Organisations' usage at this box, and what coordinators report of the rest.
  pub(crate) local_usage: RefCell<LocalUsage>,
  /// The coordinator of usage that answered last.
  pub(crate) last_coordinator: Cell<Option<SocketAddr>>,
  /// Permits that this box grants as the coordinator of an endpoint.
  pub(crate) permit_table: RefCell<PermitTable>,
  /// Permits that it grants itself while isolated from the coordinator.
  pub(crate) isolated_permits: RefCell<PermitTable>,
  /// Endpoints that lately sent bytes that belong to no call.
  stray_answers: RefCell<StrayAnswers>,
  pub(crate) unresponsive_boxes: RefCell<UnresponsiveBoxes>,
  /// Queue reservations at prefill engines.
  pub(crate) prefill_queues: PrefillQueues,
  /// Boxes that don't know the messages of fair shares.
  pub(crate) unsupporting_boxes: RefCell<UnsupportingBoxes>,
  pub(crate) box_client: HttpClient,
  /// Requests of other boxes' callers in flight here.
  pub(crate) forwarded_in_flight: Cell<usize>,
  /// What other boxes answered to forwarded requests.
  pub(crate) peer_answers: RefCell<PeerAnswers>,
  /// Identifies this run of the process.
  pub(crate) incarnation: u64,
  /// Whether a listing of the store has completed; before that, endpoints may be missing.
  pub(crate) has_listed: Cell<bool>,
  /// Whether some box is role leader, as far as this one knows.
  pub(crate) has_leader: Cell<bool>,
  /// Throttles log lines on unreadable notices of endpoints.
  pub(crate) unreadable_log_throttle: LogThrottle,
  /// Throttles log lines on changed limits.
  pub(crate) limit_log_throttle: LogThrottle,
  /// Response headers of endpoints that the platform does not define.
  pub(crate) unknown_headers: RefCell<UnknownHeaders>,
  /// Notified when a stream waits for the record of a version.
  pub(crate) version_awaited: Notify,
  /// Notified when a record of a version has changed.
  pub(crate) version_recorded: Notify,
  /// Reads of all records of versions.
  pub(crate) version_reads: SharedRead<Option<Rc<[ServiceVersion]>>>,
  /// Which versions began recent streams.
  pub(crate) stream_records: RefCell<StreamRecords>,
  /// How the ids of events rise.
  pub(crate) id_steps: RefCell<VersionIdSteps>,
  /// Which ends with a connection were early.
  pub(crate) checked_ends: RefCell<CheckedEnds>,
  /// Which answers may end with their connection.
  pub(crate) unframed_answers: RefCell<UnframedAnswers>,
  /// The origins of streams that are kept in the store.
  pub(crate) origins: OriginState,
  /// Limits the records that are sent to other boxes.
  pub(crate) copy_budget: RefCell<CopyBudget>,
  /// The endpoints that this box can't reach.
  pub(crate) reachability: RefCell<Reachability>,
  route_table: RefCell<Option<Rc<RouteTable>>>,
  retry_windows: RefCell<HashMap<Name, RetryWindow>>,
  /// The boxes that may lend retries to this one.
  pub(crate) retry_lenders: RefCell<RetryLenders>,
  random: RefCell<ChaCha8Rng>,
  started: Instant,
  own_calls: Cell<u64>,
  /// The log lines of those calls.
  pub(crate) own_call_log: LogBudget,
}

impl Gateway {
  pub(crate) fn new(
    codec: Rc<dyn PlatformCodec>,
    settings: GatewaySettings,
    policy: RoutePolicy,
    seed: u64,
  ) -> Self {
    let registry = endpoint_registry(&settings);
    Self {
      box_client: HttpClient::default(),
      boxes: RefCell::default(),
      cached_prompts: RefCell::default(),
      checked_ends: RefCell::default(),
      change_log: ChangeLog::default(),
      connections: Cell::new(0),
      copy_budget: RefCell::new(CopyBudget::new(0)),
      counters: Counters::default(),
      codec,
      endpoints: RefCell::new(registry),
      exit_ms: Cell::new(None),
      forwarded_in_flight: Cell::new(0),
      has_leader: Cell::new(false),
      held_memory: HeldMemory::new(settings.memory.bounded_mb()),
      has_listed: Cell::new(false),
      id_steps: RefCell::default(),
      in_flight: Cell::new(0),
      incarnation: seed,
      isolated_permits: RefCell::default(),
      joined_boxes: RefCell::default(),
      last_coordinator: Cell::new(None),
      lease: Cell::new(None),
      limit_log_throttle: LogThrottle::default(),
      local_usage: RefCell::default(),
      longest_deadlines: RefCell::default(),
      mean_first_event_ms: Cell::new(None),
      organisation_loads: RefCell::default(),
      origins: OriginState::default(),
      own_call_log: LogBudget::default(),
      own_calls: Cell::new(0),
      peak_box_count: RefCell::default(),
      peer_answers: RefCell::default(),
      permit_table: RefCell::default(),
      phase: watch::Sender::new(Phase::Serving),
      policy,
      pool: ConnectionPool::default(),
      prefill_queues: PrefillQueues::default(),
      quarantine: Quarantine::default(),
      random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
      reachability: RefCell::default(),
      retry_lenders: RefCell::default(),
      retry_windows: RefCell::default(),
      route_table: RefCell::new(None),
      service_returns: RefCell::default(),
      settings,
      shared_connections: SharedConnections::default(),
      slot_forecast: RefCell::default(),
      slot_queue: RefCell::default(),
      displacement_suspected: Notify::new(),
      slot_queue_changed: Notify::new(),
      own_entry_removed: Notify::new(),
      lost_boxes: RefCell::default(),
      started: Instant::now(),
      store_contact_ms: Cell::new(None),
      stream_records: RefCell::default(),
      watching_connections: WatchingConnections::default(),
      unframed_answers: RefCell::default(),
      unknown_headers: RefCell::default(),
      unreadable_log_throttle: LogThrottle::default(),
      stray_answers: RefCell::default(),
      unresponsive_boxes: RefCell::default(),
      unsupporting_boxes: RefCell::default(),
      usage_table: RefCell::default(),
      version_awaited: Notify::new(),
      version_reads: SharedRead::default(),
      version_recorded: Notify::new(),
    }
  }

  /// Milliseconds since the process started.
  pub(crate) fn now_ms(&self) -> u64 {
    u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
  }

  /// An id for a call of this box's own, which no other call has.
  pub(crate) fn next_call_id(&self) -> Name {
    let number = self.own_calls.get();
    self.own_calls.set(number + 1);
    format!("{:016x}-{number:x}", self.incarnation).into()
  }

  /// A number for the send of a stream, which no other box has.
  pub(crate) fn next_send(&self) -> u64 {
    self.random.borrow_mut().random()
  }

  /// A random number in `[0, 1)`.
  pub(crate) fn draw(&self) -> f64 {
    self.random.borrow_mut().random()
  }

  /// Whether the endpoints of a service are engines, by the configuration in force.
  pub(crate) fn has_engines(&self, service: &str) -> bool {
    let table = self.route_table.borrow();
    let service = table.as_ref().and_then(|table| table.service(service));
    service.is_some_and(|service| service.engine.is_some())
  }

  /// Whether streams of a service may have begun at several versions, its own or those of services that its routes lead to as well.
  pub(crate) fn is_divided(&self, service: &Name) -> bool {
    let table = self.route_table.borrow();
    let beside = table.as_ref().map(|table| table.services_beside(service));
    let endpoints = self.endpoints.borrow();
    let versions = endpoints.versions();
    let beside = beside
      .into_iter()
      .flatten()
      .filter(|beside| *beside != service);
    let beside = beside.flat_map(|beside| versions.of(beside));
    let known: BTreeSet<_> = beside.chain(versions.of(service)).collect();
    known.len() > 1
  }

  /// For how long a stream may be resumed after it has begun, under the configuration in force.
  pub(crate) fn stream_lifetime_ms(&self) -> u64 {
    let table = self.route_table.borrow();
    let longest_ms = table.as_ref().map_or(0, |table| table.longest_timeout_ms());
    longest_ms + RETURN_MS
  }

  /// The configuration in force.
  pub(crate) fn route_table(&self) -> Option<Rc<RouteTable>> {
    self.route_table.borrow().clone()
  }

  /// Applies a configuration if it is newer than the one in force; returns whether it did.
  pub(crate) fn apply_route_table(&self, table: RouteTable) -> bool {
    let mut current = self.route_table.borrow_mut();
    if current
      .as_ref()
      .is_some_and(|current| current.version() >= table.version())
    {
      return false;
    }
    let limits = table
      .limited()
      .map(|(name, limit)| (name.clone(), self.settings.limits.enforced(limit)));
    self
      .usage_table
      .borrow_mut()
      .set_limits(limits, self.now_ms());
    *current = Some(Rc::new(table));
    drop(current);
    let lifetime_ms = self.stream_lifetime_ms();
    self.endpoints.borrow_mut().require_records(lifetime_ms);
    true
  }

  /// Lists a box.
  pub(crate) fn put_box(&self, name: Name, entry: BoxEntry) {
    let mut boxes = self.boxes.borrow_mut();
    boxes.put(name.clone(), entry);
    let listed = boxes.len();
    drop(boxes);
    self.lost_boxes.borrow_mut().record_listed(&name, listed);
    self.record_box_count();
  }

  /// Removes a box from the list, and notifies the task that keeps this box's own entry if that is the one.
  pub(crate) fn remove_box(&self, name: &str) {
    let mut boxes = self.boxes.borrow_mut();
    let Some(entry) = boxes.remove(name) else {
      return;
    };
    let listed = boxes.len();
    drop(boxes);
    let now_ms = self.now_ms();
    let mut lost = self.lost_boxes.borrow_mut();
    lost.record_removed(name.into(), entry, listed, now_ms);
    if name == &*self.settings.identity.name {
      self.own_entry_removed.notify_one();
    }
  }

  /// The boxes that coordinate an endpoint's permits, the coordinator first.
  pub(crate) fn permit_coordinators(
    &self,
    endpoint: &str,
    hall: &str,
    max: usize,
  ) -> Vec<(Name, SocketAddr)> {
    let boxes = self.boxes.borrow();
    let lost = self.lost_boxes.borrow();
    last_known_order(&boxes, &lost, endpoint, hall, max, self.now_ms())
  }

  /// The number of boxes among which limits of all boxes are divided.
  pub(crate) fn box_count(&self) -> usize {
    self.record_box_count();
    self.peak_box_count.borrow().get().max(MIN_BOXES)
  }

  /// The number of boxes that are listed now.
  pub(crate) fn listed_box_count(&self) -> usize {
    self.boxes.borrow().len().max(MIN_BOXES)
  }

  fn record_box_count(&self) {
    let boxes = self.boxes.borrow().len();
    let now_ms = self.now_ms();
    self.peak_box_count.borrow_mut().record(boxes, now_ms);
  }

  /// Whether this box is a coordinator of organisations' usage.
  pub(crate) fn is_coordinator(&self) -> bool {
    self.record_box_count();
    let identity = &self.settings.identity;
    let peak = self.peak_box_count.borrow();
    let boxes = self.boxes.borrow();
    boxes.coordinates(&peak, &identity.name, &identity.hall, self.now_ms())
  }

  /// Whether the list of boxes is lost, so that it names no coordinators.
  pub(crate) fn is_box_list_lost(&self) -> bool {
    self.record_box_count();
    self.peak_box_count.borrow().is_list_lost(self.now_ms())
  }

  /// Whether this box decides on limits as a coordinator.
  pub(crate) fn coordinates_usage(&self) -> bool {
    self.settings.limits.strategy.uses_coordinators() && self.is_coordinator()
  }

  /// Whether small and urgent requests of an organisation go first at its limit.
  pub(crate) fn has_fair_shares(&self) -> bool {
    let table = self.route_table.borrow();
    let is_ranked = || table.as_ref().is_some_and(|table| table.ranks_streams());
    self.settings.limits.fair_shares.is_enabled(is_ranked)
  }

  /// Whether the last contact with the store is recent enough to trust this box's view of it.
  pub(crate) fn is_current(&self) -> bool {
    let bounds = &self.settings.bounds;
    let max_age_ms = bounds.contact_ms.min(bounds.configuration_ms);
    self
      .store_contact_ms
      .get()
      .is_some_and(|contact_ms| self.now_ms() < contact_ms + max_age_ms)
  }

  /// The readiness that the load balancer sees.
  pub(crate) fn is_ready(&self) -> bool {
    *self.phase.borrow() == Phase::Serving
      && self.route_table.borrow().is_some()
      && self.has_listed.get()
      && !self.endpoints.borrow().is_empty()
      && !self.is_cut_off_from_all()
  }

  /// The hall whose endpoints are preferred: the own one, or none (empty).
  pub(crate) fn preferred_hall(&self) -> &str {
    if self.settings.mechanisms.own_hall_first {
      &self.settings.identity.hall
    } else {
      ""
    }
  }

  /// Chooses an endpoint for a request; `None` when it may be sent to none.
  pub(crate) fn choose(&self, criteria: EndpointCriteria) -> Option<Choice> {
    let choice = self
      .endpoints
      .borrow()
      .choose(criteria, self.now_ms(), || self.draw());
    if choice.is_none() {
      self.reachability.borrow_mut().record_unsent(EndpointGroup {
        role: criteria.role,
        service: criteria.service.into(),
      });
    }
    choice
  }

  /// Records that a connection to an endpoint was opened; returns the process that it leads to.
  pub(crate) fn record_connection(
    &self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
  ) -> Rc<ObservedProcess> {
    let mut endpoints = self.endpoints.borrow_mut();
    endpoints.record_connection(entry, connection, self.now_ms())
  }

  /// The same for a connection that alone shows whether its process runs.
  pub(crate) fn record_lone_connection(
    &self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
  ) -> Rc<ObservedProcess> {
    let mut endpoints = self.endpoints.borrow_mut();
    endpoints.record_lone_connection(entry, connection, self.now_ms())
  }

  /// Applies the record of a version, which may have begun streams although no endpoint of it is listed.
  pub(crate) fn put_version_record(&self, key: Name, record: VersionRecord, revision: u64) {
    let now_ms = self.now_ms();
    let mut endpoints = self.endpoints.borrow_mut();
    let ServiceVersion { service, version } = &record.subject;
    endpoints.versions_mut().report(service, version);
    endpoints
      .version_records_mut()
      .put(key, record, revision, now_ms);
    drop(endpoints);
    self.version_recorded.notify_waiters();
  }

  /// Records that an endpoint is cold for `cold_ms` from now. Has no effect when the configuration sets no cold start for its service.
  pub(crate) fn record_cold(&self, entry: &EndpointEntry, cold_ms: u64) {
    let Some(cold_start) = self.cold_start(&entry.service) else {
      return;
    };
    let recorded_ms = self.now_ms();
    let period = ColdPeriod {
      recorded_ms,
      per_s: cold_start.per_s,
      until_ms: recorded_ms.saturating_add(cold_ms),
    };
    let mut endpoints = self.endpoints.borrow_mut();
    let limits = endpoints.limits_mut();
    limits.record_cold(&entry.id, entry.started_ms, period);
  }

  /// Records the endpoints of a hall as cold. When its drain ends they may have just turned cold, and their entries lag behind.
  pub(crate) fn record_hall_cold(&self, hall: &str) {
    let entries: Vec<EndpointEntry> = {
      let endpoints = self.endpoints.borrow();
      let of_hall = endpoints.entries().filter(|entry| &*entry.hall == hall);
      of_hall.cloned().collect()
    };
    for entry in entries {
      if let Some(cold_start) = self.cold_start(&entry.service) {
        self.record_cold(&entry, cold_start.duration_ms);
      }
    }
  }

  /// The configured cold start of a service's endpoints.
  fn cold_start(&self, service: &str) -> Option<ColdStart> {
    let table = self.route_table.borrow();
    table.as_ref()?.service(service)?.cold_start
  }

  /// Checks whether an endpoint that was chosen earlier may still be sent work.
  pub(crate) fn check(&self, chosen: &EndpointEntry) -> Result<(), Unavailable> {
    self.endpoints.borrow().check(chosen, self.now_ms())
  }

  /// The retry-after delay of a request that found no available endpoint: until the first backoff of the service's endpoints ends, or
  /// `default_ms` when no endpoint backs off.
  pub(crate) fn retry_after_ms(&self, service: &str, default_ms: u64) -> u64 {
    let available_in_ms = self
      .endpoints
      .borrow()
      .available_in_ms(service, self.now_ms());
    available_in_ms.map_or(default_ms, |available_in_ms| {
      retry_after_backoff_ms(available_in_ms, self.draw())
    })
  }

  /// Whether rejected callers are told to return in an order, and what can't be served is rejected at once.
  pub(crate) fn orders_returns(&self) -> bool {
    self.settings.limits.return_order.is_enabled(|| {
      let table = self.route_table.borrow();
      table.as_ref().is_some_and(|table| table.ranks_streams())
    })
  }

  /// Uses the room and return times of a service.
  pub(crate) fn service_returns<T>(
    &self,
    service: &Name,
    use_returns: impl FnOnce(&mut ServiceReturns) -> T,
  ) -> T {
    let mut services = self.service_returns.borrow_mut();
    use_returns(services.entry(service.clone()).or_default())
  }

  /// Records that a request got a slot, or a plain endpoint's answer.
  pub(crate) fn record_slot(&self, service: &Name) {
    let now_ms = self.now_ms();
    self.service_returns(service, |returns| returns.supply.record_slot(now_ms));
  }

  /// Records that a new caller's request asks for a slot, or for a plain endpoint.
  pub(crate) fn record_new_caller(&self, service: &Name) {
    let now_ms = self.now_ms();
    self.service_returns(service, |returns| returns.supply.record_arrival(now_ms));
  }

  /// Records that an endpoint reported itself full.
  pub(crate) fn record_full(&self, service: &Name) {
    let now_ms = self.now_ms();
    self.service_returns(service, |returns| returns.supply.record_full(now_ms));
  }

  /// Records that no request waits for a slot.
  pub(crate) fn record_no_slot_wait(&self, service: &Name) {
    let now_ms = self.now_ms();
    self.service_returns(service, |returns| returns.supply.record_idle(now_ms));
  }

  /// The rate of room and the return times handed out by service, as text.
  pub(crate) fn return_metrics(&self) -> String {
    let now_ms = self.now_ms();
    let mut text = String::new();
    for (service, returns) in self.service_returns.borrow().iter() {
      let room_per_s = returns.supply.room_per_s(now_ms).unwrap_or(0.0);
      let units = returns.schedule.handed_out(now_ms, u64::MAX);
      // Writing to a `String` cannot fail.
      let _ = writeln!(
        text,
        "rillford_room_per_s{{service=\"{service}\"}} {room_per_s:.3}\n\
         rillford_returns_expected{{service=\"{service}\"}} {units:.1}"
      );
    }
    text
  }

  /// Records the outcome of a stage at an endpoint.
  pub(crate) fn finish_stage(&self, id: &str, size: u64, units: u64, outcome: AttemptOutcome) {
    self
      .endpoints
      .borrow_mut()
      .record_outcome(id, size, units, outcome, self.now_ms());
    if matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::Unreachable) {
      self.pool.close(id);
    }
  }

  /// Returns a connection to the pool after a complete response, which had these `headers`.
  pub(crate) fn keep_alive(&self, connection: Connection, headers: &HeaderMap) {
    let max_idle = self.max_idle(&connection.endpoint);
    self
      .pool
      .put_idle(connection, headers, max_idle, self.now_ms());
  }

  /// An endpoint has sent bytes that belong to no call.
  pub(crate) fn record_stray_answer(&self, entry: &EndpointEntry) {
    let EndpointEntry { id, service, .. } = entry;
    let mut answers = self.stray_answers.borrow_mut();
    if answers.record(service, id, self.now_ms()) {
      log::info!("E591 new connections for requests that may run once: {id} of {service}");
    }
  }

  /// Whether an answer that belongs to no call may come on a connection to an endpoint that has carried a call.
  pub(crate) fn expects_stray_answer(&self, entry: &EndpointEntry) -> bool {
    let answers = self.stray_answers.borrow();
    answers.may_follow(&entry.service, &entry.id, self.now_ms())
  }

  /// Returns a connection that was not used to the pool.
  pub(crate) fn keep_unused(&self, connection: Connection) {
    let max_idle = self.max_idle(&connection.endpoint);
    self.pool.put_unused(connection, max_idle, self.now_ms());
  }

  /// This box's share of the idle connections to an endpoint.
  fn max_idle(&self, endpoint: &str) -> usize {
    let endpoints = self.endpoints.borrow();
    let table = self.route_table.borrow();
    let service = endpoints
      .entry(endpoint)
      .and_then(|entry| table.as_ref()?.service(&entry.service));
    let Some(service) = service else { return 0 };
    let boxes = self.box_count();
    let share = f64::from(service.max_connections) * IDLE_SHARE / boxes as f64;
    (share as usize).clamp(1, MAX_IDLE)
  }

  /// Backs off from an endpoint whose response is overdue, and closes its idle connections, which may be dead too.
  pub(crate) fn mark_overdue(&self, id: &str) {
    log::info!("E514 response overdue: backing off from {id}");
    self.endpoints.borrow_mut().mark_overdue(id, self.now_ms());
    let entry = self.endpoints.borrow().entry(id).cloned();
    if let Some(entry) = entry {
      self.record_unreached(&entry);
    }
    self.pool.close(id);
  }

  /// Ends the backoff from an endpoint whose response was overdue, and has continued.
  pub(crate) fn record_continued(&self, entry: &EndpointEntry) {
    self.endpoints.borrow_mut().record_continued(&entry.id);
    self.record_reached(entry);
  }

  /// Backs off from an endpoint that answers but is faulty.
  pub(crate) fn mark_faulty(&self, id: &str) {
    log::info!(
      "E513 backing off from {id}: it granted a slot and rejects requests, or its exports are gone"
    );
    self.endpoints.borrow_mut().mark_faulty(id, self.now_ms());
  }

  /// The number of a service's endpoints by availability.
  pub(crate) fn count_endpoints(&self, service: &str) -> EndpointCounts {
    self.endpoints.borrow().count(Some(service), self.now_ms())
  }

  /// The numbers of a service's endpoints by state, and when this box last reached one that answers requests, for logs.
  pub(crate) fn endpoint_summary(&self, service: &Name) -> String {
    let counts = self.count_endpoints(service);
    match self.contact_age_ms(service) {
      Some(age_ms) => format!("{counts}, last contact {age_ms} ms ago"),
      None => format!("{counts}, no contact yet"),
    }
  }

  /// The numbers of endpoints by state, of unknown response headers and of boxes, and the drained halls, as text.
  pub(crate) fn endpoint_metrics(&self) -> String {
    let EndpointCounts {
      displaced,
      drained,
      known,
      leaving,
      limited,
      backing_off,
    } = self.endpoints.borrow().count(None, self.now_ms());
    let unknown_headers = self.unknown_headers.borrow().count();
    let mut text = format!(
      "rillford_endpoints {known}\nrillford_endpoints_leaving {leaving}\nrillford_endpoints_pausing {backing_off}\n\
       rillford_endpoints_limited {limited}\nrillford_endpoints_drained {drained}\nrillford_endpoints_displaced {displaced}\n\
       rillford_unknown_answer_names {unknown_headers}\nrillford_boxes {}\nrillford_boxes_sharing_limits {}\n",
      self.boxes.borrow().len(),
      self.box_count()
    );
    for hall in self.endpoints.borrow().drained_halls().names() {
      // Writing to a `String` cannot fail.
      let _ = writeln!(text, "rillford_hall_drained{{hall=\"{hall}\"}} 1");
    }
    text
  }

  /// Records the time from the reservation of a slot to the first event.
  pub(crate) fn record_first_event(&self, took_ms: u64) {
    let mean_ms = self.mean_first_event_ms.get().unwrap_or(took_ms as f64);
    self.mean_first_event_ms.set(Some(
      mean_ms + FIRST_EVENT_WEIGHT * (took_ms as f64 - mean_ms),
    ));
  }

  /// The cached prompts of a service's engines; locked while they are listed.
  pub(crate) fn cached_prompts(&self, service: &Name) -> Rc<Mutex<CachedPrompts>> {
    self
      .cached_prompts
      .borrow_mut()
      .entry(service.clone())
      .or_default()
      .clone()
  }

  /// Adds a request to its service's retry budget.
  pub(crate) fn record_request(&self, service: &Name) {
    let now_ms = self.now_ms();
    self
      .retry_windows
      .borrow_mut()
      .entry(service.clone())
      .or_default()
      .record_request(now_ms);
  }

  /// Withdraws a request from its service's retry budget: another box serves it.
  pub(crate) fn withdraw_request(&self, service: &Name) {
    let now_ms = self.now_ms();
    if let Some(window) = self.retry_windows.borrow_mut().get_mut(service) {
      window.withdraw_request(now_ms);
    }
  }

  /// This box's use of its share of a service's retry budget.
  fn retry_usage(&self, service: &Name) -> RetryUsage {
    let boxes = self.box_count();
    let now_ms = self.now_ms();
    let allowance = self.settings.retry_allowance();
    let mut windows = self.retry_windows.borrow_mut();
    let window = windows.entry(service.clone()).or_default();
    window.usage(allowance, boxes, now_ms)
  }

  /// Whether this box's share of a service's retry budget allows one more retry.
  pub(crate) fn has_retry_for(&self, service: &Name, need: RetryNeed) -> bool {
    self.retry_usage(service).has_retry_for(need)
  }

  /// Returns a retry that was taken at a time, and reached no endpoint, to the budget.
  pub(crate) fn return_retry(&self, service: &Name, taken_ms: u64) {
    if let Some(window) = self.retry_windows.borrow_mut().get_mut(service) {
      window.refund(taken_ms);
    }
  }

  /// Takes a retry of a request from this box's share of the retry budget; returns whether one was left.
  pub(crate) fn take_retry(&self, request_id: &str, service: &Name, need: RetryNeed) -> bool {
    let usage = self.retry_usage(service);
    if !usage.has_retry_for(need) {
      return false;
    }
    let now_ms = self.now_ms();
    let mut windows = self.retry_windows.borrow_mut();
    let window = windows.entry(service.clone()).or_default();
    window.record_retry(now_ms);
    let summary = self.usage_summary(usage);
    log::info!("E546 retry charged: {request_id} {service}: {summary}");
    true
  }

  /// Records that a request gets no retry, for a reason beside this box's own share.
  pub(crate) fn record_retry_denied(&self, request_id: &str, service: &Name, reason: &str) {
    self.counters.retries_denied.inc();
    let summary = self.usage_summary(self.retry_usage(service));
    log::info!("E547 retry denied: {request_id} {service}: {summary}, {reason}");
  }

  /// Takes a retry that another box sends; returns when it was taken, or `None` if this box can't spare one.
  pub(crate) fn lend_retry(&self, service: &Name, need: RetryNeed) -> Option<u64> {
    let table = self.route_table()?;
    table.service(service)?;
    let usage = self.retry_usage(service);
    let (boxes, lent_ms) = (self.box_count(), self.now_ms());
    let allowance = self.settings.retry_allowance();
    let mut windows = self.retry_windows.borrow_mut();
    let window = windows.entry(service.clone()).or_default();
    if !window.lend(allowance, boxes, need, lent_ms) {
      return None;
    }
    self.counters.retries_lent.inc();
    let summary = self.usage_summary(usage);
    log::info!("E612 retry lent: {service}: {summary}");
    Some(lent_ms)
  }

  /// The use of this box's share of a retry budget, for logs.
  fn usage_summary(&self, usage: RetryUsage) -> String {
    let RetryUsage {
      allowed,
      requests,
      retries,
      ..
    } = usage;
    format!(
      "{retries} of {allowed:.1} used before, {requests} requests, {} boxes",
      self.box_count()
    )
  }
}

/// The endpoint registry, which honours notices and limits as the settings say.
fn endpoint_registry(settings: &GatewaySettings) -> EndpointRegistry {
  let mechanisms = &settings.mechanisms;
  let registry = if mechanisms.endpoint_notices {
    EndpointRegistry::default()
  } else {
    EndpointRegistry::ignoring_notices()
  };
  let registry = registry
    .with_heartbeat(settings.endpoints.heartbeat_ms)
    .with_unnamed_restarts(settings.endpoints.unnamed_restarts);
  if mechanisms.endpoint_limits {
    registry
  } else {
    registry.ignoring_limits()
  }
}

/// Counts a request as in flight until it is dropped.
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
