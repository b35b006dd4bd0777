//! How organisations' limits are kept over all boxes.

use serde::Deserialize;

/// The ways that can be chosen under `[limits]` in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub enum LimitStrategy {
  /// Each box keeps an even part of each limit, without a message.
  #[serde(rename = "even_parts")]
  EvenSplit,
  /// Boxes tell those that count what they have admitted, and admit by what was left when they last heard.
  #[serde(rename = "told_sums")]
  ReportedTotals,
  /// The same, but that a box asks before it admits a request of an organisation that is short.
  #[default]
  #[serde(rename = "asked_when_short")]
  AskNearLimit,
}

impl LimitStrategy {
  /// Whether boxes tell each other of use.
  pub fn uses_coordinators(self) -> bool {
    match self {
      Self::EvenSplit => false,
      Self::ReportedTotals | Self::AskNearLimit => true,
    }
  }
}
