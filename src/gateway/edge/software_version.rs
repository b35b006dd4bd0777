//! The version of an endpoint's software.

use {
  crate::ids::Name,
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// The version of an endpoint's software, as listed. Endpoints without a listed version count as of one version of their own.
///
/// ```
/// use rillford::gateway::SoftwareVersion;
/// assert_eq!(SoftwareVersion::new("v1").to_string(), "v1");
/// assert_eq!(SoftwareVersion::default().to_string(), "unlisted");
/// assert_ne!(SoftwareVersion::new("v1"), SoftwareVersion::default());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoftwareVersion(Option<Name>);

impl SoftwareVersion {
  /// A listed version.
  pub fn new(text: &str) -> Self {
    Self(Some(text.into()))
  }

  /// The listed text.
  ///
  /// ```
  /// use rillford::gateway::SoftwareVersion;
  /// assert_eq!(SoftwareVersion::new("v1").text(), Some("v1"));
  /// assert_eq!(SoftwareVersion::default().text(), None);
  /// ```
  pub fn text(&self) -> Option<&str> {
    self.0.as_deref()
  }
}

impl Display for SoftwareVersion {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(self.0.as_deref().unwrap_or("unlisted"))
  }
}
