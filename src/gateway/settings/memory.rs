//! Settings of the box's memory.

use {crate::ids::Name, serde::Deserialize};

/// The smallest memory of a box, in megabytes: the process takes up to 50 without what it holds for callers.
const MIN_BOX_MB: f64 = 64.0;

/// `[memory]` in the settings.
///
/// ```
/// use rillford::gateway::MemorySettings;
/// let everywhere = MemorySettings { box_mb: Some(88.0), ..MemorySettings::default() };
/// assert_eq!(everywhere.bounded_mb(), Some(88.0));
/// let under_a_rule = MemorySettings { only_under: Some("slow-readers".into()), ..everywhere };
/// assert_eq!(under_a_rule.bounded_mb(), None);
/// let in_force = MemorySettings { rules: vec!["slow-readers".into()], ..under_a_rule };
/// assert_eq!(in_force.bounded_mb(), Some(88.0));
/// ```
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySettings {
  /// The box's memory in megabytes; without it, the bytes that the box holds have no bound.
  pub box_mb: Option<f64>,
  /// The name of the deployment's rule under which the bytes are bounded; without it, they always are.
  pub only_under: Option<Name>,
  /// The names of the deployment's rules in force.
  pub rules: Vec<Name>,
}

impl MemorySettings {
  /// The memory, in megabytes, by which held bytes are bounded; `None` when they have no bound.
  pub fn bounded_mb(&self) -> Option<f64> {
    let rule = self.only_under.as_ref();
    let applies = rule.is_none_or(|rule| self.rules.contains(rule));
    self.box_mb.filter(|_| applies)
  }

  /// The first value that is out of range, as its key and a message.
  pub(super) fn validation_error(&self) -> Option<(&'static str, &'static str)> {
    let is_valid = |box_mb: f64| box_mb.is_finite() && box_mb >= MIN_BOX_MB;
    match self.box_mb {
      Some(box_mb) if !is_valid(box_mb) => {
        Some(("memory.box_mb", "must be a number of 64 or more"))
      }
      _ => None,
    }
  }
}
