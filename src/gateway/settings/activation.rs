//! Whether a mechanism is enabled.

use serde::{Deserialize, Deserializer, de::Error};

/// When a mechanism that is off by default takes effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Activation {
  #[default]
  Never,
  /// Where the configuration, or what endpoints report, shows that it is needed.
  ByConfiguration,
  Always,
}

impl Activation {
  /// Whether the mechanism is enabled; `is_needed` is evaluated only where the configuration decides.
  ///
  /// ```
  /// use rillford::gateway::Activation;
  /// assert!(!Activation::Never.is_enabled(|| true));
  /// assert!(Activation::ByConfiguration.is_enabled(|| true));
  /// assert!(!Activation::ByConfiguration.is_enabled(|| false));
  /// assert!(Activation::Always.is_enabled(|| false));
  /// ```
  pub fn is_enabled(self, is_needed: impl FnOnce() -> bool) -> bool {
    match self {
      Self::Never => false,
      Self::ByConfiguration => is_needed(),
      Self::Always => true,
    }
  }

  /// Deserializes the value of a settings key, which is named in errors.
  pub(super) fn deserialize_key<'de, D: Deserializer<'de>>(
    key: &str,
    deserializer: D,
  ) -> Result<Self, D::Error> {
    let value = String::deserialize(deserializer)?;
    match value.as_str() {
      "never" => Ok(Self::Never),
      "by_configuration" => Ok(Self::ByConfiguration),
      "always" => Ok(Self::Always),
      other => Err(D::Error::custom(format!(
        "{key} must be \"never\", \"by_configuration\" or \"always\", not {other:?}"
      ))),
    }
  }
}
