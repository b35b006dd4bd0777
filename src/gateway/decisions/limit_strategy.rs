//! How organisations' limits are enforced over all boxes.

use serde::Deserialize;

/// The values of `way` under `[limits]` in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub enum LimitStrategy {
  /// Each box enforces an even share of each limit, without messages.
  #[serde(rename = "even_parts")]
  EvenSplit,
  /// Boxes report admitted units to the coordinators, and admit by the remaining units in the last response.
  #[serde(rename = "told_sums")]
  ReportedTotals,
  /// Like `ReportedTotals`, but a box asks a coordinator before it admits a request of an organisation near its limit.
  #[default]
  #[serde(rename = "asked_when_short")]
  AskNearLimit,
}

impl LimitStrategy {
  /// Whether boxes report usage to coordinators.
  pub fn uses_coordinators(self) -> bool {
    match self {
      Self::EvenSplit => false,
      Self::ReportedTotals | Self::AskNearLimit => true,
    }
  }
}
