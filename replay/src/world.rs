//! The running deployment: boxes, servers, the store, and the links between them.

use {
  super::{
    balancer::{Balancer, BoxTarget},
    box_process::{BoxPlan, BoxProcess},
    box_settings::BoxPlace,
    box_stores::BoxStores,
    error::{Error, Result},
    host::{BOX_LINK_PORTS, box_host, server_host},
    operator::Operator,
    recorder::Recorder,
    server::{Server, ServerSpec, ServerWorld, Stage, StartNaming},
    server_place::{ServerPlace, server_port},
    server_versions::{ServedVersions, ServerVersions},
    site::{Service, Site},
    store_view::view_of_box,
  },
  serde_json::Value,
  stand_ins::{Cut, Link, Target},
  std::{
    collections::{BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddr},
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
  },
  tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout},
  },
};

/// Check-ins of silence after which the entry of a server goes.
const SILENT_BEATS: u32 = 3;
/// Time in which all boxes must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after `drain_ms` for which a server that leaves serves on.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_000);

/// How a deployment is played.
pub(crate) struct WorldPlan<'a> {
  pub(crate) boxes: BoxPlan<'a>,
  /// Whether each box is held to its share of a core.
  pub(crate) has_cpu_quota: bool,
  pub(crate) seed: u64,
  pub(crate) starts: StartNaming,
  pub(crate) versions: ServedVersions,
}

/// A running deployment.
pub(crate) struct World {
  pub(crate) site: Arc<Site>,
  pub(crate) recorder: Recorder,
  pub(crate) operator: Operator,
  pub(crate) stores: BoxStores,
  /// The boxes, spare ones last.
  pub(crate) boxes: Vec<BoxProcess>,
  /// Number of boxes that are no spares.
  usual_boxes: usize,
  /// Spare boxes that have been added, and boxes that have left.
  changes: Mutex<BoxChanges>,
  /// The link of each box to its store.
  pub(crate) store_links: Vec<Link>,
  /// The link of callers to each box.
  pub(crate) caller_links: Vec<Link>,
  /// The links between boxes, each with the indices of both.
  pub(crate) box_links: Vec<((usize, usize), Link)>,
  /// The target of the links to each box.
  box_targets: Vec<Target>,
  pub(crate) places: Vec<ServerPlace>,
  pub(crate) balancer: Arc<Balancer>,
  server_world: ServerWorld,
  starts: StartNaming,
  seed: u64,
  next_server: AtomicU64,
  /// The ids of servers that have left the list and serve on.
  unlisted: Mutex<BTreeSet<Arc<str>>>,
  versions: ServerVersions,
}

#[derive(Default)]
struct BoxChanges {
  added: BTreeSet<usize>,
  left: BTreeSet<usize>,
}

impl World {
  /// Starts a deployment and waits until its boxes are ready.
  pub(crate) async fn start(
    plan: &WorldPlan<'_>,
    stores: BoxStores,
    operator: Operator,
    server_world: ServerWorld,
  ) -> Result<Arc<Self>> {
    let site = Arc::new(plan.boxes.site.clone());
    let recorder = plan.boxes.recorder.clone();
    let places = box_places(&site);
    let usual_boxes = site.fronts().map(|machines| machines.count).sum();
    let mut store_links = Vec::new();
    let mut boxes = Vec::new();
    for place in &places {
      let view = stores.open_view(place.index, view_of_box(place.index));
      let link = open_link(view.await?).await?;
      let of = BoxProcess::new(&plan.boxes, place.clone(), link.address)?;
      of.set_cpu_quota(plan.has_cpu_quota);
      let is_spare = place.index >= usual_boxes;
      boxes.push(if is_spare { of.joining() } else { of });
      store_links.push(link);
    }
    let box_targets: Vec<Target> = boxes
      .iter()
      .map(|of| Arc::new(Mutex::new(of.addresses().boxes)))
      .collect();
    let box_links = link_boxes(&box_targets).await?;
    let mut caller_links = Vec::new();
    for of in &boxes {
      caller_links.push(open_link(of.addresses().callers).await?);
    }
    let server_places = open_places(&site, boxes.len()).await?;
    let balancer = Balancer::new(Vec::new(), recorder.clone());
    balancer.set_zones(&site.zones);
    let world = Arc::new(Self {
      balancer,
      boxes,
      box_links,
      box_targets,
      caller_links,
      changes: Mutex::default(),
      next_server: AtomicU64::new(0),
      operator,
      places: server_places,
      recorder,
      seed: plan.seed,
      server_world,
      site,
      starts: plan.starts,
      store_links,
      stores,
      unlisted: Mutex::default(),
      usual_boxes,
      versions: ServerVersions::new(plan.versions, plan.seed),
    });
    world.operator.write_first();
    let usual_places = world.usual_places();
    world.plan_first_versions(&usual_places);
    for place in &usual_places {
      world.start_server(*place).await?;
    }
    for of in &world.boxes[..usual_boxes] {
      of.start().await?;
    }
    world.show_boxes();
    world.wait_until_ready().await?;
    Ok(world)
  }

