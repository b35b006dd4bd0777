//! The data halls whose endpoints may be sent a request. Free of I/O.

use {
  crate::{gateway::edge::RegionSet, ids::Name},
  std::collections::{BTreeMap, BTreeSet},
};

/// The halls that a request's homes leave.
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
  /// These alone; a hall whose region is not known is none of them.
  Only(BTreeSet<Name>),
}

impl AllowedHalls {
  /// The halls whose regions are homes of all who have any. `regions` has each hall's.
  pub fn of<'a>(
    regions: &BTreeMap<Name, Name>,
    homes: impl IntoIterator<Item = Option<&'a RegionSet>>,
  ) -> Self {
    let homes: Vec<&RegionSet> = homes.into_iter().flatten().collect();
    if homes.is_empty() {
      return Self::Any;
    }
    let is_home = |region: &Name| homes.iter().all(|homes| homes.contains(region));
    let halls = regions.iter().filter(|(_, region)| is_home(region));
    Self::Only(halls.map(|(hall, _)| hall.clone()).collect())
  }

  /// Whether a hall's endpoints may be sent the request.
  pub fn contains(&self, hall: &str) -> bool {
    match self {
      Self::Any => true,
      Self::Only(halls) => halls.contains(hall),
    }
  }
}
