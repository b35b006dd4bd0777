//! The routes of a replay: where the requests of each kind go.

use {
  super::site::Site,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{collections::BTreeMap, sync::Arc},
};

/// Number of the random stream.
const RANDOM_STREAM: u64 = 0x726f_7574;

/// Where the requests of a kind go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutePlace {
  /// The host.
  pub host: Arc<str>,
  /// Beginning of the path, with a slash at either end.
  pub path_prefix: Arc<str>,
}

/// The routes of a replay, by the name of the kind of request.
#[derive(Clone, Debug, Default)]
pub struct Routes(BTreeMap<Arc<str>, RoutePlace>);

impl Routes {
  /// Draws a route for each kind of request. No two are the same.
  pub fn draw(site: &Site, seed: u64) -> Self {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(RANDOM_STREAM);
    let host: Arc<str> = format!("h{:05x}.example", random.random_range(0..0x10_0000)).into();
    let classes = site.classes.iter().enumerate();
    let places = classes.map(|(index, class)| {
      let draw: u16 = random.random();
      let place = RoutePlace {
        host: host.clone(),
        path_prefix: format!("/r{index}{draw:04x}/").into(),
      };
      (class.name.clone(), place)
    });
    Self(places.collect())
  }

  /// Where the requests of a kind go.
  pub fn get(&self, class: &str) -> Option<&RoutePlace> {
    self.0.get(class)
  }
}
