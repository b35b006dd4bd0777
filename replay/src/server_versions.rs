//! Which version of its software each server has.

use {
  super::{selection::Selection, server::Stage},
  std::{
    collections::HashMap,
    str::FromStr,
    sync::{Mutex, MutexGuard, PoisonError},
  },
};

/// Number of the draw of the first engines, apart from those of starts.
const FIRST_ENGINES: u64 = 1 << 32;

/// A version of the software of servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoftwareVersion {
  /// The one that all servers have unless a release or both versions are played.
  V1,
  /// The other one.
  V2,
}

impl SoftwareVersion {
  /// Its name in entries and reports.
  pub fn name(self) -> &'static str {
    match self {
      Self::V1 => "v1",
      Self::V2 => "v2",
    }
  }

  /// The version that a release brings in its place.
  pub fn other(self) -> Self {
    match self {
      Self::V1 => Self::V2,
      Self::V2 => Self::V1,
    }
  }
}

/// The versions that engines of a service have at the same time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServedVersions {
  /// One, but for a release.
  #[default]
  One,
  /// Both, for the whole day.
  Both,
}

impl FromStr for ServedVersions {
  type Err = String;

  fn from_str(text: &str) -> Result<Self, String> {
    match text {
      "one" => Ok(Self::One),
      "both" => Ok(Self::Both),
      _ => Err(format!("{text} is neither one nor both")),
    }
  }
}

/// The version of the next server at each place. A place is named by its index.
///
/// ```
/// use replay::{ServedVersions, ServerVersions, SoftwareVersion, Stage};
///
/// let versions = ServerVersions::new(ServedVersions::Both, 7);
/// versions.plan_first(&[(0, Stage::Decode), (1, Stage::Decode)]);
/// let first = versions.next(0, Some(Stage::Decode), 0, &[]);
/// assert_eq!(versions.next(1, Some(Stage::Decode), 1, &[0]), first.other());
/// ```
#[derive(Debug)]
pub struct ServerVersions {
  served: ServedVersions,
  seed: u64,
  places: Mutex<PlaceVersions>,
}

#[derive(Debug, Default)]
struct PlaceVersions {
  /// That of each place's last server.
  last: HashMap<usize, SoftwareVersion>,
  /// Those of next servers that are settled.
  planned: HashMap<usize, SoftwareVersion>,
}

impl PlaceVersions {
  fn last(&self, place: usize) -> SoftwareVersion {
    let last = self.last.get(&place).copied();
    last.unwrap_or(SoftwareVersion::V1)
  }

  /// The version of all servers at these places; `None` if they differ, or there are none.
  fn only(&self, places: &[usize]) -> Option<SoftwareVersion> {
    let (first, rest) = places.split_first()?;
    let version = self.last(*first);
    let is_only = rest.iter().all(|place| self.last(*place) == version);
    is_only.then_some(version)
  }
}

impl ServerVersions {
  /// Versions of which the seed settles those that are drawn.
  pub fn new(served: ServedVersions, seed: u64) -> Self {
    Self {
      places: Mutex::default(),
      seed,
      served,
    }
  }

  /// Settles the versions of a service's first engines: with both versions, half of those of each stage have either.
  pub fn plan_first(&self, engines: &[(usize, Stage)]) {
    if self.served == ServedVersions::One {
      return;
    }
    let mut engines = self.draw(FIRST_ENGINES).shuffled(engines.to_vec());
    engines.sort_by_key(|(_, stage)| stage.name());
    let mut version = SoftwareVersion::V1;
    for (place, _) in engines {
      self.places().planned.insert(place, version);
      version = version.other();
    }
  }

  /// The version of the server that starts at a place. `stage` is `None` for a plain service, `start` the number of the start among those
  /// of all servers, `others` the places of the service's servers that stay.
  pub fn next(
    &self,
    place: usize,
    stage: Option<Stage>,
    start: u64,
    others: &[usize],
  ) -> SoftwareVersion {
    let mut places = self.places();
    let planned = places.planned.remove(&place);
    let version = planned.unwrap_or_else(|| match (self.served, stage) {
      (ServedVersions::One, _) | (_, None) => places.last(place),
      (ServedVersions::Both, Some(_)) => self.drawn(start, places.only(others)),
    });
    places.last.insert(place, version);
    version
  }

  /// A version that leaves both in service.
  fn drawn(&self, start: u64, only: Option<SoftwareVersion>) -> SoftwareVersion {
    let either = [SoftwareVersion::V1, SoftwareVersion::V2];
    let drawn = self.draw(start).one_of(&either);
    let missing = only.map(SoftwareVersion::other);
    missing.or(drawn).unwrap_or(SoftwareVersion::V1)
  }

  /// The next server at a place has the version of the last one at another place.
  pub fn plan_same(&self, place: usize, as_at: usize) {
    let mut places = self.places();
    let version = places.last(as_at);
    places.planned.insert(place, version);
  }

  /// A release replaces the server at a place by one at the place beside it. `others` are the places of the service's other servers that
  /// stay.
  pub fn plan_release(&self, place: usize, beside: usize, others: &[usize]) {
    let mut places = self.places();
    let released = places.last(place).other();
    let takes_last = self.served == ServedVersions::Both && places.only(others) == Some(released);
    let version = if takes_last {
      released.other()
    } else {
      released
    };
    places.planned.insert(beside, version);
  }

  /// Draws apart from those of impairments.
  fn draw(&self, number: u64) -> Selection {
    Selection::new(!self.seed, number)
  }

  fn places(&self) -> MutexGuard<'_, PlaceVersions> {
    // Each change is one insertion or removal.
    self.places.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
