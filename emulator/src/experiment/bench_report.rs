//! The fields that an experiment reads from the report that the users' bench writes of one simulated day.

use serde::Deserialize;

/// Report of one simulated day, with the bench's JSON names.
#[derive(Debug, Deserialize)]
pub(super) struct BenchReport {
  /// Worth of the day, after deduction of prices.
  #[serde(rename = "G")]
  pub(super) worth: f64,
  /// Fraction of the attainable worth that was earned over the whole day.
  #[serde(rename = "served")]
  pub(super) earned_share: f64,
  /// Prices as name, amount and deduction from the worth.
  pub(super) prices: Vec<(String, f64, f64)>,
  /// Violated rules.
  #[serde(rename = "breaks")]
  pub(super) violations: RuleViolations,
}

/// Violated rules: a list in the reports of older benches, a map from rule to details in newer ones.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum RuleViolations {
  List(Vec<serde_json::Value>),
  ByName(serde_json::Map<String, serde_json::Value>),
}

impl RuleViolations {
  /// Number of violated rules.
  pub(super) fn len(&self) -> usize {
    match self {
      Self::List(list) => list.len(),
      Self::ByName(rules) => rules.len(),
    }
  }
}
