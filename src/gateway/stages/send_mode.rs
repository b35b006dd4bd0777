//! How often a request may be sent.

/// How often a request may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum SendMode {
  /// As often as its route allows.
  #[default]
  Normal,
  /// Once, as a quarantine probe.
  Probe,
  /// The probe has been sent.
  ProbeSent,
}