  /// The places that have a server from the start.
  fn usual_places(&self) -> Vec<usize> {
    let mut rest: HashMap<(Arc<str>, Arc<str>), usize> = HashMap::new();
    for service in &self.site.services {
      for servers in &service.servers {
        rest.insert((service.name.clone(), servers.zone.clone()), servers.count);
      }
    }
    let is_usual = |place: &&ServerPlace| {
      let key = (place.service(), place.zone.clone());
      let left = rest.entry(key).or_default();
      let is_usual = *left > 0;
      *left = left.saturating_sub(1);
      is_usual
    };
    let usual = self.places.iter().filter(is_usual);
    usual.map(|place| place.index).collect()
  }

  async fn wait_until_ready(&self) -> Result {
    let missing = || self.usual_boxes.saturating_sub(self.balancer.ready_count());
    let waiting = async {
      while missing() > 0 {
        sleep(READY_INTERVAL).await;
        self.balancer.poll_once().await;
      }
    };
    let is_ready = timeout(START_TIMEOUT, waiting).await.is_ok();
    is_ready
      .then_some(())
      .ok_or_else(|| Error::NotReady(missing()))
  }

  /// The boxes that are part of the deployment at present.
  pub(crate) fn present_boxes(&self) -> Vec<usize> {
    let changes = self.changes();
    let is_present = |index: &usize| {
      (*index < self.usual_boxes || changes.added.contains(index)) && !changes.left.contains(index)
    };
    (0..self.boxes.len()).filter(is_present).collect()
  }

  /// The spare boxes that have not been added.
  pub(crate) fn spare_boxes(&self) -> Vec<usize> {
    let changes = self.changes();
    let spares = self.usual_boxes..self.boxes.len();
    spares
      .filter(|index| !changes.added.contains(index))
      .collect()
  }

  /// Adds a spare box.
  pub(crate) async fn add_box(&self, index: usize) -> Result {
    self.changes().added.insert(index);
    self.boxes[index].start().await?;
    self.show_boxes();
    Ok(())
  }

  /// A box leaves for good.
  pub(crate) fn remove_box(&self, index: usize) {
    self.changes().left.insert(index);
    self.show_boxes();
  }

  /// Moves a box that is down to new addresses.
  pub(crate) async fn move_box(&self, index: usize) {
    self.boxes[index].move_to_new_addresses().await;
    let addresses = self.boxes[index].addresses();
    self.caller_links[index].set_target(addresses.callers);
    let mut target = self.box_targets[index]
      .lock()
      .unwrap_or_else(PoisonError::into_inner);
    *target = addresses.boxes;
    drop(target);
    self.show_boxes();
  }

  /// Tells the balancer which boxes there are.
  fn show_boxes(&self) {
    let target = |index: usize| BoxTarget {
      callers: self.caller_links[index].address,
      index,
      ready: self.boxes[index].addresses().ready,
      zone: self.boxes[index].place().zone.clone(),
    };
    let targets = self.present_boxes().into_iter().map(target).collect();
    self.balancer.set_targets(targets);
  }

  /// All links at one side of which a box is.
  pub(crate) fn links_of_box(&self, index: usize) -> Vec<Link> {
    let mut links = self.links_to_boxes(index);
    links.push(self.store_links[index].clone());
    links.push(self.caller_links[index].clone());
    links.extend(self.links_to_servers(index));
    links
  }

  /// The links between a box and all other boxes.
  pub(crate) fn links_to_boxes(&self, index: usize) -> Vec<Link> {
    let links = self.box_links.iter();
    let links = links.filter(|((from, to), _)| *from == index || *to == index);
    links.map(|(_, link)| link.clone()).collect()
  }

