//! What is done about requests that end endpoints.

use {crate::gateway::decisions::QuarantineStrategy, serde::Deserialize};

/// `[quarantine]` in the settings.
///
/// ```
/// use rillford::gateway::{QuarantineSettings, QuarantineStrategy};
/// assert_eq!(QuarantineSettings::default().way, QuarantineStrategy::Shared);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSettings {
  /// How far boxes share what they know.
  pub way: QuarantineStrategy,
}
