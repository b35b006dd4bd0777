//! What this box knows of each endpoint, and the selection among them. Free of I/O.

use {
  super::{
    advertised_limits::LimitChange,
    choice::{AttemptOutcome, Choice, EndpointCriteria},
    displacement::{Displacement, Misdirected},
    drained_halls::DrainedHalls,
    endpoint_counts::EndpointCounts,
    endpoint_limits::EndpointLimits,
    endpoint_state::{EndpointState, PROBE_RANK, PeerAverages, ReportedLoad, ReportedSlowdown},
    hall_reachability::HallReachability,
    notice_tracker::{Availability, NoticeChange, NoticeTracker},
    processes::{
      ConnectionState, EndpointProcesses, ObservedProcess, ReportedStart, VersionEvidence,
    },
    reachability::EndpointGroup,
    service_version::ServiceVersion,
    service_versions::ServiceVersions,
    unavailable::Unavailable,
    version_records::{RecordChange, RecordMaker, VersionRecords},
  },
  crate::{
    decide::Role,
    gateway::edge::{EndpointEntry, EndpointNotice, LimitHeader, LoadHeader},
    ids::Name,
  },
  std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
  },
};

/// Width of the random factor that keeps boxes with equal knowledge from making the same choice.
const NOISE: f64 = 0.2;
/// How long a service counts as reporting slowdowns after the last report.
const REPORTS_SLOWDOWN_MS: u64 = 60_000;

/// The endpoints by id.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
  /// Ordered, so that equal draws make equal choices.
  endpoints: BTreeMap<Name, EndpointState>,
  halls: HashMap<Name, HallReachability>,
  /// The halls that operators drain.
  drained_halls: DrainedHalls,
  /// What they signalled; outlives entries that are removed and come back.
  notices: NoticeTracker,
  /// The limits that they advertise.
  limits: EndpointLimits,
  /// The software versions of the services.
  versions: ServiceVersions,
  /// Their records in the store.
  version_records: VersionRecords,
  /// For how long streams may be resumed that begin at recorded versions alone; `None` if they begin at any version.
  recorded_lifetime_ms: Option<u64>,
  /// The processes that are observed at them.
  processes: EndpointProcesses,
  /// Whether notices are recorded and not honoured.
  ignores_notices: bool,
  /// When an endpoint of each service reported a slowdown last.
  slowdown_reported_ms: HashMap<Name, u64>,
  /// Changes with each change of the listed prefill engines.
  prefill_revision: u64,
  /// Start of the uninterrupted contact with the store.
  store_connected_since_ms: Option<u64>,
  /// Whether engines that name no start may start again under their ids.
  unnamed_restarts: bool,
}

impl EndpointRegistry {
  /// An empty registry that does not honour endpoints' notices.
  pub fn ignoring_notices() -> Self {
    Self {
      ignores_notices: true,
      ..Self::default()
    }
  }

  /// The same registry, not enforcing the limits that endpoints advertise.
  pub fn ignoring_limits(self) -> Self {
    Self {
      limits: EndpointLimits::ignoring(),
      ..self
    }
  }

  /// The same registry, whose endpoints renew their entries each `heartbeat_ms`.
  pub fn with_heartbeat(self, heartbeat_ms: u64) -> Self {
    Self {
      processes: EndpointProcesses::new(heartbeat_ms),
      ..self
    }
  }

  /// The same registry, whose engines may start again under their ids without naming their starts, if `unnamed_restarts` is set.
  pub fn with_unnamed_restarts(self, unnamed_restarts: bool) -> Self {
    Self {
      unnamed_restarts,
      ..self
    }
  }

  /// Inserts or updates an entry.
  pub fn put(&mut self, entry: EndpointEntry) {
    self.versions.add(&entry.service, &entry.version);
    let former = self.endpoints.get(&entry.id).map(|former| &former.entry);
    if let Some(former) = former {
      self.processes.replace_entry(former, &entry);
    }
    if lists_prefill_engine(former) || lists_prefill_engine(Some(&entry)) {
      let is_same = former.is_some_and(|former| has_same_prefill_engine(former, &entry));
      self.prefill_revision += u64::from(!is_same);
    }
    match self.endpoints.get_mut(&entry.id) {
      Some(endpoint) => {
        let former = &endpoint.entry;
        self.versions.remove(&former.service, &former.version);
        if *former != entry {
          endpoint.end_displacement();
        }
        if lists_other_process(&endpoint.entry, &entry) {
          endpoint.reported_start = endpoint.reported_start.after_other_process();
        }
        endpoint.entry = entry;
        endpoint.lapses_at_ms = None;
      }
      None => {
        self
          .endpoints
          .insert(entry.id.clone(), EndpointState::new(entry));
      }
    }
  }

