//! Where the kinds of requests are found.

use {
  super::{name_draws::NameDraws, site::Site},
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  std::{collections::BTreeMap, sync::Arc},
};

/// Number of the sequence of draws.
const STREAM: u64 = 41;

/// The host and path prefix of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutePlace {
  /// The host.
  pub host: Arc<str>,
  /// The path prefix, which begins and ends with a slash.
  pub path_prefix: Arc<str>,
}

/// The routes of the kinds of requests, drawn anew for each seed. No two kinds share a path prefix.
#[derive(Clone, Debug, Default)]
pub struct Routes {
  places: BTreeMap<Arc<str>, RoutePlace>,
}

impl Routes {
  /// Draws the routes of a site: a host for each service, a path prefix for each kind of request.
  pub fn draw(site: &Site, seed: u64) -> Self {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    draws.set_stream(STREAM);
    let mut names = NameDraws::new(draws, []);
    let services = site.services.iter();
    let hosts: BTreeMap<Arc<str>, Arc<str>> = services
      .map(|service| (service.name.clone(), names.host()))
      .collect();
    let places = site.classes.iter().filter_map(|class| {
      let place = RoutePlace {
        host: hosts.get(&class.service)?.clone(),
        path_prefix: names.path_prefix(),
      };
      Some((class.name.clone(), place))
    });
    Self {
      places: places.collect(),
    }
  }

  /// The route of a kind of request.
  pub fn get(&self, class: &str) -> Option<&RoutePlace> {
    self.places.get(class)
  }

  /// The kind of request of a host and a path.
  pub fn class_of(&self, host: &str, path: &str) -> Option<&Arc<str>> {
    let found = self
      .places
      .iter()
      .find(|(_, place)| &*place.host == host && path.starts_with(&*place.path_prefix));
    found.map(|(class, _)| class)
  }

  /// The routes, by their kinds of requests.
  pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &RoutePlace)> {
    self.places.iter()
  }
}