  /// The links of a box to all servers.
  pub(crate) fn links_to_servers(&self, index: usize) -> Vec<Link> {
    let places = self.places.iter();
    places.map(|place| place.links[index].clone()).collect()
  }

  /// The links between a zone and all others, and of its boxes to the store.
  pub(crate) fn links_across(&self, zone: &str) -> Vec<Link> {
    let is_in = |index: usize| &*self.boxes[index].place().zone == zone;
    let mut links = Vec::new();
    for ((from, to), link) in &self.box_links {
      if is_in(*from) != is_in(*to) {
        links.push(link.clone());
      }
    }
    for place in &self.places {
      for (index, link) in place.links.iter().enumerate() {
        if is_in(index) != (&*place.zone == zone) {
          links.push(link.clone());
        }
      }
    }
    for (index, link) in self.store_links.iter().enumerate() {
      if is_in(index) {
        links.push(link.clone());
      }
    }
    links
  }

  /// Cuts links for a time.
  pub(crate) async fn cut(&self, links: &[Link], cut: Cut, for_s: f64) {
    for link in links {
      link.begin_cut(cut);
    }
    sleep(Duration::from_secs_f64(for_s)).await;
    for link in links {
      link.end_cut(cut);
    }
  }

  /// Kills a box and starts it again after a time.
  pub(crate) async fn kill_box(&self, index: usize, down_s: f64) -> Result {
    self.boxes[index].kill().await?;
    sleep(Duration::from_secs_f64(down_s)).await;
    self.boxes[index].start().await
  }

  /// A box loses power for a time: nobody hears from it until it is back.
  pub(crate) async fn power_off_box(&self, index: usize, down_s: f64) -> Result {
    self.darken_box(index, down_s).await?;
    self.boxes[index].start().await
  }

  /// A box loses power for good; after a time, an empty one takes its place at other addresses.
  pub(crate) async fn replace_dark_box(&self, index: usize, down_s: f64) -> Result {
    self.darken_box(index, down_s).await?;
    self.move_box(index).await;
    self.boxes[index].start().await
  }

  async fn darken_box(&self, index: usize, down_s: f64) -> Result {
    let links = self.links_of_box(index);
    for link in &links {
      link.begin_power_loss();
    }
    self.boxes[index].kill().await?;
    sleep(Duration::from_secs_f64(down_s)).await;
    for link in &links {
      link.end_power_loss();
    }
    Ok(())
  }

  /// The places of a service that have a server.
  pub(crate) fn serving_places(&self, service: Option<&str>) -> Vec<usize> {
    let is_there = |place: &&ServerPlace| {
      service.is_none_or(|service| *place.service() == *service) && place.server().is_some()
    };
    let places = self.places.iter().filter(is_there);
    places.map(|place| place.index).collect()
  }

  /// A place of the same service and zone that has no server.
  pub(crate) fn empty_place_beside(&self, place: usize) -> Option<usize> {
    let beside = &self.places[place];
    let mut places = self.places.iter();
    let found = places.find(|of| {
      of.service() == beside.service() && of.zone == beside.zone && of.server().is_none()
    });
    found.map(|place| place.index)
  }

  /// Settles the versions of the first engines of each service.
  fn plan_first_versions(&self, usual_places: &[usize]) {
    for service in &self.site.services {
      let places = usual_places.iter().map(|index| &self.places[*index]);
      let engines = places.filter(|place| place.service() == service.name);
      let engines: Vec<(usize, Stage)> = engines
        .filter_map(|place| Some((place.index, self.first_stage(service, place.index)?)))
        .collect();
      self.versions.plan_first(&engines);
    }
  }

  /// The next server at a place has the version of the last one at another place.
  pub(crate) fn plan_same_version(&self, place: usize, as_at: usize) {
    self.versions.plan_same(place, as_at);
  }

  /// The next server at the place beside another one has the version by which a release replaces that one's.
  pub(crate) fn plan_release(&self, place: usize, beside: usize) {
    let others = self.places_that_stay(place);
    self.versions.plan_release(place, beside, &others);
  }

  /// The other places of the same service whose servers don't leave.
  fn places_that_stay(&self, place: usize) -> Vec<usize> {
    let serving = self.serving_places(Some(&self.places[place].service()));
    let stays = |other: &usize| {
      let server = self.places[*other].server();
      *other != place && server.is_some_and(|server| !server.is_draining())
    };
    serving.into_iter().filter(stays).collect()
  }

