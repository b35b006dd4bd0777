//! Settings of the quarantine of requests that crash endpoints.

use {crate::gateway::decisions::QuarantineStrategy, serde::Deserialize};

/// `[quarantine]` in the settings.
///
/// ```
/// use rillford::gateway::{QuarantineSettings, QuarantineStrategy};
/// assert_eq!(QuarantineSettings::default().strategy, QuarantineStrategy::Shared);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSettings {
  /// Whether requests are quarantined, and whether boxes share their records.
  #[serde(rename = "way")]
  pub strategy: QuarantineStrategy,
}
