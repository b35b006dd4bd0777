//! The parts of the bench's report that the bound is computed from.

use serde::Deserialize;

/// A time window of the day.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Window {
  /// Start, in seconds since the start of the day.
  #[serde(rename = "name")]
  pub from_s: String,
  /// Requests that arrived in the window.
  #[serde(rename = "n")]
  pub requests: u64,
  /// Fraction of the attainable worth that they earned.
  #[serde(rename = "worth")]
  pub earned: f64,
}

/// An injected fault.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Fault {
  /// Start, in seconds since the start of the day.
  pub at_s: f64,
  /// End, in seconds since the start of the day.
  pub to_s: f64,
  /// Kind, with a variant in brackets.
  pub kind: String,
}

/// The report of a simulated day.
///
/// ```
/// use emulator::bound::DayReport;
/// let text = r#"{"windows": [{"name": "0", "n": 9, "worth": 0.9}], "events": [], "other": 1}"#;
/// let report = DayReport::parse(text).unwrap();
/// assert_eq!(report.windows[0].requests, 9);
/// assert!(DayReport::parse("{}").unwrap_err().contains("windows"));
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DayReport {
  /// Windows by start.
  pub windows: Vec<Window>,
  /// Faults by start.
  #[serde(rename = "events")]
  pub faults: Vec<Fault>,
}

impl DayReport {
  /// Parses a report from JSON. The error names the field that is missing or invalid.
  pub fn parse(text: &str) -> Result<Self, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
  }
}
