//! The report that the users' bench writes of one day, as far as an experiment needs it.

use serde::Deserialize;

/// The bench's report; its names are the bench's own.
#[derive(Debug, Deserialize)]
pub(super) struct BenchReport {
  /// The day's worth, prices taken off.
  #[serde(rename = "G")]
  pub(super) worth: f64,
  /// The part of what was owed that was earned over the whole day.
  #[serde(rename = "served")]
  pub(super) earned_share: f64,
  /// Rows of a price's name, its amount and what it takes from the worth.
  pub(super) prices: Vec<(String, f64, f64)>,
  /// The rules that were broken, in a form of the bench's own.
  pub(super) breaks: Vec<serde_json::Value>,
}
