//! The kinds of endpoints.

/// The kind of an endpoint. An engine may switch its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointKind {
  /// A plain service.
  Plain,
  /// A prefill engine.
  Prefill,
  /// A decode engine.
  Decode,
}

impl EndpointKind {
  /// Name of the service that it belongs to.
  pub(crate) fn service(self) -> &'static str {
    match self {
      Self::Plain => "portal",
      Self::Prefill | Self::Decode => "llm",
    }
  }

  /// The engine's role in the platform's protocol.
  pub(crate) fn stage(self) -> Option<&'static str> {
    match self {
      Self::Plain => None,
      Self::Prefill => Some("prefill"),
      Self::Decode => Some("decode"),
    }
  }

  /// Parses an engine's role of the platform's protocol.
  pub(crate) fn from_stage(stage: &str) -> Option<Self> {
    [Self::Prefill, Self::Decode]
      .into_iter()
      .find(|kind| kind.stage() == Some(stage))
  }
}
