//! Strategies of boxes for the choice of a prefill engine.

/// How a box chooses a prefill engine. The report prints the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefillStrategy {
  /// By what it knows of each engine: its own prompts there and the load that the engine reported with its last response.
  Registry,
  /// It asks two random engines of the decode engine's hall for their queues, and takes the shorter one.
  TwoAsked,
  /// Each engine's time is divided in advance into slots, which boxes own in turn. It takes the next of its slots.
  SlotsInAdvance,
  /// It asks the coordinator of the engines for a place.
  Coordinators,
}

impl PrefillStrategy {
  /// All strategies, in the order of reports.
  pub const ALL: [Self; 4] = [
    Self::Registry,
    Self::TwoAsked,
    Self::SlotsInAdvance,
    Self::Coordinators,
  ];
}
