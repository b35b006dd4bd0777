//! A site file: the deployment, its traffic and its days.

mod day;
mod impairment;
mod request_class;
mod server_group;
mod traffic;

pub use self::{
  day::{Closing, Day},
  impairment::Impairment,
  request_class::{Distribution, RequestClass, RequestKind, StreamShape},
  server_group::{EngineModel, Servers, Service},
  traffic::{Shape, Traffic},
};

use {
  super::error::{Error, Result},
  serde::Deserialize,
  std::{path::Path, sync::Arc},
};

/// The machines of a class in a zone.
#[derive(Clone, Debug, Deserialize)]
pub struct Machines {
  /// The class; `front` machines carry the traffic.
  pub class: Arc<str>,
  /// The zone.
  pub zone: Arc<str>,
  /// Number of machines.
  pub count: usize,
  /// Machines that may be added during a day.
  #[serde(default)]
  pub spare: usize,
  /// Share of a core.
  pub cpu_share: f64,
  /// Cores that a process sees.
  pub cores: u32,
  /// Memory of a process.
  pub memory_mb: u64,
  /// File descriptors of a process.
  pub fds: u64,
  /// Bandwidth of the machine.
  pub link_mbps: f64,
}

/// A zone.
#[derive(Clone, Debug, Deserialize)]
pub struct Zone {
  /// Its name.
  pub name: Arc<str>,
  /// Its region.
  pub region: Arc<str>,
}

/// How servers keep themselves in the store.
#[derive(Clone, Debug, Deserialize)]
pub struct Discovery {
  /// Interval of a server's writes.
  pub beat_ms: u64,
  /// Delay until a change is in the store.
  pub lag_ms: u64,
}

/// The rates of the store.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
  /// Writing calls a second of all nodes.
  pub writes_per_s: f64,
  /// Reading calls a second of all nodes.
  pub reads_per_s: f64,
}

/// Limits of the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Configuration {
  /// Routes that nobody uses.
  #[serde(default)]
  pub idle_routes: usize,
  /// Largest body.
  pub body_bytes: u64,
}

/// Losses that the deployment has to bear.
#[derive(Clone, Debug, Deserialize)]
pub struct Tolerate {
  /// Machines.
  pub machines: usize,
  /// Zones.
  pub zones: usize,
  /// Regions.
  pub regions: usize,
}

/// Bounds of the rules.
#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
  /// Time until a server that leaves gets no more requests.
  pub drain_ms: u64,
  /// Time until a configuration is in force.
  pub config_ms: u64,
  /// Time of undisturbed work after which a machine counts as in touch.
  pub touch_ms: u64,
  /// Time that a process has to stop.
  pub grace_s: f64,
  /// Time until requests are served again after the last fault.
  pub recover_s: f64,
  /// Retries beside the share of the requests.
  pub budget_slack: f64,
  /// Whether servers check fences.
  #[serde(default)]
  pub fenced: bool,
}

/// A deployment, its traffic and its days. Fields that are not read here are passed over.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
  /// Its name, which stands in the report only.
  pub name: Arc<str>,
  /// The parts of the rules in force.
  pub contracts: Vec<Arc<str>>,
  /// Length of a day's traffic.
  pub length_s: f64,
  /// Its zones.
  pub zones: Vec<Zone>,
  /// Its machines.
  pub machines: Vec<Machines>,
  /// Its services.
  pub services: Vec<Service>,
  /// The kinds of requests.
  pub classes: Vec<RequestClass>,
  /// The usual traffic.
  pub traffic: Vec<Traffic>,
  /// What drawn days may hold.
  #[serde(default)]
  pub troubles: Vec<Impairment>,
  /// Discovery of servers.
  pub discovery: Discovery,
  /// The store.
  pub platform: Platform,
  /// Limits of the configuration.
  pub config: Configuration,
  /// Losses to bear.
  pub tolerate: Tolerate,
  /// Bounds of the rules.
  pub bounds: Bounds,
  /// The standard days.
  #[serde(default, rename = "day")]
  pub days: Vec<Day>,
}

impl Site {
  /// Reads a site file. Fails if it can't be read, is no TOML, lacks a field, or names what it does not define.
  pub fn read(path: &Path) -> Result<Self> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
      path: path.into(),
      source,
    })?;
    Self::parse(&text).map_err(|reason| Error::Site {
      path: path.into(),
      reason,
    })
  }

  /// Parses the text of a site file.
  pub fn parse(text: &str) -> std::result::Result<Self, String> {
    let site: Self = toml::from_str(text).map_err(|error| error.to_string())?;
    site.check()?;
    Ok(site)
  }

  /// The standard day of a name.
  pub fn day(&self, name: &str) -> Option<&Day> {
    self.days.iter().find(|day| &*day.name == name)
  }

  /// The kind of request of a name.
  pub fn class(&self, name: &str) -> Option<&RequestClass> {
    self.classes.iter().find(|class| &*class.name == name)
  }

  /// The service of a name.
  pub fn service(&self, name: &str) -> Option<&Service> {
    self.services.iter().find(|service| &*service.name == name)
  }

  /// The machines that carry the traffic.
  pub fn fronts(&self) -> impl Iterator<Item = &Machines> {
    self.machines.iter().filter(|of| &*of.class == "front")
  }

  fn check(&self) -> std::result::Result<(), String> {
    let zones = |name: &str| self.zones.iter().any(|zone| &*zone.name == name);
    if self.fronts().map(|of| of.count).sum::<usize>() == 0 {
      return Err("no front machines".into());
    }
    for class in &self.classes {
      let service = &class.service;
      if self.service(service).is_none() {
        return Err(format!("class {}: no service {service}", class.name));
      }
    }
    for machines in self.machines.iter().filter(|of| !zones(&of.zone)) {
      return Err(format!("machines: no zone {}", machines.zone));
    }
    let days = self.days.iter().filter_map(|day| day.traffic.as_ref());
    for traffic in self.traffic.iter().chain(days.flatten()) {
      if !zones(&traffic.zone) {
        return Err(format!("traffic: no zone {}", traffic.zone));
      }
      for class in traffic.mix.keys().filter(|name| self.class(name).is_none()) {
        return Err(format!("traffic: no class {class}"));
      }
    }
    Ok(())
  }
}
