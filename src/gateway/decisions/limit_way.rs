//! How organisations' limits are kept over all boxes.

use serde::Deserialize;

/// The ways that can be chosen under `[limits]` in the settings.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LimitWay {
  /// Each box keeps an even part of each limit, without a message.
  EvenParts,
  /// Boxes tell those that count what they have admitted, and admit by what was left when they last heard.
  ToldSums,
  /// The same, but that a box asks before it admits a request of an organisation that is short.
  #[default]
  AskedWhenShort,
}

impl LimitWay {
  /// Whether boxes tell each other of use.
  pub fn is_told(self) -> bool {
    match self {
      Self::EvenParts => false,
      Self::ToldSums | Self::AskedWhenShort => true,
    }
  }
}
