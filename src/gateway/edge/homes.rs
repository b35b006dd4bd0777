//! The regions in which requests of a route or an organisation may be served.

use {super::decode_error::DecodeError, crate::ids::Name, std::collections::BTreeSet};

/// One region or more; what is served there, kept there or moved goes to no other.
///
/// ```
/// use rillford::gateway::Homes;
/// let homes = Homes::new(["bern".into(), "zurich".into()]).unwrap();
/// assert!(homes.contains("bern") && !homes.contains("geneve"));
/// assert!(Homes::new([]).is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Homes(BTreeSet<Name>);

impl Homes {
  /// The homes with these names. Fails when there is none: nothing could be served.
  pub fn new(regions: impl IntoIterator<Item = Name>) -> Result<Self, DecodeError> {
    let regions: BTreeSet<Name> = regions.into_iter().collect();
    if regions.is_empty() {
      return Err(DecodeError {
        message: "a list of regions is empty".into(),
        what: "the homes",
      });
    }
    Ok(Self(regions))
  }

  /// Whether a region is one of them.
  pub fn contains(&self, region: &str) -> bool {
    self.0.contains(region)
  }

  /// Their names.
  pub fn names(&self) -> impl Iterator<Item = &Name> {
    self.0.iter()
  }
}