  /// Starts a server with a new id at a place, which registers within the lag of discovery.
  pub(crate) async fn start_server(self: &Arc<Self>, place: usize) -> Result {
    let listener = TcpListener::bind((server_host(), 0)).await;
    let listener = listener.map_err(Error::Listen)?;
    let address = listener.local_addr().map_err(Error::Listen)?;
    let at = &self.places[place];
    *at.target.lock().unwrap_or_else(PoisonError::into_inner) = address;
    let Some(service) = self.site.service(&at.service()) else {
      return Ok(());
    };
    let number = self.next_server.fetch_add(1, Ordering::Relaxed);
    let stage = self.first_stage(service, place);
    let others = self.places_that_stay(place);
    let version = self.versions.next(place, stage, number, &others);
    let spec = ServerSpec {
      address: SocketAddr::from((Ipv4Addr::LOCALHOST, at.port())),
      born_ms: unix_ms(),
      id: format!("i-{number}").into(),
      seed: self.seed ^ number,
      service: Arc::new(service.clone()),
      speed: 1.0,
      stage,
      says_leaving: false,
      starts: self.starts,
      version: version.name().into(),
      zone: at.zone.clone(),
    };
    self.recorder.note(format!(
      "server {} ({}, {}) starts at place {place}",
      spec.id, spec.service.name, spec.version
    ));
    let server = Server::start(spec, listener, &self.server_world);
    at.set_server(Some(server.clone()));
    tokio::spawn(self.clone().keep_entry(place, server));
    Ok(())
  }

  /// The stage of the first server at a place: the share of the service's servers that read prompts, spread over the zones.
  fn first_stage(&self, service: &Service, place: usize) -> Option<Stage> {
    let model = service.llm.as_ref()?;
    let places = self.places.iter().filter(|of| of.service() == service.name);
    let of_service: Vec<usize> = places.map(|of| of.index).collect();
    let number = of_service.iter().position(|of| *of == place)? as f64;
    let before = (number * model.prefill).floor();
    let is_prefill = ((number + 1.0) * model.prefill).floor() > before;
    Some(if is_prefill {
      Stage::Prefill
    } else {
      Stage::Decode
    })
  }

  /// Writes the entry of a server whenever it has changed, until the server is gone, and then removes it.
  async fn keep_entry(self: Arc<Self>, place: usize, server: Arc<Server>) {
    let beat = Duration::from_millis(self.site.discovery.beat_ms);
    let key = server.key();
    let mut written = None;
    let mut silent_beats = 0;
    loop {
      let is_current = self.places[place]
        .server()
        .is_some_and(|current| Arc::ptr_eq(&current, &server));
      if !is_current || self.is_unlisted(&server) {
        break;
      }
      if self.places[place].is_cut_from_store() {
        silent_beats += 1;
        if silent_beats == SILENT_BEATS {
          let id = &server.spec().id;
          self
            .recorder
            .note(format!("the entry of server {id} lapses"));
          self.stores.store().remove(&key);
          written = None;
        }
        sleep(beat).await;
        continue;
      }
      silent_beats = 0;
      let entry = server.entry();
      if written.as_ref().map(without_sequence) != Some(without_sequence(&entry)) {
        self.stores.store().put(&key, entry.to_string().as_bytes());
        written = Some(entry);
      }
      sleep(beat).await;
    }
    if !self.is_unlisted(&server) {
      sleep(beat * SILENT_BEATS).await;
    }
    self.stores.store().remove(&key);
  }

  /// Writes the entry of a server at once.
  fn write_entry(&self, server: &Server) {
    let entry = server.entry().to_string();
    self.stores.store().put(&server.key(), entry.as_bytes());
  }

  /// Crashes the server at a place. Returns whether there was one.
  pub(crate) fn crash_server(&self, place: usize) -> bool {
    let Some(server) = self.places[place].set_server(None) else {
      return false;
    };
    self
      .recorder
      .note(format!("server {} crashes", server.spec().id));
    server.kill();
    true
  }

  /// The server at a place falls dark: boxes hear nothing until another one starts there.
  pub(crate) fn darken_server(&self, place: usize) -> bool {
    for link in &self.places[place].links {
      link.begin_power_loss();
    }
    self.crash_server(place)
  }

  /// A place that was dark is back.
  pub(crate) fn lighten_place(&self, place: usize) {
    for link in &self.places[place].links {
      link.end_power_loss();
    }
  }

