//! What an endpoint is.

/// What an endpoint is; an engine may change its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndpointKind {
  /// A plain service.
  Plain,
  /// An engine that reads prompts.
  Prefill,
  /// An engine that writes answers.
  Decode,
}

impl EndpointKind {
  /// The service that it belongs to.
  pub(crate) fn service(self) -> &'static str {
    match self {
      Self::Plain => "portal",
      Self::Prefill | Self::Decode => "llm",
    }
  }

  /// An engine's role, as the platform spells it.
  pub(crate) fn stage(self) -> Option<&'static str> {
    match self {
      Self::Plain => None,
      Self::Prefill => Some("prefill"),
      Self::Decode => Some("decode"),
    }
  }

  /// The engine with a role that the platform spells so.
  pub(crate) fn from_stage(stage: &str) -> Option<Self> {
    [Self::Prefill, Self::Decode]
      .into_iter()
      .find(|kind| kind.stage() == Some(stage))
  }
}
