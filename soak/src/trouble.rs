//! The kinds of trouble that deployments report.

/// A kind of trouble.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
  /// Endpoints lose responses and close their connections in order.
  AnswersLost,
  /// Endpoints lose responses and reset their connections.
  AnswersReset,
  /// All boxes are killed at once.
  AllBoxesKilled,
  /// Boxes are cut off from the store.
  BoxesCutOff,
  /// Boxes are suspended.
  BoxesFrozen,
  /// More than half of the boxes are killed at once.
  BoxesHerded,
  /// A few boxes are killed.
  BoxesKilled,
  /// Boxes are reloaded in turn.
  BoxesReloaded,
  /// Boxes run slowly.
  BoxesSlow,
  /// Boxes stop as planned in turn.
  BoxesStopped,
  /// Callers send twice as often.
  Burst,
  /// One new configuration.
  ConfigurationChanged,
  /// Configurations in a row.
  ConfigurationStorm,
  /// Endpoints crash.
  EnginesCrashed,
  /// Endpoints hang, shed load or are slow.
  EnginesGrey,
  /// Engines leave for a while.
  EnginesRemoved,
  /// Callers leave before the first event.
  GiveUp,
  /// A hall is cut off.
  HallCutOff,
  /// Connections of endpoints are slow, as if packets were lost.
  Lossy,
  /// Prompts that were read are kept for a short time.
  PromptsShort,
  /// Another version of the engines' software is released.
  Release,
  /// Callers repeat at once.
  RetryAbuse,
  /// The store forgets its history.
  StoreCompacted,
  /// The store is down, and entries may go.
  StoreDown,
  /// The store's responses are lost.
  StoreLost,
  /// The store is slow.
  StoreSlow,
  /// Endpoints send bytes that are no response.
  StrayNoise,
  /// Endpoints send a second response at once.
  StrayAtOnce,
  /// Endpoints send a second response in the place of the next one.
  StrayLate,
  /// Callers of a hall go to boxes of another one.
  CallersShifted,
  /// A configuration with many more routes.
  ConfigurationGrown,
  /// A box is replaced by one at other addresses.
  BoxReplaced,
  /// Prompts move to decode engines slowly.
  MovesSlow,
  /// Engines act late on role orders that they do not answer.
  OrdersLate,
}

impl Trouble {
  /// What is drawn apart from other kinds, so that these stay.
  pub(crate) const APART: &[Self] = &[
    Self::CallersShifted,
    Self::ConfigurationGrown,
    Self::BoxReplaced,
    Self::MovesSlow,
    Self::OrdersLate,
  ];

  /// What all deployments report.
  pub(crate) const COMMON: &[Self] = &[
    Self::AnswersLost,
    Self::AnswersReset,
    Self::BoxesCutOff,
    Self::BoxesKilled,
    Self::BoxesStopped,
    Self::Burst,
    Self::ConfigurationChanged,
    Self::EnginesCrashed,
    Self::EnginesGrey,
    Self::EnginesRemoved,
    Self::GiveUp,
    Self::HallCutOff,
    Self::Lossy,
    Self::PromptsShort,
    Self::Release,
    Self::RetryAbuse,
    Self::StoreCompacted,
    Self::StoreDown,
    Self::StoreLost,
    Self::StoreSlow,
    Self::StrayNoise,
    Self::StrayAtOnce,
    Self::StrayLate,
  ];
}
