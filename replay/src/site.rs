//! A site file: the deployment, its traffic and its days.

mod bounds;
mod check;
mod day;
mod impairment;
mod machines;
mod network;
mod request_class;
mod server_group;
mod timing;
mod traffic;

pub use self::{
  bounds::Bounds,
  day::{Closing, Day},
  impairment::Impairment,
  machines::Machines,
  network::Network,
  request_class::{Chain, Distribution, RequestClass, RequestKind, StreamShape},
  server_group::{EngineModel, Servers, Service},
  timing::Timing,
  traffic::{Shape, Traffic},
};

use {
  super::error::{Error, Result},
  serde::Deserialize,
  std::{path::Path, sync::Arc},
};

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
  /// Delays of the network.
  #[serde(default, rename = "net")]
  pub network: Network,
  /// Times of the system and of its clients.
  #[serde(default)]
  pub timing: Timing,
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

  /// The machines of a zone that carry the traffic.
  pub fn fronts_of(&self, zone: &str) -> Option<&Machines> {
    self.fronts().find(|machines| &*machines.zone == zone)
  }

  /// The region of a zone.
  pub fn region(&self, zone: &str) -> Option<&Arc<str>> {
    let zone = self.zones.iter().find(|of| &*of.name == zone);
    zone.map(|zone| &zone.region)
  }
}