  /// Removes an endpoint whose entry was deleted.
  pub fn remove(&mut self, id: &str) {
    if let Some(EndpointState { entry, .. }) = self.endpoints.remove(id) {
      self.versions.remove(&entry.service, &entry.version);
      self.processes.remove(id);
      self.prefill_revision += u64::from(lists_prefill_engine(Some(&entry)));
    }
  }

  /// Changes with each change of the listed prefill engines.
  pub fn prefill_revision(&self) -> u64 {
    self.prefill_revision
  }

  /// The entry of an endpoint that accepts any amount of work: it is listed, does not leave or back off, and neither it nor a cold
  /// start limits its requests.
  pub fn unrestricted_entry(&self, id: &str, now_ms: u64) -> Option<&EndpointEntry> {
    let endpoint = self
      .endpoints
      .get(id)
      .filter(|endpoint| endpoint.lapses_at_ms.is_none())?;
    let entry = &endpoint.entry;
    let is_unrestricted =
      self.check_listed(endpoint, now_ms).is_ok() && self.limits.in_force(entry, now_ms).is_none();
    is_unrestricted.then_some(entry)
  }

  /// Whether this box backs off from an endpoint after a loss or a full queue.
  pub fn is_backing_off(&self, id: &str, now_ms: u64) -> bool {
    self
      .endpoints
      .get(id)
      .is_some_and(|endpoint| now_ms < endpoint.backoff_until_ms)
  }

