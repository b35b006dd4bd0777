//! Why a prompt is sent without a place.

/// Why no place was reserved. The prompt's engine is then chosen by what this box knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum NoPlace {
  /// Places are not used for the service.
  #[error("off")]
  Off,
  /// No prefill engine of the service is listed in the hall.
  #[error("no engine")]
  NoEngine,
  /// No box is listed in the engines' hall.
  #[error("no coordinator")]
  NoCoordinator,
  /// The coordinator did not answer a recent request.
  #[error("coordinator skipped")]
  Skipped,
  /// The coordinator did not answer in time, or could not be reached.
  #[error("no answer")]
  NoAnswer,
  /// The coordinator does not grant places, or not for this group.
  #[error("not supported")]
  NotSupported,
  /// The coordinator granted none.
  #[error("none granted")]
  NotGranted,
  /// The granted engine is unknown to this box, leaving, cold or limited.
  #[error("engine unavailable")]
  EngineUnavailable,
}

impl NoPlace {
  /// Whether the groups of other halls may be asked instead.
  pub(super) fn may_ask_others(self) -> bool {
    matches!(self, Self::NoEngine | Self::NotGranted)
  }

  /// The value of the reason in metrics.
  pub(super) fn label(self) -> &'static str {
    match self {
      Self::Off => "off",
      Self::NoEngine => "no_engine",
      Self::NoCoordinator => "no_coordinator",
      Self::Skipped => "skipped",
      Self::NoAnswer => "no_answer",
      Self::NotSupported => "not_supported",
      Self::NotGranted => "not_granted",
      Self::EngineUnavailable => "engine_unavailable",
    }
  }
}
