//! The parts of the bench's report that the bound is worked out from.

use serde::Deserialize;

/// A stretch of some seconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Window {
  /// The second at which it begins.
  #[serde(rename = "name")]
  pub from_s: String,
  /// Requests that came in it.
  #[serde(rename = "n")]
  pub asked: u64,
  /// What they earned of what they owed.
  #[serde(rename = "worth")]
  pub earned: f64,
}

/// What went wrong.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Fault {
  /// When it began.
  pub at_s: f64,
  /// When it ended.
  pub to_s: f64,
  /// Its kind, with a variant in brackets.
  pub kind: String,
}

/// A day.
///
/// ```
/// use emulator::bound::DayReport;
/// let text = r#"{"windows": [{"name": "0", "n": 9, "worth": 0.9}], "events": [], "other": 1}"#;
/// let report = DayReport::parse(text).unwrap();
/// assert_eq!(report.windows[0].asked, 9);
/// assert!(DayReport::parse("{}").unwrap_err().contains("windows"));
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DayReport {
  /// Its stretches in order.
  pub windows: Vec<Window>,
  /// Its faults in order.
  #[serde(rename = "events")]
  pub faults: Vec<Fault>,
}

impl DayReport {
  /// Reads a report.
  pub fn parse(text: &str) -> Result<Self, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
  }
}
