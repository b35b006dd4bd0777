//! The route table of one configuration version: which service a host and path map to, and how its requests are handled.

use {
  super::{
    organisation::{Organisations, UsageLimit},
    region_set::RegionSet,
  },
  crate::ids::Name,
  std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    rc::Rc,
  },
};

/// Whether the requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
  /// A request may run more than once.
  Retryable,
  /// A request runs at most once.
  NonRetryable,
  /// A request runs at most once, and its response is a stream of server-sent events.
  Stream {
    /// Whether another endpoint may resume an interrupted stream.
    resumable: bool,
  },
}

impl RouteKind {
  /// Whether a request that an endpoint may have run may be sent again.
  ///
  /// ```
  /// use rillford::gateway::RouteKind;
  /// assert!(RouteKind::Stream { resumable: true }.may_retry());
  /// assert!(!RouteKind::NonRetryable.may_retry());
  /// ```
  pub fn may_retry(self) -> bool {
    matches!(self, Self::Retryable | Self::Stream { resumable: true })
  }

  /// Whether the response is a stream.
  pub fn is_stream(self) -> bool {
    matches!(self, Self::Stream { .. })
  }
}

/// A target service of a route, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
  /// The service.
  pub service: Name,
  /// Its share of the route's requests, relative to the other services.
  pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
  /// The route's name.
  pub name: Name,
  /// The host that it matches, in lower case.
  pub host: Name,
  /// The path prefix that it matches; ends with a slash.
  pub path_prefix: Name,
  /// Whether its requests may be retried.
  pub kind: RouteKind,
  /// Timeout of a request.
  pub timeout_ms: u64,
  /// Latency target of a response, or of a stream's first event.
  pub target_ms: u64,
  /// 0 is the most urgent.
  pub priority: u8,
  /// The most endpoints that one request may be sent to.
  pub max_attempts: u32,
  /// The regions in which its requests may be served; `None` allows all of them.
  pub allowed_regions: Option<RegionSet>,
  /// Whether it serves callers without an API key.
  pub allows_anonymous: bool,
  /// The services that its requests go to.
  pub services: Vec<WeightedService>,
}

impl Route {
  /// Picks a service by weight, for a random `draw` from 0 to 1.
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

  /// Whether a service stands among its targets, also with a weight of 0.
  pub fn names(&self, service: &str) -> bool {
    self
      .services
      .iter()
      .any(|target| &*target.service == service)
  }

  /// Whether some of its requests go to a service.
  pub fn leads_to(&self, service: &str) -> bool {
    self
      .services
      .iter()
      .any(|target| target.weight > 0 && &*target.service == service)
  }
}

/// The engines of a language-model service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
  /// Requests that one engine runs at once.
  pub slots: u32,
  /// Capacity of one engine's KV cache, in tokens.
  pub kv_tokens: u64,
  /// How long an engine retains an exported KV cache.
  pub export_ttl_ms: u64,
  /// The longest time that a reservation may last.
  pub reservation_ms: u64,
  /// Bytes of KV cache per token, if configured.
  pub kv_token_bytes: Option<f64>,
  /// Megabits per second of an engine's link, over which it fetches KV caches of other engines, if configured.
  pub link_mbps: Option<f64>,
}

/// The cold start of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
  /// How long it lasts after an endpoint's start.
  pub duration_ms: u64,
  /// Requests per second that a cold endpoint takes from all boxes together.
  pub per_s: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
  /// Connections that one endpoint accepts from all boxes together.
  pub max_connections: u32,
  /// Set when its endpoints are engines.
  pub engine: Option<EngineSpec>,
  /// Set when its endpoints take less load during a cold start.
  pub cold_start: Option<ColdStart>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
  /// The longest request head.
  pub head_bytes: usize,
  /// The longest request body.
  pub body_bytes: usize,
  /// Timeout of reading a request head.
  pub head_ms: u64,
  /// Timeout of an idle connection.
  pub idle_ms: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
  version: u64,
  by_host: HashMap<Name, Vec<Rc<Route>>>,
  services: HashMap<Name, ServiceSpec>,
  limits: CallerLimits,
  organisations: Option<Organisations>,
}

impl RouteTable {
  /// Indexes the routes by host, longest path prefix first.
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

  /// Adds the organisations that callers have to belong to.
  pub fn with_organisations(self, organisations: Organisations) -> Self {
    Self {
      organisations: Some(organisations),
      ..self
    }
  }

  /// The organisations; `None` when callers are not authenticated.
  pub fn organisations(&self) -> Option<&Organisations> {
    self.organisations.as_ref()
  }

  /// The organisations with a limit.
  pub fn limited(&self) -> impl Iterator<Item = (&Name, UsageLimit)> {
    let organisations = self.organisations.iter().flat_map(Organisations::iter);
    organisations.filter_map(|organisation| Some((&organisation.name, organisation.limit?)))
  }

  /// The longest timeout of a route; 0 without routes.
  pub fn longest_timeout_ms(&self) -> u64 {
    let routes = self.by_host.values().flatten();
    routes.map(|route| route.timeout_ms).max().unwrap_or(0)
  }

  /// The version; only a higher one replaces it.
  pub fn version(&self) -> u64 {
    self.version
  }

