//! The routes in force: which service a host and path belong to, and how its requests may be treated.

use {
  super::{
    homes::Homes,
    organisation::{Organisations, UseLimit},
  },
  crate::ids::Name,
  std::{cmp::Reverse, collections::HashMap, rc::Rc},
};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
  /// A request may run more than once.
  Repeatable,
  /// A request runs at most once.
  Unrepeatable,
  /// A request runs at most once and is answered by a series of events.
  Stream {
    /// Whether another endpoint may continue a stream that broke.
    resumable: bool,
  },
}

impl RouteKind {
  /// Whether a request that may have begun may be sent once more.
  ///
  /// ```
  /// use rillford::gateway::RouteKind;
  /// assert!(RouteKind::Stream { resumable: true }.may_repeat());
  /// assert!(!RouteKind::Unrepeatable.may_repeat());
  /// ```
  pub fn may_repeat(self) -> bool {
    matches!(self, Self::Repeatable | Self::Stream { resumable: true })
  }
}

/// One service behind a route, with its share of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
  /// The service.
  pub service: Name,
  /// Its share, relative to the others.
  pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
  /// The route's name.
  pub name: Name,
  /// The host it answers to, in lower case.
  pub host: Name,
  /// How its paths begin; ends with a slash.
  pub path_prefix: Name,
  /// What may be repeated.
  pub kind: RouteKind,
  /// The longest time that a request may be held.
  pub timeout_ms: u64,
  /// The time within which an answer, or a stream's first event, is wanted.
  pub target_ms: u64,
  /// 0 goes first.
  pub priority: u8,
  /// The most endpoints that one request may be sent to.
  pub most_attempts: u32,
  /// The regions in which its requests may be served; nothing where all may.
  pub homes: Option<Homes>,
  /// Whether it serves callers without a key.
  pub is_open: bool,
  /// The services that its requests go to.
  pub services: Vec<WeightedService>,
}

impl Route {
  /// The service for a draw between 0 and 1.
  pub fn service(&self, draw: f64) -> Option<&Name> {
    let total: u32 = self.services.iter().map(|target| target.weight).sum();
    let mut left = draw * f64::from(total);
    for target in &self.services {
      left -= f64::from(target.weight);
      if left < 0.0 {
        return Some(&target.service);
      }
    }
    self
      .services
      .iter()
      .rfind(|target| target.weight > 0)
      .map(|target| &target.service)
  }
}

/// The engines of a service of language models.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineSpec {
  /// Requests that one engine works on at once.
  pub seats: u32,
  /// Tokens that fit into one engine's memory.
  pub kv_tokens: u64,
  /// How long a prompt that was read is kept for another engine.
  pub export_ttl_ms: u64,
  /// The longest reservation.
  pub reservation_ms: u64,
}

/// What the endpoints of a service carry while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
  /// How long one is cold after its start.
  pub lasts_ms: u64,
  /// Requests a second that it carries of all boxes together.
  pub per_s: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
  /// Connections that one endpoint accepts from all callers together.
  pub most_connections: u32,
  /// Set where its endpoints are engines.
  pub engine: Option<EngineSpec>,
  /// Set where its endpoints carry less while they are cold.
  pub cold_start: Option<ColdStart>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
  /// The longest head.
  pub head_bytes: usize,
  /// The longest body.
  pub body_bytes: usize,
  /// The longest time for a head.
  pub head_ms: u64,
  /// How long a connection may rest.
  pub idle_ms: u64,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug)]
pub struct RouteTable {
  version: u64,
  by_host: HashMap<Name, Vec<Rc<Route>>>,
  services: HashMap<Name, ServiceSpec>,
  limits: CallerLimits,
  organisations: Option<Organisations>,
}

impl RouteTable {
  /// Builds the look-up of one version.
  pub fn new(
    version: u64,
    routes: Vec<Route>,
    services: HashMap<Name, ServiceSpec>,
    limits: CallerLimits,
  ) -> Self {
    let mut by_host: HashMap<Name, Vec<Rc<Route>>> = HashMap::new();
    for route in routes {
      by_host
        .entry(route.host.clone())
        .or_default()
        .push(Rc::new(route));
    }
    for routes in by_host.values_mut() {
      routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
    }
    Self {
      by_host,
      limits,
      organisations: None,
      services,
      version,
    }
  }

  /// Has each caller belong to an organisation.
  pub fn with_organisations(self, organisations: Organisations) -> Self {
    Self {
      organisations: Some(organisations),
      ..self
    }
  }

  /// The organisations; nothing when callers belong to none.
  pub fn organisations(&self) -> Option<&Organisations> {
    self.organisations.as_ref()
  }

  /// The organisations that are limited.
  pub fn limited(&self) -> impl Iterator<Item = (&Name, UseLimit)> {
    let organisations = self.organisations.iter().flat_map(Organisations::iter);
    organisations.filter_map(|organisation| Some((&organisation.name, organisation.limit?)))
  }

  /// The version; a higher one replaces a lower one.
  pub fn version(&self) -> u64 {
    self.version
  }

  /// What callers may send.
  pub fn limits(&self) -> CallerLimits {
    self.limits
  }

  /// The route of a host whose prefix begins the path and is longest.
  pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
    let host = host.split(':').next().unwrap_or_default();
    let routes = match self.by_host.get(host) {
      Some(routes) => routes,
      None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
    };
    routes
      .iter()
      .find(|route| path.starts_with(&*route.path_prefix))
  }

  /// A service's own settings.
  pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
    self.services.get(name)
  }

  /// A region that is some route's or organisation's home and none of the regions that there are.
  pub fn unknown_home(&self, is_region: impl Fn(&str) -> bool) -> Option<&Name> {
    let of_routes = self.by_host.values().flatten();
    let of_routes = of_routes.filter_map(|route| route.homes.as_ref());
    let organisations = self.organisations.iter().flat_map(Organisations::iter);
    let of_organisations = organisations.filter_map(|organisation| organisation.homes.as_ref());
    let homes = of_routes.chain(of_organisations);
    homes
      .flat_map(Homes::names)
      .find(|region| !is_region(region))
  }

  /// How many routes there are.
  pub fn route_count(&self) -> usize {
    self.by_host.values().map(Vec::len).sum()
  }
}
