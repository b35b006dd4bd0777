//! How organisations' limits are kept, and how closely.

use {
  crate::gateway::{decisions::LimitWay, edge::UsageLimit},
  serde::Deserialize,
};

/// Part of what the users' bound allows beyond a limit that is given to callers. The rest is for what is admitted in other
/// halls while their counts are on the way.
const GIVEN_SHARE: f64 = 0.25;

/// `[limits]` in the settings.
///
/// ```
/// use rillford::gateway::{LimitSettings, UsageLimit};
/// let settings = LimitSettings { overage: 0.5, slack_units: 400.0, ..LimitSettings::default() };
/// let kept = settings.kept(UsageLimit { burst: 1_000.0, rate_per_s: 100.0 });
/// assert_eq!(kept, UsageLimit { burst: 1_100.0, rate_per_s: 112.5 });
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
  /// How they are kept over all boxes.
  pub way: LimitWay,
  /// Part of a limit that use may go beyond it.
  pub overage: f64,
  /// Units that use may go beyond it besides, in the users' window.
  pub slack_units: f64,
}

impl LimitSettings {
  /// The limit that boxes keep: a little above the operators', so that callers who are inside it are not refused because
  /// counts of different boxes meet late.
  pub fn kept(&self, limit: UsageLimit) -> UsageLimit {
    UsageLimit {
      burst: limit.burst + self.slack_units * GIVEN_SHARE,
      rate_per_s: limit.rate_per_s * (1.0 + self.overage * GIVEN_SHARE),
    }
  }

  /// The first value that is out of bounds, and what is wrong with it.
  pub(super) fn mistake(&self) -> Option<(&'static str, &'static str)> {
    let values = [
      ("limits.overage", self.overage),
      ("limits.slack_units", self.slack_units),
    ];
    let wrong = values
      .into_iter()
      .find(|(_, value)| !value.is_finite() || *value < 0.0);
    wrong.map(|(key, _)| (key, "must be a number of 0 or more"))
  }
}
