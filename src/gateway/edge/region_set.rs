//! The regions in which requests of a route or an organisation may be served.

use {super::decode_error::DecodeError, crate::ids::Name, std::collections::BTreeSet};

/// A set of one or more regions. Requests that are bound to it are served, cached and transferred only within it.
///
/// ```
/// use rillford::gateway::RegionSet;
/// let regions = RegionSet::new(["bern".into(), "zurich".into()]).unwrap();
/// assert!(regions.contains("bern") && !regions.contains("geneve"));
/// assert!(RegionSet::new([]).is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegionSet(BTreeSet<Name>);

impl RegionSet {
  /// Fails when `regions` is empty: no endpoint could serve such requests.
  pub fn new(regions: impl IntoIterator<Item = Name>) -> Result<Self, DecodeError> {
    let regions: BTreeSet<Name> = regions.into_iter().collect();
    if regions.is_empty() {
      return Err(DecodeError {
        message: "the list is empty".into(),
        what: "the allowed regions",
      });
    }
    Ok(Self(regions))
  }

  /// Whether a region is in the set.
  pub fn contains(&self, region: &str) -> bool {
    self.0.contains(region)
  }

  /// The regions' names.
  pub fn names(&self) -> impl Iterator<Item = &Name> {
    self.0.iter()
  }
}