  /// Limits on callers' requests and connections.
  pub fn limits(&self) -> CallerLimits {
    self.limits
  }

  /// The route of a host with the longest prefix that matches the path.
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

  /// A service's settings.
  pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
    self.services.get(name)
  }

  /// An allowed region of a route or organisation for which `is_region` is false.
  pub fn unknown_region(&self, is_region: impl Fn(&str) -> bool) -> Option<&Name> {
    let of_routes = self.by_host.values().flatten();
    let of_routes = of_routes.filter_map(|route| route.allowed_regions.as_ref());
    let organisations = self.organisations.iter().flat_map(Organisations::iter);
    let of_organisations =
      organisations.filter_map(|organisation| organisation.allowed_regions.as_ref());
    let region_sets = of_routes.chain(of_organisations);
    region_sets
      .flat_map(RegionSet::names)
      .find(|region| !is_region(region))
  }

  /// Whether streams are sent to a service.
  pub fn streams_from(&self, service: &str) -> bool {
    let mut routes = self.by_host.values().flatten();
    routes.any(|route| route.kind.is_stream() && route.leads_to(service))
  }

  /// The services to which the routes lead whose streams go to a service, itself included.
  pub fn services_beside(&self, service: &str) -> BTreeSet<&Name> {
    let routes = self.by_host.values().flatten();
    let routes = routes.filter(|route| route.kind.is_stream() && route.names(service));
    routes
      .flat_map(|route| route.services.iter().map(|target| &target.service))
      .collect()
  }

  /// Whether the operator ranks the callers of a service: its stream routes differ in priority.
  ///
  /// ```
  /// # use rillford::gateway::{CallerLimits, Route, RouteKind, RouteTable, WeightedService};
  /// # let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_ms: 1, idle_ms: 1 };
  /// let stream = |name: &str, priority| Route {
  ///   name: name.into(),
  ///   host: "lectures.example".into(),
  ///   path_prefix: format!("/{name}/").as_str().into(),
  ///   kind: RouteKind::Stream { resumable: false },
  ///   timeout_ms: 4_000,
  ///   target_ms: 900,
  ///   priority,
  ///   max_attempts: 1,
  ///   allowed_regions: None,
  ///   allows_anonymous: true,
  ///   services: vec![WeightedService { service: "llm".into(), weight: 1 }],
  /// };
  /// let table = |routes| RouteTable::new(1, routes, [].into(), limits);
  /// assert!(table(vec![stream("appeal", 0), stream("digest", 2)]).has_ranked_streams("llm"));
  /// assert!(!table(vec![stream("appeal", 1), stream("digest", 1)]).has_ranked_streams("llm"));
  /// assert!(!table(vec![stream("appeal", 0), stream("digest", 2)]).has_ranked_streams("other"));
  /// ```
  pub fn has_ranked_streams(&self, service: &str) -> bool {
    let routes = self.by_host.values().flatten();
    let mut priorities = routes
      .filter(|route| matches!(route.kind, RouteKind::Stream { .. }) && route.leads_to(service))
      .map(|route| route.priority);
    let Some(first) = priorities.next() else {
      return false;
    };
    priorities.any(|priority| priority != first)
  }

  /// Whether the operator ranks the callers of any service of engines: see
  /// [`has_ranked_streams`](Self::has_ranked_streams).
  ///
  /// ```
  /// # use rillford::gateway::{CallerLimits, EngineSpec, Route, RouteKind, RouteTable, ServiceSpec, WeightedService};
  /// # let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_ms: 1, idle_ms: 1 };
  /// # let stream = |name: &str, priority| Route {
  /// #   name: name.into(),
  /// #   host: "lectures.example".into(),
  /// #   path_prefix: format!("/{name}/").as_str().into(),
  /// #   kind: RouteKind::Stream { resumable: false },
  /// #   timeout_ms: 4_000,
  /// #   target_ms: 900,
  /// #   priority,
  /// #   max_attempts: 1,
  /// #   allowed_regions: None,
  /// #   allows_anonymous: true,
  /// #   services: vec![WeightedService { service: "llm".into(), weight: 1 }],
  /// # };
  /// let engine = EngineSpec {
  ///   slots: 8,
  ///   kv_tokens: 60_000,
  ///   export_ttl_ms: 500,
  ///   reservation_ms: 2_000,
  ///   kv_token_bytes: None,
  ///   link_mbps: None,
  /// };
  /// let service = |engine| ServiceSpec { max_connections: 100, engine, cold_start: None };
  /// let table = |engine, urgent| {
  ///   let routes = vec![stream("appeal", urgent), stream("digest", 2)];
  ///   RouteTable::new(1, routes, [("llm".into(), service(engine))].into(), limits)
  /// };
  /// assert!(table(Some(engine), 0).ranks_streams());
  /// assert!(!table(Some(engine), 2).ranks_streams());
  /// assert!(!table(None, 0).ranks_streams());
  /// ```
  pub fn ranks_streams(&self) -> bool {
    let mut engine_services = self
      .services
      .iter()
      .filter(|(_, service)| service.engine.is_some());
    engine_services.any(|(name, _)| self.has_ranked_streams(name))
  }

  pub fn route_count(&self) -> usize {
    self.by_host.values().map(Vec::len).sum()
  }
}
