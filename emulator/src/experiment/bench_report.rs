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
  pub(super) breaks: RuleBreaks,
}

/// The rules that were broken: earlier benches list them, later ones name each with what broke it.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum RuleBreaks {
  List(Vec<serde_json::Value>),
  ByName(serde_json::Map<String, serde_json::Value>),
}

impl RuleBreaks {
  /// How many rules were broken.
  pub(super) fn len(&self) -> usize {
    match self {
      Self::List(list) => list.len(),
      Self::ByName(rules) => rules.len(),
    }
  }
}
