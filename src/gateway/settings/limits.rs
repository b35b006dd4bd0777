//! Settings of the enforcement of organisations' limits.

use {
  super::activation::Activation,
  crate::gateway::{decisions::LimitStrategy, edge::UsageLimit},
  serde::{Deserialize, Deserializer},
};

/// Fraction of the allowed overage that is added to the enforced limit. The rest covers requests that other halls admit before
/// their usage is reported.
const ENFORCED_OVERAGE_SHARE: f64 = 0.25;

/// `[limits]` in the settings.
///
/// ```
/// use rillford::gateway::{LimitSettings, UsageLimit};
/// let settings = LimitSettings { overage: 0.5, slack_units: 400.0, ..LimitSettings::default() };
/// let enforced = settings.enforced(UsageLimit { burst: 1_000.0, rate_per_s: 100.0 });
/// assert_eq!(enforced, UsageLimit { burst: 1_100.0, rate_per_s: 112.5 });
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
  /// How limits are enforced across all boxes.
  #[serde(rename = "way")]
  pub strategy: LimitStrategy,
  /// Allowed overage, as a fraction of the limit.
  pub overage: f64,
  /// Additional units of allowed overage per window.
  pub slack_units: f64,
  /// When small and urgent requests of an organisation go first at its limit.
  #[serde(deserialize_with = "fair_shares")]
  pub fair_shares: Activation,
  /// When rejected callers are told to return in an order, and what can't be served is rejected at once.
  #[serde(deserialize_with = "return_order")]
  pub return_order: Activation,
}

impl LimitSettings {
  /// The limit that boxes enforce: slightly above the configured one, so that callers within their limit are not rejected because
  /// boxes report usage late.
  pub fn enforced(&self, limit: UsageLimit) -> UsageLimit {
    UsageLimit {
      burst: limit.burst + self.slack_units * ENFORCED_OVERAGE_SHARE,
      rate_per_s: limit.rate_per_s * (1.0 + self.overage * ENFORCED_OVERAGE_SHARE),
    }
  }

  /// The first value that is out of range, as its key and a message.
  pub(super) fn validation_error(&self) -> Option<(&'static str, &'static str)> {
    let values = [
      ("limits.overage", self.overage),
      ("limits.slack_units", self.slack_units),
    ];
    let invalid = values
      .into_iter()
      .find(|(_, value)| !value.is_finite() || *value < 0.0);
    invalid.map(|(key, _)| (key, "must be a number of 0 or more"))
  }
}

fn fair_shares<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Activation, D::Error> {
  Activation::deserialize_key("limits.fair_shares", deserializer)
}

fn return_order<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Activation, D::Error> {
  Activation::deserialize_key("limits.return_order", deserializer)
}
