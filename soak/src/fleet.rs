//! The deployment of a run: the store, the endpoints, the boxes, and the load balancer's view of the boxes.

use {
  super::{
    box_process::{BoxBounds, BoxPlan, BoxProcess, box_host, engine_host},
    cold_check::COLD_MS,
    configuration::{self, HOST, version_path},
    endpoint::{Endpoint, Identity},
    endpoint_kind::EndpointKind,
    engine_event::{EngineEventReceiver, EngineEventSender},
    error::{Error, Result},
    exports::Exports,
    fault::CallerHabit,
    hall::Hall,
    options::Options,
    place::Place,
    probe_request::{PROBE_TIMEOUT, send_probe},
    profile::Profile,
    recorder::Recorder,
    records::{HallDrain, Probe},
    response_draws::ResponseDraws,
    running_endpoint::RunningEndpoint,
    versioning::{Versioning, other_version},
    work::RequestContent,
  },
  futures_util::future::join_all,
  http::{Method, Request, StatusCode},
  http_body_util::Full,
  rillford::HttpClient,
  serde_json::json,
  stand_ins::{Link, PlatformStore},
  std::{
    net::Ipv4Addr,
    sync::{
      Mutex, PoisonError,
      atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
  },
  tokio::{net::TcpListener, sync::mpsc::unbounded_channel, time::sleep},
};

/// Polls after which bytes that a box holds are reported, and the interval between them.
const HELD_POLLS: usize = 10;
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An incarnation that has terminated.
pub(crate) struct StoppedEndpoint {
  pub(crate) incarnation: String,
  pub(crate) kind: EndpointKind,
  /// Version of its software.
  version: &'static str,
}

/// A running deployment.
pub(crate) struct Fleet {
  pub(crate) recorder: Recorder,
  pub(crate) store: PlatformStore,
  pub(crate) boxes: Vec<BoxProcess>,
  pub(crate) places: Vec<Place>,
  pub(crate) profile: Profile,
  ready: Mutex<Vec<usize>>,
  /// What callers do otherwise at present.
  habit: Mutex<Option<CallerHabit>>,
  /// The hall whose callers go to another one at present.
  shifted: Mutex<Option<Hall>>,
  pub(crate) exports: Exports,
  incarnations: AtomicU64,
  /// Number of the next endpoint start, which serves as its start time.
  starts: AtomicU64,
  versions: AtomicU64,
  /// Routes of the configuration that nobody uses.
  unused_routes: AtomicUsize,
  versioning: Versioning,
  releases: AtomicU64,
  /// Releases in progress.
  releasing: AtomicU64,
  events: EngineEventSender,
  response_draws: ResponseDraws,
}

impl Fleet {
  /// Starts the store, the endpoints and the boxes.
  pub(crate) async fn start(
    options: &Options,
    bounds: BoxBounds,
    has_box_links: bool,
  ) -> Result<(Self, EngineEventReceiver)> {
    let recorder = Recorder::default();
    let store = PlatformStore::start().await.map_err(Error::Listen)?;
    let (events, event_receiver) = unbounded_channel();
    let mut fleet = Self {
      boxes: Vec::new(),
      exports: Exports::default(),
      response_draws: ResponseDraws {
        early_ends: options.early_ends,
        framings: options.framings,
        seed: options.seed,
      },
      starts: AtomicU64::new(1),
      incarnations: AtomicU64::new(0),
      recorder,
      places: Vec::new(),
      profile: options.profile,
      events,
      ready: Mutex::default(),
      habit: Mutex::default(),
      shifted: Mutex::default(),
      store,
      versions: AtomicU64::new(0),
      unused_routes: AtomicUsize::new(0),
      versioning: Versioning::of(options.faults),
      releases: AtomicU64::new(0),
      releasing: AtomicU64::new(0),
    };
    let profile = options.profile;
    {
      let mut records = fleet.recorder.records();
      records.has_warm_starts = !profile.has_cold_starts;
      records.halls = Some(profile.halls);
      records.stream_attempts = Some(profile.stream_attempts);
    }
    let boxes = profile.box_count();
    let hosts: Vec<Ipv4Addr> = (0..boxes).map(box_host).collect();
    for place in 0..profile.place_count() {
      let kind = profile.kind_of_place(place);
      fleet.add_place(kind, &hosts).await?;
    }
    for _ in 0..options.faults.spare_places(options.size()) {
      fleet.add_empty_place(&hosts).await?;
    }
    fleet.configure();
    let plan = BoxPlan {
      bounds,
      has_box_links,
      directory: &options.directory,
      profile,
      program: &options.program,
      recorder: &fleet.recorder,
      store: &fleet.store,
    };
    let mut started = Vec::new();
    for index in 0..boxes {
      started.push(BoxProcess::start(&plan, index).await?);
    }
    fleet.boxes = started;
    Ok((fleet, event_receiver))
  }

  async fn add_place(&mut self, kind: EndpointKind, hosts: &[Ipv4Addr]) -> Result {
    let listener = self.add_empty_place(hosts).await?;
    self.serve(self.places.len() - 1, kind, listener);
    Ok(())
  }

  /// Adds a place without an endpoint. Returns a listener for one.
  async fn add_empty_place(&mut self, hosts: &[Ipv4Addr]) -> Result<TcpListener> {
    let listener = listen().await?;
    let target = listener.local_addr().map_err(Error::Listen)?;
    let place = Place::open(hosts, target).await.map_err(Error::Listen)?;
    self.places.push(place);
    Ok(listener)
  }

  /// Starts a new incarnation at a place and registers it in the store.
  fn serve(&self, place: usize, kind: EndpointKind, listener: TcpListener) {
    let identity = self.identity(self.next_incarnation(), place, kind);
    self.start_incarnation(identity, listener);
    self.register(place);
  }

  /// The id of the next incarnation.
  fn next_incarnation(&self) -> String {
    let number = self.incarnations.fetch_add(1, Ordering::Relaxed);
    format!("i-{number}")
  }

  /// The identity of the next start of an incarnation, whose id may have been used before.
  fn identity(&self, incarnation: String, place: usize, kind: EndpointKind) -> Identity {
    let start_number = self.starts.fetch_add(1, Ordering::Relaxed);
    let releases = self.releases.load(Ordering::Relaxed);
    let is_releasing = self.releasing.load(Ordering::Relaxed) > 0;
    Identity {
      start_number,
      version: self
        .versioning
        .version(start_number, releases, is_releasing),
      incarnation,
      kind,
      place,
      address: self.places[place].address,
      profile: self.profile,
    }
  }

  /// Starts an incarnation, which is not registered yet.
  fn start_incarnation(&self, identity: Identity, listener: TcpListener) {
    let place = identity.place;
    self.recorder.record_start(&identity.incarnation);
    let events = self.events.clone();
    let endpoint = Endpoint::new(
      identity,
      &self.recorder,
      &self.exports,
      events,
      self.response_draws,
    );
    *self.places[place].running() = Some(RunningEndpoint::start(endpoint, listener));
  }

  /// Starts a new incarnation of a kind at a place that is down.
  pub(crate) async fn start_at(&self, place: usize, kind: EndpointKind) -> Result {
    let listener = self.listen_at(place).await?;
    self.serve(place, kind, listener);
    Ok(())
  }

  /// Starts a new incarnation in the place of one that has terminated.
  pub(crate) async fn restart(&self, place: usize, stopped: &StoppedEndpoint) -> Result {
    match self.versioning {
      Versioning::Kept => self.start_with(place, stopped.kind, stopped.version).await,
      Versioning::Alternating | Versioning::Released => self.start_at(place, stopped.kind).await,
    }
  }

  /// Starts a new incarnation with a version.
  async fn start_with(&self, place: usize, kind: EndpointKind, version: &'static str) -> Result {
    let listener = self.listen_at(place).await?;
    let identity = Identity {
      version,
      ..self.identity(self.next_incarnation(), place, kind)
    };
    self.start_incarnation(identity, listener);
    self.register(place);
    Ok(())
  }

  /// Starts an engine with the other version beside the one at a place, in the same hall, if both places are there.
  pub(crate) async fn start_replacement(&self, place: usize) -> Result {
    let running = self.places[place].running().as_ref().map(|running| {
      let endpoint = &running.endpoint;
      (endpoint.kind(), other_version(endpoint.version))
    });
    match (running, self.spare_place(self.profile.hall_of_place(place))) {
      (Some((kind, version)), Some(spare)) => self.start_with(spare, kind, version).await,
      _ => Ok(()),
    }
  }

  /// An empty place of a hall that had no endpoint at the start.
  fn spare_place(&self, hall: Hall) -> Option<usize> {
    let mut spares = self.profile.place_count()..self.places.len();
    spares.find(|place| {
      self.profile.hall_of_place(*place) == hall && self.places[*place].running().is_none()
    })
  }

  /// Restarts an endpoint with the same id, if starts keep it.
  pub(crate) async fn restart_same_id(&self, place: usize, stopped: &StoppedEndpoint) -> Result {
    let listener = self.listen_at(place).await?;
    let identity = self.identity(self.id_after(stopped), place, stopped.kind);
    self.start_incarnation(identity, listener);
    self.replace_entry(place, stopped);
    Ok(())
  }

  /// Restarts an endpoint with the same id, if starts keep it, and the other version. The entry stays that of the former start.
  pub(crate) async fn restart_other_version(
    &self,
    place: usize,
    stopped: &StoppedEndpoint,
  ) -> Result {
    let listener = self.listen_at(place).await?;
    let identity = Identity {
      version: other_version(stopped.version),
      ..self.identity(self.id_after(stopped), place, stopped.kind)
    };
    self.start_incarnation(identity, listener);
    Ok(())
  }

  /// The id of the next start of an endpoint.
  fn id_after(&self, stopped: &StoppedEndpoint) -> String {
    match self.profile.starts.keep_ids() {
      true => stopped.incarnation.clone(),
      false => self.next_incarnation(),
    }
  }

  /// Writes the entry of the endpoint at a place, which takes the place of that of its former start.
  pub(crate) fn replace_entry(&self, place: usize, stopped: &StoppedEndpoint) {
    if !self.profile.starts.keep_ids() {
      self.remove_entry(stopped);
    }
    self.register(place);
  }

  async fn listen_at(&self, place: usize) -> Result<TcpListener> {
    let listener = listen().await?;
    let target = listener.local_addr().map_err(Error::Listen)?;
    self.places[place].set_target(target);
    Ok(listener)
  }

  /// Writes the store entry of the endpoint at a place, if it is up.
  pub(crate) fn register(&self, place: usize) {
    self.write_entry(place, "ready");
  }

  /// Engines that start from now on have the other version.
  pub(crate) fn begin_release(&self) {
    self.releases.fetch_add(1, Ordering::Relaxed);
    self.releasing.fetch_add(1, Ordering::Relaxed);
  }

  /// All engines have the version of the release.
  pub(crate) fn end_release(&self) {
    self.releasing.fetch_sub(1, Ordering::Relaxed);
  }

  /// Removes the entry of the endpoint at a place, which serves on. Returns its incarnation.
  pub(crate) fn unlist(&self, place: usize) -> Option<String> {
    let incarnation = self.incarnation(place)?;
    self.store.remove(&format!("servers/{incarnation}"));
    let now_ms = self.recorder.now_ms();
    let mut records = self.recorder.records();
    records.draining.insert(incarnation.clone(), now_ms);
    Some(incarnation)
  }

  /// Marks the endpoint at a place as draining in the store. Returns its incarnation.
  pub(crate) fn announce_leaving(&self, place: usize) -> Option<String> {
    let incarnation = self.write_entry(place, "draining")?;
    let now_ms = self.recorder.now_ms();
    self
      .recorder
      .records()
      .draining
      .insert(incarnation.clone(), now_ms);
    Some(incarnation)
  }

  /// The incarnation at a place, if one is up.
  pub(crate) fn incarnation(&self, place: usize) -> Option<String> {
    let running = self.places[place].running();
    Some(running.as_ref()?.endpoint.incarnation.clone())
  }

  fn write_entry(&self, place: usize, state: &str) -> Option<String> {
    let running = self.places[place].running();
    let endpoint = &running.as_ref()?.endpoint;
    let incarnation = endpoint.incarnation.clone();
    if self.recorder.records().draining.contains_key(&incarnation) {
      return None;
    }
    let kind = endpoint.kind();
    let profile = &self.profile;
    let mut entry = json!({
      "service": kind.service(), "address": self.places[place].address, "version": endpoint.version,
      "zone": profile.hall_of_place(place).name(),
      "slots": profile.slots, "state": state, "coldRemainingMs": self.cold_remaining_ms(&incarnation), "callSeq": 1,
    });
    if profile.starts.in_entries() {
      entry["born"] = json!(endpoint.start_number);
    }
    if let Some(stage) = kind.stage() {
      entry["stage"] = json!(stage);
    }
    let key = format!("servers/{incarnation}");
    self.store.put(&key, entry.to_string().as_bytes());
    Some(incarnation)
  }

  /// Remaining time that an endpoint is cold.
  fn cold_remaining_ms(&self, incarnation: &str) -> u64 {
    if !self.profile.has_cold_starts {
      return 0;
    }
    let now_ms = self.recorder.now_ms();
    let records = self.recorder.records();
    let mut starts = records.starts.iter().rev();
    let start = starts.find(|start| start.incarnation == incarnation);
    start.map_or(0, |start| (start.at_ms + COLD_MS).saturating_sub(now_ms))
  }

  /// Removes the entries of all endpoints, as if they had expired while the store was down.
  pub(crate) fn remove_entries(&self) {
    for key in self.store.keys() {
      if key.starts_with("servers/") {
        self.store.remove(&key);
      }
    }
  }

  /// Stops the endpoint at a place and closes its connections. Its entry remains.
  pub(crate) fn stop_endpoint(&self, place: usize) -> Option<StoppedEndpoint> {
    let running = self.places[place].running().take()?;
    Some(StoppedEndpoint {
      incarnation: running.endpoint.incarnation.clone(),
      kind: running.endpoint.kind(),
      version: running.endpoint.version,
    })
  }

  /// Starts the drain of a hall. Returns `false` if the hall is already drained.
  pub(crate) fn drain_hall(&self, hall: Hall) -> bool {
    let mut records = self.recorder.records();
    let drains = &mut records.hall_drains;
    if drains
      .iter()
      .any(|drain| drain.hall == hall && drain.until_ms.is_none())
    {
      return false;
    }
    self.store.put(&drain_key(hall), b"{}");
    drains.push(HallDrain {
      from_ms: self.recorder.now_ms(),
      hall,
      until_ms: None,
    });
    true
  }

  /// Ends the drain of a hall.
  pub(crate) fn end_hall_drain(&self, hall: Hall) {
    let now_ms = self.recorder.now_ms();
    let mut records = self.recorder.records();
    for drain in records
      .hall_drains
      .iter_mut()
      .filter(|drain| drain.hall == hall)
    {
      drain.until_ms.get_or_insert(now_ms);
    }
    self.store.remove(&drain_key(hall));
  }

  /// Records that a request crashed an engine.
  pub(crate) fn record_crash(&self) {
    let now_ms = self.recorder.now_ms();
    self.recorder.records().crashes.push(now_ms);
  }

  /// Removes the entry of an endpoint that has terminated.
  pub(crate) fn remove_entry(&self, stopped: &StoppedEndpoint) {
    self
      .store
      .remove(&format!("servers/{}", stopped.incarnation));
  }

  /// Calls `act` with the endpoint at a place, if it is up.
  pub(crate) fn with_endpoint(&self, place: usize, act: impl FnOnce(&Endpoint)) {
    if let Some(running_endpoint) = self.places[place].running().as_ref() {
      act(&running_endpoint.endpoint);
    }
  }

  /// The places of engines that are up, from the first given place on.
  pub(crate) fn engine_places(&self, first: usize) -> Vec<usize> {
    self.places_where(first, |kind| kind != EndpointKind::Plain)
  }

  /// The places of plain endpoints that are up, from the first given place on.
  pub(crate) fn plain_places(&self, first: usize) -> Vec<usize> {
    self.places_where(first, |kind| kind == EndpointKind::Plain)
  }

  fn places_where(&self, first: usize, has_kind: impl Fn(EndpointKind) -> bool) -> Vec<usize> {
    let is_up = |place: &usize| {
      let running = self.places[*place].running();
      running
        .as_ref()
        .is_some_and(|running| has_kind(running.endpoint.kind()))
    };
    let places = self.places.len();
    (first..first + places)
      .map(|place| place % places)
      .filter(is_up)
      .collect()
  }

  /// The number of decode engines of a software version that stream as usual.
  pub(crate) fn sound_engines(&self, version: &str) -> usize {
    let is_sound = |place: &&Place| {
      place.running().as_ref().is_some_and(|running| {
        let endpoint = &running.endpoint;
        endpoint.version == version && endpoint.is_sound_decode()
      })
    };
    self.places.iter().filter(is_sound).count()
  }

  /// What callers do otherwise at present.
  pub(crate) fn habit(&self) -> Option<CallerHabit> {
    *self.habit.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Makes callers behave otherwise, or as usual.
  pub(crate) fn set_habit(&self, habit: Option<CallerHabit>) {
    *self.habit.lock().unwrap_or_else(PoisonError::into_inner) = habit;
  }

  /// All links of a box: to callers, the store and all endpoints, and those of other boxes to it.
  pub(crate) fn links<'a>(&'a self, target: &'a BoxProcess) -> impl Iterator<Item = &'a Link> {
    let to_endpoints = self.places.iter().map(|place| &place.links[target.index]);
    let of_boxes = target.box_links.iter().map(|(_, link)| link);
    to_endpoints
      .chain(of_boxes)
      .chain([&target.caller_link, &target.store_link])
  }

  /// The links of a box to the store and to the endpoints of other halls.
  pub(crate) fn links_out_of_hall(&self, index: usize) -> Vec<&Link> {
    let hall = self.profile.hall_of_box(index);
    let mut links = vec![&self.boxes[index].store_link];
    for (number, place) in self.places.iter().enumerate() {
      if self.profile.hall_of_place(number) != hall {
        links.push(&place.links[index]);
      }
    }
    links
  }

  /// The links between two boxes, given the index of each, from the first to the second.
  pub(crate) fn links_between_boxes(
    &self,
    is_wanted: impl Fn(usize, usize) -> bool,
  ) -> impl Iterator<Item = &Link> {
    let to_boxes = self.boxes.iter().flat_map(|target| {
      let links = target.box_links.iter();
      links.map(move |(from, link)| (*from, target.index, link))
    });
    to_boxes
      .filter(move |(from, to, _)| is_wanted(*from, *to))
      .map(|(_, _, link)| link)
  }

  /// Newest version of the configuration.
  pub(crate) fn newest_version(&self) -> u64 {
    self.versions.load(Ordering::Relaxed)
  }

  /// Adds routes that nobody uses to later configurations.
  pub(crate) fn add_routes(&self, routes: usize) {
    self.unused_routes.fetch_add(routes, Ordering::Relaxed);
  }

  /// Makes callers of a hall go to the next one, or all stay.
  pub(crate) fn set_shifted(&self, hall: Option<Hall>) {
    *self.shifted.lock().unwrap_or_else(PoisonError::into_inner) = hall;
  }

  /// The hall to whose boxes callers of a hall go at present.
  pub(crate) fn hall_of_callers(&self, home: Hall) -> Hall {
    let shifted = *self.shifted.lock().unwrap_or_else(PoisonError::into_inner);
    if shifted == Some(home) {
      home.next(self.profile.halls)
    } else {
      home
    }
  }

  /// Writes a new version of the configuration.
  pub(crate) fn configure(&self) {
    let version = self.versions.fetch_add(1, Ordering::Relaxed) + 1;
    let unused_routes = self.unused_routes.load(Ordering::Relaxed);
    let document = configuration::document(version, unused_routes, &self.profile);
    self.store.put("op/config", document.to_string().as_bytes());
    let now_ms = self.recorder.now_ms();
    self.recorder.records().versions.insert(version, now_ms);
  }

  /// Probes, without a link, whether a box has applied the newest version.
  pub(crate) async fn probe(&self, index: usize) {
    let target = &self.boxes[index];
    let version = self.newest_version();
    let (process_number, sent_ms) = (target.process_number(), self.recorder.now_ms());
    let id = format!("probe-{index}-{sent_ms}");
    let path = format!("{}probe", version_path(version));
    let content = RequestContent {
      body: String::new(),
      method: Method::GET.to_string(),
      path: path.clone(),
      service: EndpointKind::Plain.service().into(),
    };
    self.recorder.record_sent(&id, content);
    let request = Request::get(format!("http://{}{path}", target.direct()))
      .header("host", HOST)
      .header("x-request-id", id)
      .header("x-deadline-ms", PROBE_TIMEOUT.as_millis().to_string());
    let status = send_probe(request).await;
    let in_force = match status {
      Some(StatusCode::NOT_FOUND) => Some(false),
      Some(status) if status.is_success() => Some(true),
      _ => None,
    };
    if process_number == target.process_number() {
      self.recorder.records().probes.push(Probe {
        box_index: index,
        in_force,
        process_number,
        sent_ms,
        version,
      });
    }
  }

  /// Polls the readiness of all boxes as the load balancer does. Returns the number that is not ready.
  pub(crate) async fn poll_readiness(&self) -> usize {
    let polls = self.boxes.iter().map(|target| async move {
      let status = send_probe(Request::get(format!("http://{}/ready", target.ready()))).await;
      (target.index, status == Some(StatusCode::OK))
    });
    let statuses = join_all(polls).await;
    let ready: Vec<usize> = statuses
      .iter()
      .filter(|(_, is_ready)| *is_ready)
      .map(|(index, _)| *index)
      .collect();
    let missing = self.boxes.len() - ready.len();
    *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
    missing
  }

  /// A box for a new connection: a ready one of a hall, any ready one, or any if none is ready.
  pub(crate) fn ready_box(&self, draw: f64, hall: Option<Hall>) -> usize {
    let mut ready = self
      .ready
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .clone();
    let is_there = |index: &usize| hall == Some(self.profile.hall_of_box(*index));
    if ready.iter().any(is_there) {
      ready.retain(is_there);
    }
    let pick = |count: usize| ((draw * count as f64) as usize).min(count.saturating_sub(1));
    ready
      .get(pick(ready.len()))
      .copied()
      .unwrap_or_else(|| pick(self.boxes.len()))
  }

  /// Another ready box than the given one; that box if no other is ready.
  pub(crate) fn other_ready_box(&self, draw: f64, than: usize) -> usize {
    let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
    let others: Vec<usize> = ready
      .iter()
      .copied()
      .filter(|index| *index != than)
      .collect();
    let number = (draw * others.len() as f64) as usize;
    others.get(number).copied().unwrap_or(than)
  }

  /// Lists the resources that engines hold for requests.
  pub(crate) fn unreleased_resources(&self) -> Vec<String> {
    let mut resources = self.exports.live();
    for place in 0..self.places.len() {
      self.with_endpoint(place, |endpoint| {
        resources.extend(endpoint.unreleased_resources())
      });
    }
    resources
  }

  /// Lists the bytes that boxes hold for callers, which have all left.
  pub(crate) async fn held_bytes(&self) -> Vec<String> {
    let mut held = Vec::new();
    for target in &self.boxes {
      held.extend(held_bytes(target).await);
    }
    held
  }
}

/// The bytes that a box still holds after some time; a probe's response is held for a moment.
async fn held_bytes(target: &BoxProcess) -> Vec<String> {
  let mut held = Vec::new();
  for _ in 0..HELD_POLLS {
    let Ok(request) =
      Request::get(format!("http://{}/metrics", target.metrics())).body(Full::default())
    else {
      return held;
    };
    let Ok(page) = HttpClient::default()
      .fetch_bytes(request, PROBE_TIMEOUT)
      .await
    else {
      return held;
    };
    held = String::from_utf8_lossy(&page)
      .lines()
      .filter(|line| line.starts_with("rillford_held_bytes{") && !line.ends_with(" 0"))
      .map(|line| format!("{line} at box {}", target.index))
      .collect();
    if held.is_empty() {
      return held;
    }
    sleep(HELD_POLL_INTERVAL).await;
  }
  held
}

fn drain_key(hall: Hall) -> String {
  format!("op/evacuate/{}", hall.name())
}

/// Listens at a loopback host of the run's own: at 127.0.0.1, other programs may still call a port that was theirs.
async fn listen() -> Result<TcpListener> {
  TcpListener::bind((engine_host(), 0))
    .await
    .map_err(Error::Listen)
}
