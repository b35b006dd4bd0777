//! Settings of the box's memory.

use serde::Deserialize;

/// The smallest memory of a box, in megabytes: the process takes up to 50 without what it holds for callers.
const MIN_BOX_MB: f64 = 64.0;

/// `[memory]` in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySettings {
  /// The box's memory in megabytes; without it, the bytes that the box holds have no bound.
  pub box_mb: Option<f64>,
}

impl MemorySettings {
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
