//! The operator, who writes the configuration.

mod change_kind;
mod document;

use {
  super::{
    name_draws::NameDraws,
    recorder::Recorder,
    routes::{RoutePlace, Routes},
    site::Site,
  },
  change_kind::ChangeKind,
  document::{Document, RouteEntry, SplitEntry},
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  stand_ins::PlatformStore,
  std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

const KEY: &str = "op/config";
/// Numbers of the sequences of draws: changes and names.
const CHANGE_STREAM: u64 = 42;
const NAME_STREAM: u64 = 43;
/// Bounds of the first version, and of the steps between versions.
const FIRST_VERSION: (u64, u64) = (1, 9);
const VERSION_STEP: (u64, u64) = (1, 5);
/// Bounds of a changed time-out, relative to that of the kind of request.
const TIMEOUT_FACTOR: (f64, f64) = (0.7, 1.2);
/// Bounds of the weight of a route's present service; the other service gets the rest of 100.
const WEIGHT: (u32, u32) = (60, 95);

/// The operator.
pub struct Operator {
  site: Arc<Site>,
  store: PlatformStore,
  recorder: Recorder,
  routes: Arc<Routes>,
  state: Mutex<State>,
}

/// The newest document; the routes of the kinds of requests come first.
struct State {
  document: Document,
  draws: ChaCha8Rng,
  names: NameDraws,
}

impl Operator {
  /// The operator of a site. The routes depend on the site and the seed only.
  pub fn new(site: Arc<Site>, store: PlatformStore, seed: u64, recorder: Recorder) -> Self {
    let routes = Arc::new(Routes::draw(&site, seed));
    let state = Mutex::new(State::new(&site, &routes, seed));
    Self {
      recorder,
      routes,
      site,
      state,
      store,
    }
  }

  /// Where the kinds of requests are found.
  pub fn routes(&self) -> Arc<Routes> {
    self.routes.clone()
  }

  /// Version of the newest configuration.
  pub fn version(&self) -> u64 {
    self.state().document.version
  }

  /// Writes the first configuration.
  pub fn write_first(&self) {
    self.write(&self.state().document, "first");
  }

  /// Changes the configuration: `timeout`, `idle`, `route` or `weights`. Kinds that are not played are noted and change nothing.
  pub fn change(&self, how: &str) {
    let Some(kind) = ChangeKind::parse(how) else {
      let line = format!("configuration: no change, \"{how}\" is not played");
      self.recorder.note(line);
      return;
    };
    let mut state = self.state();
    let line = match kind {
      ChangeKind::Idle => state.replace_idle(&self.site),
      ChangeKind::Route => state.move_route(&self.site),
      ChangeKind::Timeout => state.change_timeout(&self.site),
      ChangeKind::Weights => state.change_weights(&self.site),
    };
    state.raise_version();
    self.write(&state.document, &line);
  }

  /// Adds routes that nobody uses.
  pub fn add_idle_routes(&self, count: usize) {
    let mut state = self.state();
    for _ in 0..count {
      state.add_idle(&self.site);
    }
    state.raise_version();
    self.write(&state.document, &format!("{count} idle routes added"));
  }

  fn write(&self, document: &Document, line: &str) {
    let version = document.version;
    match serde_json::to_vec(document) {
      Ok(value) => {
        self.store.put(KEY, &value);
        let line = format!("configuration: version {version}, {line}");
        self.recorder.note(line);
      }
      Err(error) => self.recorder.note(format!(
        "configuration: version {version} is not written: {error}"
      )),
    }
  }

  fn state(&self) -> MutexGuard<'_, State> {
    // A panic between two steps leaves a valid document.
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl State {
  fn new(site: &Site, routes: &Routes, seed: u64) -> Self {
    let sequence = |stream| {
      let mut draws = ChaCha8Rng::seed_from_u64(seed);
      draws.set_stream(stream);
      draws
    };
    let taken = routes.iter().map(|(_, place)| place.path_prefix.clone());
    let mut draws = sequence(CHANGE_STREAM);
    let version = draws.random_range(FIRST_VERSION.0..=FIRST_VERSION.1);
    let mut state = Self {
      document: Document::new(site, version),
      draws,
      names: NameDraws::new(sequence(NAME_STREAM), taken),
    };
    for class in &site.classes {
      if let Some(place) = routes.get(&class.name) {
        let entry = RouteEntry::new(state.names.route_name(), place, class);
        state.document.routes.push(entry);
      }
    }
    for _ in 0..site.config.idle_routes {
      state.add_idle(site);
    }
    state
  }

  fn raise_version(&mut self) {
    self.document.version += self.draws.random_range(VERSION_STEP.0..=VERSION_STEP.1);
  }

  /// Adds a route of a random kind of request at a place of its own; returns its name.
  fn add_idle(&mut self, site: &Site) -> Arc<str> {
    let class = &site.classes[self.draws.random_range(0..site.classes.len())];
    let place = RoutePlace {
      host: self.names.host(),
      path_prefix: self.names.path_prefix(),
    };
    let name = self.names.route_name();
    let entry = RouteEntry::new(name.clone(), &place, class);
    self.document.routes.push(entry);
    name
  }

  /// A random route that nobody uses.
  fn random_idle(&mut self, site: &Site) -> Option<usize> {
    let idle = site.classes.len()..self.document.routes.len();
    (!idle.is_empty()).then(|| self.draws.random_range(idle))
  }

  fn replace_idle(&mut self, site: &Site) -> String {
    let gone = self.random_idle(site);
    let gone = gone.map(|index| self.document.routes.remove(index).name);
    let came = self.add_idle(site);
    match gone {
      Some(gone) => format!("idle route {gone} removed, {came} added"),
      None => format!("idle route {came} added"),
    }
  }

  fn change_timeout(&mut self, site: &Site) -> String {
    let index = self.draws.random_range(0..site.classes.len());
    let factor = self.draws.random_range(TIMEOUT_FACTOR.0..TIMEOUT_FACTOR.1);
    let drawn_ms = (site.classes[index].timeout_ms * factor).round();
    let is_present = drawn_ms == self.document.routes[index].timeout_ms;
    // Every version changes something.
    let timeout_ms = drawn_ms + f64::from(is_present);
    let route = &mut self.document.routes[index];
    route.timeout_ms = timeout_ms;
    format!("time-out of {} is {timeout_ms} ms", route.name)
  }

  fn move_route(&mut self, site: &Site) -> String {
    let Some((index, service)) = self.other_service(site) else {
      return "no route can move".into();
    };
    let route = &mut self.document.routes[index];
    route.split.clear();
    let line = format!("route {} moves to {service}", route.name);
    route.service = Some(service);
    line
  }

  fn change_weights(&mut self, site: &Site) -> String {
    let Some((index, other)) = self.other_service(site) else {
      return "no route can be split".into();
    };
    let weight = self.draws.random_range(WEIGHT.0..=WEIGHT.1);
    let route = &mut self.document.routes[index];
    let first = route.split.first().map(|entry| entry.service.clone());
    let Some(present) = route.service.take().or(first) else {
      return "no route can be split".into();
    };
    let line = format!(
      "route {}: {weight} of 100 to {present}, the rest to {other}",
      route.name
    );
    let entry = |service, weight| SplitEntry { service, weight };
    route.split = vec![entry(present, weight), entry(other, 100 - weight)];
    line
  }

  /// A random route and a service that does not serve it yet but could. If the kinds of requests have none, a route that nobody uses.
  fn other_service(&mut self, site: &Site) -> Option<(usize, Arc<str>)> {
    let used = 0..site.classes.len();
    let movable: Vec<_> = used.flat_map(|index| self.alternatives(index)).collect();
    if !movable.is_empty() {
      let chosen = self.draws.random_range(0..movable.len());
      return movable.into_iter().nth(chosen);
    }
    let index = self.random_idle(site)?;
    let services = self.document.services.iter().map(|entry| &entry.name);
    let route = &self.document.routes[index];
    let others: Vec<_> = services.filter(|name| !route.uses(name)).cloned().collect();
    let chosen = self.draws.random_range(0..others.len().max(1));
    others
      .into_iter()
      .nth(chosen)
      .map(|service| (index, service))
  }

  /// The services that could serve a route: those that have engines if its present one has.
  fn alternatives(&self, index: usize) -> Vec<(usize, Arc<str>)> {
    let route = &self.document.routes[index];
    let document = &self.document;
    let services = document.services.iter();
    let present = services
      .clone()
      .find(|entry| route.uses(&entry.name))
      .is_some_and(|entry| document.has_engines(&entry.name));
    let others = services.filter(|entry| !route.uses(&entry.name));
    others
      .filter(|entry| entry.engine.is_some() == present)
      .map(|entry| (index, entry.name.clone()))
      .collect()
  }
}