  /// Keeps an endpoint until a time although its entry was missing after a store outage, unless the entry comes back.
  pub fn mark_lapsed(&mut self, id: &str, until_ms: u64) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      endpoint.lapses_at_ms.get_or_insert(until_ms);
    }
  }

  /// Removes the endpoints whose lapsed entries did not come back in time.
  pub fn remove_lapsed(&mut self, now_ms: u64) {
    let lapsed = self.endpoints.values().filter(|endpoint| {
      endpoint
        .lapses_at_ms
        .is_some_and(|until_ms| now_ms >= until_ms)
    });
    let lapsed: Vec<Name> = lapsed.map(|endpoint| endpoint.entry.id.clone()).collect();
    for id in lapsed {
      self.remove(&id);
    }
  }

  /// The software versions of the services.
  pub fn versions(&self) -> &ServiceVersions {
    &self.versions
  }

  /// The same, to record changes that are not listed.
  pub fn versions_mut(&mut self) -> &mut ServiceVersions {
    &mut self.versions
  }

  /// Forgets the versions that are neither listed nor recorded, and were not for a time.
  pub fn expire_versions(&mut self, now_ms: u64, keep_ms: u64) {
    for ServiceVersion { service, version } in self.version_records.recorded() {
      self.versions.report(service, version);
    }
    self.versions.expire(now_ms, keep_ms);
  }

  /// Streams begin at recorded versions alone, whose records cover the time for which streams may be resumed.
  pub fn require_records(&mut self, lifetime_ms: u64) {
    self.recorded_lifetime_ms = Some(lifetime_ms);
  }

  /// The records of versions in the store.
  pub fn version_records(&self) -> &VersionRecords {
    &self.version_records
  }

  /// Mutable access to [`version_records`](Self::version_records).
  pub fn version_records_mut(&mut self) -> &mut VersionRecords {
    &mut self.version_records
  }

  /// The changes of the records that a box makes now, for the services for which `is_recorded` holds.
  pub fn due_record_changes(
    &mut self,
    is_recorded: impl Fn(&str) -> bool,
    maker: RecordMaker<'_>,
  ) -> Vec<RecordChange> {
    self.version_records.due(is_recorded, &self.versions, maker)
  }

  /// The revision of the record under which a stream may begin at an endpoint that may be resumed for a time; `None` if there is none.
  pub fn covering_record(&self, entry: &EndpointEntry, resumable_ms: u64) -> Option<u64> {
    let version = ServiceVersion::of(entry);
    self.version_records.covers(&version, resumable_ms)
  }

  /// A listed endpoint's entry was written after a time, on the box's clock.
  pub fn record_entry_write(&mut self, id: &str, after_ms: u64) {
    if let Some(endpoint) = self.endpoints.get(id) {
      self.processes.record_write(&endpoint.entry, after_ms);
    }
  }

  /// The time until which the box's view of the store includes all changes.
  pub fn viewed_ms(&self) -> u64 {
    self.processes.viewed_ms()
  }

  /// The box's view of the store includes all changes until a time.
  pub fn set_viewed(&mut self, viewed_ms: u64) {
    self.processes.set_viewed(viewed_ms);
  }

  /// When the box's view of the store has to be updated for the version of a further process to be known.
  pub fn next_settle_ms(&self) -> Option<u64> {
    self.processes.next_settle_ms()
  }

  /// A connection to an endpoint was opened; returns the process that it leads to.
  pub fn record_connection(
    &mut self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
    now_ms: u64,
  ) -> Rc<ObservedProcess> {
    if self.is_listed_there(entry) {
      let process = self.processes.connect(entry, connection, now_ms);
      self.settle_version(&entry.id);
      return process;
    }
    let process = Rc::new(ObservedProcess::since(now_ms));
    process.add(connection);
    process
  }

  /// The same for a connection that alone shows whether its process runs.
  pub fn record_lone_connection(
    &mut self,
    entry: &EndpointEntry,
    connection: &Rc<ConnectionState>,
    now_ms: u64,
  ) -> Rc<ObservedProcess> {
    if self.is_listed_there(entry) {
      return self.processes.connect_alone(entry, connection, now_ms);
    }
    Rc::new(ObservedProcess::through_one_connection(now_ms, connection))
  }

  /// Whether an entry's endpoint is listed with the same address and service.
  fn is_listed_there(&self, entry: &EndpointEntry) -> bool {
    let listed = self.entry(&entry.id);
    listed.is_some_and(|listed| listed.address == entry.address && listed.service == entry.service)
  }

  /// On which evidence a process that was met at an endpoint has the version in an entry.
  pub fn version_evidence(
    &self,
    entry: &EndpointEntry,
    process: &ObservedProcess,
    now_ms: u64,
  ) -> VersionEvidence {
    if self.lacks_start(entry) {
      return VersionEvidence::None {
        observed_ms: now_ms.saturating_sub(process.since_ms()),
      };
    }
    let version = process.version();
    if self.is_one_process(entry) && version.is_none_or(|version| *version == entry.version) {
      process.set_version(&entry.version);
      return VersionEvidence::Id;
    }
    self.settle_version(&entry.id);
    if process.version() == Some(&entry.version) {
      return VersionEvidence::Observed;
    }
    VersionEvidence::None {
      observed_ms: now_ms.saturating_sub(process.since_ms()),
    }
  }

  /// Forgets the processes that are no longer observed.
  pub fn expire_processes(&mut self) {
    self.processes.expire();
  }

  /// Learns the versions of the processes that were observed for long enough.
  pub fn settle_versions(&self) {
    for id in self.processes.with_unknown_version() {
      self.settle_version(id);
    }
  }

  /// The same at one endpoint. An entry that was missing after an outage of the store tells nothing.
  fn settle_version(&self, id: &str) {
    let endpoint = self.endpoints.get(id);
    let Some(endpoint) = endpoint else { return };
    if self.is_one_process(&endpoint.entry) {
      self.processes.settle_all(&endpoint.entry);
    } else if endpoint.lapses_at_ms.is_none() {
      self.processes.settle(&endpoint.entry);
    }
  }

  /// What the reports of a listed engine say of its start, which an entry does not name; `None` where that does not matter.
  fn reported_start(&self, entry: &EndpointEntry) -> Option<ReportedStart> {
    if self.unnamed_restarts || entry.role.is_none() || entry.started_ms.is_some() {
      return None;
    }
    let endpoint = self.endpoints.get(&entry.id)?;
    let is_same = endpoint.entry.is_same_endpoint(entry);
    is_same.then_some(endpoint.reported_start)
  }

  /// Whether an engine's report has to be read, to learn whether it names a start.
  pub fn wants_report(&self, entry: &EndpointEntry, now_ms: u64) -> bool {
    let reported = self.reported_start(entry);
    reported.is_some_and(|reported| reported.is_wanted(now_ms))
  }

  /// Whether an engine has only one process under its id, so that its entry describes this process. One without a version, which another
  /// writer may have written, does not.
  fn is_one_process(&self, entry: &EndpointEntry) -> bool {
    entry.version.text().is_some() && self.reported_start(entry) == Some(ReportedStart::Unnamed)
  }

  /// Whether an entry lacks the start that its engine reports, so that its version may be that of another process.
  pub fn lacks_start(&self, entry: &EndpointEntry) -> bool {
    self.reported_start(entry) == Some(ReportedStart::Named)
  }

  /// An engine's report was read, with the start that it names.
  pub fn record_reported_start(&mut self, id: &str, started_ms: Option<u64>) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      endpoint.reported_start = endpoint.reported_start.after_report(started_ms);
    }
    self.settle_version(id);
  }

  /// An engine's report could not be read.
  pub fn record_unread_report(&mut self, id: &str, now_ms: u64) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      endpoint.reported_start = endpoint.reported_start.after_failure(now_ms);
    }
  }

  /// The ids of all endpoints.
  pub fn ids(&self) -> Vec<Name> {
    self.endpoints.keys().cloned().collect()
  }

  /// The entry of an endpoint.
  pub fn entry(&self, id: &str) -> Option<&EndpointEntry> {
    self.endpoints.get(id).map(|endpoint| &endpoint.entry)
  }

  /// This box's requests in flight at an endpoint, and their size.
  pub fn local_load(&self, id: &str) -> (u64, u64) {
    self.endpoints.get(id).map_or((0, 0), |endpoint| {
      (u64::from(endpoint.requests), endpoint.size)
    })
  }

  pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
    self.endpoints.values().map(|endpoint| &endpoint.entry)
  }

  /// All entries; those of endpoints that signalled that they leave or are displaced, and those in drained halls, are marked as
  /// leaving.
  pub fn current_entries(&self, now_ms: u64) -> Vec<EndpointEntry> {
    self
      .entries()
      .map(|entry| EndpointEntry {
        leaving: self.is_leaving(entry, now_ms)
          || self.drained_halls.is_drained(&entry.hall)
          || self.displacement(&entry.id).is_in_force(now_ms),
        ..entry.clone()
      })
      .collect()
  }

  /// Whether an endpoint leaves, as listed in the store or as signalled by itself.
  pub fn is_leaving(&self, entry: &EndpointEntry, now_ms: u64) -> bool {
    entry.leaving
      || matches!(
        self.availability(entry, now_ms),
        Availability::Leaving { .. }
      )
  }

  /// Whether the incarnation of an endpoint that was chosen before still accepts work; fails with the reason otherwise.
  pub fn check(&self, chosen: &EndpointEntry, now_ms: u64) -> Result<(), Unavailable> {
    let endpoint = self
      .endpoints
      .get(&chosen.id)
      .filter(|endpoint| endpoint.entry.is_same_endpoint(chosen))
      .ok_or(Unavailable::Unlisted)?;
    self.check_listed(endpoint, now_ms)
  }

  /// Like [`check`](Self::check), for an entry that is listed.
  fn check_listed(&self, endpoint: &EndpointState, now_ms: u64) -> Result<(), Unavailable> {
    let entry = &endpoint.entry;
    if endpoint.displacement.is_in_force(now_ms) {
      return Err(Unavailable::Displaced);
    }
    if entry.leaving {
      return Err(Unavailable::ListedAsLeaving);
    }
    if self.drained_halls.is_drained(&entry.hall) {
      return Err(Unavailable::HallDrained);
    }
    match self.availability(entry, now_ms) {
      Availability::Available | Availability::Probing { .. } => Ok(()),
      Availability::Leaving { signalled_ms } => Err(Unavailable::Leaving {
        signalled_ago_ms: now_ms.saturating_sub(signalled_ms),
      }),
      Availability::BackingOff {
        requested_ms,
        until_ms,
      } => Err(Unavailable::BackingOff {
        requested_ago_ms: now_ms.saturating_sub(requested_ms),
        remaining_ms: until_ms - now_ms,
      }),
    }
  }

  /// Like [`check_listed`](Self::check_listed); also fails while no permit is available within the endpoint's limit.
  fn check_permit(&self, endpoint: &EndpointState, now_ms: u64) -> Result<(), Unavailable> {
    self.check_listed(endpoint, now_ms)?;
    match self.limits.blocked_for_ms(&endpoint.entry, now_ms) {
      0 => Ok(()),
      remaining_ms => Err(Unavailable::NoPermit { remaining_ms }),
    }
  }

  /// Time until the first answering endpoint of a service accepts work again; `None` while one does, or when none is backing
  /// off or at its limit.
  pub fn available_in_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
    let answering = self.endpoints.values().filter(|endpoint| {
      let entry = &endpoint.entry;
      &*entry.service == service && entry.role != Some(Role::Prefill)
    });
    let mut first_ms = None;
    for endpoint in answering {
      match self.check_permit(endpoint, now_ms) {
        Ok(()) => return None,
        Err(
          Unavailable::BackingOff { remaining_ms, .. } | Unavailable::NoPermit { remaining_ms },
        ) => {
          first_ms =
            Some(first_ms.map_or(remaining_ms, |first_ms: u64| first_ms.min(remaining_ms)));
        }
        Err(_) => {}
      }
    }
    first_ms
  }

  pub fn len(&self) -> usize {
    self.endpoints.len()
  }

  pub fn is_empty(&self) -> bool {
    self.endpoints.is_empty()
  }

  /// Chooses the endpoint with the lowest rank and, among equals, the earliest expected completion.
  pub fn choose(
    &self,
    criteria: EndpointCriteria,
    now_ms: u64,
    mut draw: impl FnMut() -> f64,
  ) -> Option<Choice> {
    // Signals are rare, and checking each endpoint doubles the time of a choice among thousands.
    let honours_notices = self.honours_notices();
    let honours_signals =
      honours_notices || self.limits.are_enforced() || !self.drained_halls.is_empty();
    let accepts_work = |endpoint: &EndpointState| {
      !endpoint.entry.leaving
        && !endpoint.displacement.is_in_force(now_ms)
        && (!honours_signals || self.check_permit(endpoint, now_ms).is_ok())
    };
    let decodes = criteria.role == Some(Role::Decode);
    let may_go_on = |entry: &EndpointEntry| {
      let version = criteria.version;
      version.is_none_or(|version| entry.version == *version && self.is_version_known(entry))
    };
    let lifetime_ms = self.recorded_lifetime_ms.filter(|_| decodes);
    let covered =
      lifetime_ms.map(|lifetime_ms| self.version_records.covered(criteria.service, lifetime_ms));
    let is_recorded = |entry: &EndpointEntry| {
      let covered = covered.as_ref();
      covered.is_none_or(|covered| covered.contains(&&entry.version))
    };
    let may_decode = |entry: &EndpointEntry| {
      let needs_version = decodes && criteria.is_retryable;
      is_recorded(entry) && (!needs_version || !self.lacks_start(entry))
    };
    let candidates: Vec<&EndpointState> = self
      .endpoints
      .values()
      .filter(|endpoint| {
        &*endpoint.entry.service == criteria.service
          && accepts_work(endpoint)
          && may_decode(&endpoint.entry)
          && criteria.allowed_halls.contains(&endpoint.entry.hall)
          && (criteria.role.is_none() || endpoint.entry.role == criteria.role)
          && may_go_on(&endpoint.entry)
          && !criteria.tried.contains(&endpoint.entry.id)
      })
      .collect();
    let peers = PeerAverages::of(&candidates);
    candidates
      .into_iter()
      .map(|endpoint| {
        let is_hall_unreachable = self.is_hall_unreachable(&endpoint.entry.hall, now_ms);
        let rank = endpoint.rank(criteria, is_hall_unreachable, now_ms);
        let is_probe_in_flight = honours_notices
          && self
            .availability(&endpoint.entry, now_ms)
            .is_probe_in_flight();
        (
          if is_probe_in_flight {
            rank.max(PROBE_RANK)
          } else {
            rank
          },
          endpoint.cost(criteria, peers, now_ms) * (1.0 + NOISE * draw()),
          endpoint,
        )
      })
      .min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
      .map(|(_, _, endpoint)| Choice {
        queued_ahead: endpoint.queued_ahead(criteria.size, now_ms) as u64,
        entry: endpoint.entry.clone(),
        expected_ms: endpoint.expected_ms(criteria.size, now_ms),
        is_backing_off: now_ms < endpoint.backoff_until_ms,
      })
  }

  /// Whether a listed endpoint's process has, or can confirm, the version of the entry.
  pub fn is_version_known(&self, entry: &EndpointEntry) -> bool {
    if self.lacks_start(entry) {
      return false;
    }
    self.settle_version(&entry.id);
    entry.confirms_start() || self.is_one_process(entry) || self.processes.is_version_known(entry)
  }

  /// The endpoints of the wanted version that accept work, and may have restarted with another one since they were listed. Those that
  /// are observed come first.
  pub fn with_unknown_version(
    &self,
    criteria: EndpointCriteria,
    now_ms: u64,
  ) -> Vec<EndpointEntry> {
    let is_unknown = |entry: &&EndpointEntry| {
      &*entry.service == criteria.service
        && criteria.version == Some(&entry.version)
        && (criteria.role.is_none() || entry.role == criteria.role)
        && criteria.allowed_halls.contains(&entry.hall)
        && !criteria.tried.contains(&entry.id)
        && !self.is_version_known(entry)
        && !self.lacks_start(entry)
        && self.check(entry, now_ms).is_ok()
    };
    let mut unknown: Vec<EndpointEntry> = self.entries().filter(is_unknown).cloned().collect();
    unknown.sort_by_key(|entry| !self.processes.is_observed(entry));
    unknown
  }

  /// Whether the process of a listed endpoint is observed.
  pub fn is_observed(&self, entry: &EndpointEntry) -> bool {
    self.processes.is_observed(entry)
  }

  /// Whether there are notices, and they are honoured.
  fn honours_notices(&self) -> bool {
    !self.ignores_notices && !self.notices.is_empty()
  }

  /// Whether a hall seems to be unreachable from this box.
  pub fn is_hall_unreachable(&self, hall: &str, now_ms: u64) -> bool {
    self
      .halls
      .get(hall)
      .is_some_and(|hall| hall.is_unreachable(now_ms))
  }

  /// Records that work of a size was sent.
  pub fn record_send(&mut self, id: &str, size: u64) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      endpoint.requests += 1;
      endpoint.size += size;
    }
  }

  /// Records the outcome of work of a size; `units` scales the response time.
  pub fn record_outcome(
    &mut self,
    id: &str,
    size: u64,
    units: u64,
    outcome: AttemptOutcome,
    now_ms: u64,
  ) {
    let Some(endpoint) = self.endpoints.get_mut(id) else {
      return;
    };
    endpoint.requests = endpoint.requests.saturating_sub(1);
    endpoint.size = endpoint.size.saturating_sub(size);
    let hall = self.halls.entry(endpoint.entry.hall.clone()).or_default();
    hall.record(&endpoint.entry.id, outcome, now_ms);
    endpoint.record_outcome(units, outcome, now_ms);
  }

  /// Whether another endpoint has an endpoint's address.
  pub fn displacement(&self, id: &str) -> Displacement {
    let endpoint = self.endpoints.get(id);
    endpoint.map_or(Displacement::None, |endpoint| endpoint.displacement)
  }

  /// Records that a call to an endpoint was rejected as misdirected; ignored unless it is still listed at that address. Returns what
  /// has changed, if anything.
  ///
  /// ```
  /// use rillford::gateway::{Displacement, EndpointEntry, EndpointRegistry, Misdirected, SoftwareVersion};
  /// let entry = EndpointEntry {
  ///   address: "10.0.0.1:80".parse().unwrap(),
  ///   cold_ms: 0,
  ///   hall: "north".into(),
  ///   id: "p-1".into(),
  ///   leaving: false,
  ///   role: None,
  ///   service: "portal".into(),
  ///   slots: 8,
  ///   started_ms: None,
  ///   version: SoftwareVersion::new("v1"),
  /// };
  /// let mut registry = EndpointRegistry::default();
  /// registry.put(entry.clone());
  /// let change = registry.record_misdirected(&entry, Misdirected::Other, 0);
  /// assert_eq!(change, Some(Displacement::Confirmed { at_ms: 0 }));
  /// assert!(registry.check(&entry, 0).is_err());
  /// ```
  pub fn record_misdirected(
    &mut self,
    entry: &EndpointEntry,
    misdirected: Misdirected,
    now_ms: u64,
  ) -> Option<Displacement> {
    let endpoint = self.endpoints.get_mut(&entry.id)?;
    if !endpoint.entry.is_same_endpoint(entry) {
      return None;
    }
    let shown = match (entry.role, misdirected) {
      (None, _) | (Some(_), Misdirected::PlainService | Misdirected::Report) => {
        Displacement::Confirmed { at_ms: now_ms }
      }
      (Some(_), Misdirected::Other) => Displacement::Suspected,
    };
    let current = endpoint.displacement;
    if current.is_in_force(now_ms) || current == shown {
      return None;
    }
    if shown == Displacement::Suspected && current.was_just_checked(now_ms) {
      return None;
    }
    endpoint.displacement = shown;
    Some(shown)
  }

  /// The engines that may be displaced.
  pub fn suspected_displacements(&self) -> Vec<EndpointEntry> {
    let suspected = self
      .endpoints
      .values()
      .filter(|endpoint| endpoint.displacement == Displacement::Suspected);
    suspected.map(|endpoint| endpoint.entry.clone()).collect()
  }

  /// Records that a check has ended; ends the suspicion that an engine is displaced, unless that was confirmed.
  pub fn record_displacement_check(&mut self, id: &str, now_ms: u64) {
    if let Some(endpoint) = self.endpoints.get_mut(id)
      && endpoint.displacement == Displacement::Suspected
    {
      endpoint.displacement = Displacement::Unconfirmed { at_ms: now_ms };
    }
  }

  /// Records a notice from a response of an endpoint's incarnation; ignored if a newer one is listed.
  pub fn record_notice(
    &mut self,
    entry: &EndpointEntry,
    notice: &EndpointNotice,
    now_ms: u64,
  ) -> NoticeChange {
    if self.has_newer_incarnation(entry) {
      return NoticeChange::default();
    }
    self.notices.record(entry, notice, now_ms)
  }

  /// Records the limit in a response of an endpoint's incarnation; ignored if a newer one is listed.
  pub fn record_limit(
    &mut self,
    entry: &EndpointEntry,
    limit: LimitHeader,
    sent_ms: u64,
    now_ms: u64,
  ) -> LimitChange {
    if self.has_newer_incarnation(entry) {
      return LimitChange::Unchanged;
    }
    self.limits.record_response(entry, limit, sent_ms, now_ms)
  }

  /// The halls that operators drain.
  pub fn drained_halls(&self) -> &DrainedHalls {
    &self.drained_halls
  }

  /// Mutable access to [`drained_halls`](Self::drained_halls).
  pub fn drained_halls_mut(&mut self) -> &mut DrainedHalls {
    &mut self.drained_halls
  }

  /// The limits that endpoints advertise, and this box's permits there.
  pub fn limits(&self) -> &EndpointLimits {
    &self.limits
  }

  /// Mutable access to [`limits`](Self::limits).
  pub fn limits_mut(&mut self) -> &mut EndpointLimits {
    &mut self.limits
  }

  /// Whether a newer incarnation is listed under an endpoint's id.
  fn has_newer_incarnation(&self, entry: &EndpointEntry) -> bool {
    self
      .entry(&entry.id)
      .is_some_and(|now| now.started_ms != entry.started_ms)
  }

  /// Whether an incarnation of an endpoint accepts work, according to its own signals.
  pub fn availability(&self, entry: &EndpointEntry, now_ms: u64) -> Availability {
    if !self.honours_notices() {
      return Availability::Available;
    }
    self.notices.availability(entry, now_ms)
  }

  /// Records a send after a backoff; returns when the endpoint asked for the backoff if this is the first probe.
  pub fn record_probe(&mut self, id: &str, now_ms: u64) -> Option<u64> {
    self.notices.record_probe(id, now_ms)
  }

  /// Records that an endpoint accepted work.
  pub fn record_accepted(&mut self, id: &str, now_ms: u64) {
    self.notices.record_accepted(id, now_ms);
  }

  /// Sets the start of the uninterrupted contact with the store; `None` when it is lost.
  pub fn set_store_connected_since(&mut self, since_ms: Option<u64>) {
    self.store_connected_since_ms = since_ms;
    if let Some(since_ms) = since_ms {
      self.processes.set_connected_since(since_ms);
    }
  }

  /// Evicts expired notices and limits; returns the endpoints that are readmitted although they signalled that they leave.
  pub fn expire_notices(&mut self, now_ms: u64) -> Vec<Name> {
    self.limits.expire(now_ms);
    let endpoints = &self.endpoints;
    self.notices.expire(
      self.store_connected_since_ms,
      |id| endpoints.get(id).map(|endpoint| &endpoint.entry),
      now_ms,
    )
  }

  /// Ends the backoffs of a group: its endpoints failed while this box could reach none of them.
  pub fn forget_losses(&mut self, group: &EndpointGroup) {
    for endpoint in self.endpoints.values_mut() {
      if EndpointGroup::of(&endpoint.entry) == *group {
        endpoint.forget_losses();
      }
    }
  }

  /// The number of endpoints of a group.
  pub fn count_group(&self, group: &EndpointGroup) -> usize {
    let in_group =
      |entry: &&EndpointEntry| entry.service == group.service && entry.role == group.role;
    self.entries().filter(in_group).count()
  }

  /// Counts the endpoints of a service, or all, by availability.
  pub fn count(&self, service: Option<&str>, now_ms: u64) -> EndpointCounts {
    let mut counts = EndpointCounts::default();
    let selected = self
      .entries()
      .filter(|entry| service.is_none_or(|service| &*entry.service == service));
    for entry in selected {
      let is_backing_off = matches!(
        self.availability(entry, now_ms),
        Availability::BackingOff { .. }
      );
      let is_displaced = self.displacement(&entry.id).is_in_force(now_ms);
      counts.displaced += usize::from(is_displaced);
      counts.drained += usize::from(self.drained_halls.is_drained(&entry.hall));
      counts.known += 1;
      counts.leaving += usize::from(self.is_leaving(entry, now_ms));
      counts.limited += usize::from(self.limits.per_s(entry, now_ms).is_some());
      counts.backing_off += usize::from(is_backing_off);
    }
    counts
  }

  /// Records that a later, hedged attempt at another endpoint was answered first.
  pub fn mark_outrun(&mut self, id: &str) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      endpoint.record_failure_share(true);
    }
  }

  /// Records that a response is overdue: the endpoint, or the path to its hall, may have failed.
  pub fn mark_overdue(&mut self, id: &str, now_ms: u64) {
    let Some(endpoint) = self.endpoints.get_mut(id) else {
      return;
    };
    endpoint.record_failure_share(true);
    endpoint.record_loss(now_ms);
    let hall = self.halls.entry(endpoint.entry.hall.clone()).or_default();
    hall.unreachable.insert(endpoint.entry.id.clone());
    hall.last_failure_ms = now_ms;
  }

  /// Records that an endpoint whose response was overdue has continued it: the box no longer backs off from it.
  pub fn record_continued(&mut self, id: &str) {
    let Some(endpoint) = self.endpoints.get_mut(id) else {
      return;
    };
    endpoint.forget_losses();
    if let Some(hall) = self.halls.get_mut(&endpoint.entry.hall) {
      hall.unreachable.remove(id);
    }
  }

  /// Records that an endpoint is faulty although it answers.
  pub fn mark_faulty(&mut self, id: &str, now_ms: u64) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      endpoint.record_loss(now_ms);
    }
  }

  /// Records the slowdown that an endpoint's incarnation reported, in percent; ignored if a newer one is listed.
  pub fn record_slowdown(&mut self, entry: &EndpointEntry, percent: u32, now_ms: u64) {
    let Some(endpoint) = self.endpoints.get_mut(&entry.id) else {
      return;
    };
    if endpoint.entry.started_ms != entry.started_ms {
      return;
    }
    endpoint.reported_slowdown = Some(ReportedSlowdown::new(percent, now_ms));
    match self.slowdown_reported_ms.get_mut(&entry.service) {
      Some(reported_ms) => *reported_ms = now_ms,
      None => drop(
        self
          .slowdown_reported_ms
          .insert(entry.service.clone(), now_ms),
      ),
    }
  }

  /// Whether endpoints of a service reported the slowdown of their machines within the last minute.
  ///
  /// ```
  /// use rillford::gateway::EndpointRegistry;
  /// assert!(!EndpointRegistry::default().reports_slowdown("llm", 0));
  /// ```
  pub fn reports_slowdown(&self, service: &str, now_ms: u64) -> bool {
    self
      .slowdown_reported_ms
      .get(service)
      .is_some_and(|reported_ms| now_ms < reported_ms + REPORTS_SLOWDOWN_MS)
  }

  /// Records the load that an endpoint reported; this box's open request is still part of it.
  pub fn record_load(&mut self, id: &str, load: LoadHeader, now_ms: u64) {
    if let Some(endpoint) = self.endpoints.get_mut(id) {
      let other_requests = load
        .running
        .saturating_add(load.waiting)
        .saturating_sub(endpoint.requests);
      endpoint.reported_load = Some(ReportedLoad {
        at_ms: now_ms,
        other_requests,
      });
    }
  }
}

/// Whether an entry under an id is that of another process than the former one: a process keeps these.
fn lists_other_process(former: &EndpointEntry, entry: &EndpointEntry) -> bool {
  former.version != entry.version
    || former.address != entry.address
    || former.service != entry.service
}

fn lists_prefill_engine(entry: Option<&EndpointEntry>) -> bool {
  entry.is_some_and(|entry| entry.role == Some(Role::Prefill))
}

/// Whether two entries of an endpoint list the same incarnation of a prefill engine in the same place.
fn has_same_prefill_engine(one: &EndpointEntry, other: &EndpointEntry) -> bool {
  let key = |entry: &EndpointEntry| {
    (
      entry.role,
      entry.started_ms,
      entry.service.clone(),
      entry.hall.clone(),
    )
  };
  key(one) == key(other)
}
