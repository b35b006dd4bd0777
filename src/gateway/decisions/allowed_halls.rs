//! The data halls whose endpoints may serve a request. Free of I/O.

use {
  crate::{gateway::edge::RegionSet, ids::Name},
  std::collections::{BTreeMap, BTreeSet},
};

/// The halls in the allowed regions of a request.
///
/// ```
/// use {rillford::gateway::{AllowedHalls, RegionSet}, std::collections::BTreeMap};
/// let regions = BTreeMap::from([("bern-a".into(), "bern".into()), ("geneve-a".into(), "geneve".into())]);
/// let bern = RegionSet::new(["bern".into()]).unwrap();
/// let halls = AllowedHalls::of(&regions, [Some(&bern), None]);
/// assert!(halls.contains("bern-a") && !halls.contains("geneve-a") && !halls.contains("unknown"));
/// assert!(AllowedHalls::of(&regions, [None, None]).contains("unknown"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum AllowedHalls {
  /// Any hall.
  #[default]
  Any,
  /// Only these; a hall whose region is unknown is never among them.
  Only(BTreeSet<Name>),
}

impl AllowedHalls {
  /// The halls whose region is allowed by everyone who restricts regions. `regions` has the region of each hall.
  pub fn of<'a>(
    regions: &BTreeMap<Name, Name>,
    homes: impl IntoIterator<Item = Option<&'a RegionSet>>,
  ) -> Self {
    let homes: Vec<&RegionSet> = homes.into_iter().flatten().collect();
    if homes.is_empty() {
      return Self::Any;
    }
    let is_allowed = |region: &Name| homes.iter().all(|homes| homes.contains(region));
    let halls = regions.iter().filter(|(_, region)| is_allowed(region));
    Self::Only(halls.map(|(hall, _)| hall.clone()).collect())
  }

  /// Whether endpoints of a hall may serve the request.
  pub fn contains(&self, hall: &str) -> bool {
    match self {
      Self::Any => true,
      Self::Only(halls) => halls.contains(hall),
    }
  }
}
