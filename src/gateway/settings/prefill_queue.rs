//! Settings of the queue reservations at prefill engines.

use {
  super::activation::Activation,
  serde::{Deserialize, Deserializer},
};

/// `[prefill_queue]` in the settings.
///
/// ```
/// use rillford::gateway::{Activation, PrefillQueueSettings};
/// assert_eq!(PrefillQueueSettings::default().enabled, Activation::Never);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PrefillQueueSettings {
  /// Whether boxes reserve a place in an engine's queue before they send it a prompt.
  #[serde(deserialize_with = "enabled")]
  pub enabled: Activation,
}

fn enabled<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Activation, D::Error> {
  Activation::deserialize_key("prefill_queue.enabled", deserializer)
}