  /// The server at a place drains and leaves. One that says nothing just loses its entry.
  pub(crate) async fn drain_server(&self, place: usize, is_announced: bool) {
    let Some(server) = self.places[place].server() else {
      return;
    };
    let id = server.spec().id.clone();
    self.recorder.note(format!("server {id} leaves"));
    if is_announced {
      server.drain();
      if !self.places[place].is_cut_from_store() {
        self.write_entry(&server);
      }
    } else {
      self.unlisted().insert(id.clone());
      self.stores.store().remove(&server.key());
    }
    sleep(Duration::from_millis(self.site.bounds.drain_ms) + DRAIN_MARGIN).await;
    server.stop().await;
    self.stores.store().remove(&server.key());
    let is_current = self.places[place]
      .server()
      .is_some_and(|current| Arc::ptr_eq(&current, &server));
    if is_current {
      self.places[place].set_server(None);
    }
    self.recorder.note(format!("server {id} has left"));
  }

  /// Keeps boxes that end by themselves running, and polls their readiness.
  pub(crate) fn spawn_background(self: &Arc<Self>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(self.balancer.clone().poll());
    for index in 0..self.boxes.len() {
      let world = self.clone();
      tasks.spawn(async move { world.boxes[index].watch().await });
    }
    tasks
  }

  fn changes(&self) -> MutexGuard<'_, BoxChanges> {
    self.changes.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn is_unlisted(&self, server: &Server) -> bool {
    self.unlisted().contains(&server.spec().id)
  }

  fn unlisted(&self) -> MutexGuard<'_, BTreeSet<Arc<str>>> {
    self.unlisted.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

fn unix_ms() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH);
  since.map_or(0, |since| {
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
  })
}

/// An entry without its number of orders, which alone does not change it in the store.
fn without_sequence(entry: &Value) -> Value {
  let mut entry = entry.clone();
  if let Some(fields) = entry.as_object_mut() {
    fields.remove("callSeq");
  }
  entry
}

/// The boxes of a site: those of each zone, then the spare ones.
fn box_places(site: &Site) -> Vec<BoxPlace> {
  let mut places = Vec::new();
  let usual = site.fronts().map(|machines| (machines, machines.count));
  let spare = site.fronts().map(|machines| (machines, machines.spare));
  for (machines, count) in usual.chain(spare) {
    let region = site.zones.iter().find(|zone| zone.name == machines.zone);
    for _ in 0..count {
      let index = places.len();
      places.push(BoxPlace {
        index,
        name: format!("front-{}-{index}", machines.zone),
        region: region.map_or_else(|| machines.zone.clone(), |zone| zone.region.clone()),
        zone: machines.zone.clone(),
      });
    }
  }
  places
}

/// The places of all servers, and one more in each zone that has any, for those that a release or a growth brings.
async fn open_places(site: &Site, boxes: usize) -> Result<Vec<ServerPlace>> {
  let mut places: Vec<ServerPlace> = Vec::new();
  for service in &site.services {
    for servers in &service.servers {
      for _ in 0..servers.count * 2 {
        let index = places.len();
        let target: Target = Arc::new(Mutex::new(SocketAddr::from((server_host(), 9))));
        let mut links = Vec::new();
        for of in 0..boxes {
          let address = SocketAddr::from((box_host(of), server_port(index)));
          let link = Link::open_at(address, &target).await;
          links.push(link.map_err(Error::Listen)?);
        }
        let place = ServerPlace::new(
          index,
          service.name.clone(),
          servers.zone.clone(),
          target,
          links,
        );
        places.push(place);
      }
    }
  }
  Ok(places)
}

async fn link_boxes(targets: &[Target]) -> Result<Vec<((usize, usize), Link)>> {
  let mut links = Vec::new();
  for from in 0..targets.len() {
    for (to, target) in targets.iter().enumerate() {
      if from == to {
        continue;
      }
      let port = BOX_LINK_PORTS + u16::try_from(to).unwrap_or_default();
      let address = SocketAddr::from((box_host(from), port));
      let link = Link::open_at(address, target).await;
      links.push(((from, to), link.map_err(Error::Listen)?));
    }
  }
  Ok(links)
}

async fn open_link(target: SocketAddr) -> Result<Link> {
  let target = Arc::new(Mutex::new(target));
  let address = SocketAddr::from((server_host(), 0));
  Link::open_at(address, &target).await.map_err(Error::Listen)
}
