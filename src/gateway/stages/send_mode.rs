//! How often a request may be sent.

/// How often a request may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum SendMode {
  /// As often as its route allows.
  #[default]
  Normal,
  /// Once, as the quarantine probe with this number.
  Probe(u32),
  /// The probe has been sent.
  ProbeSent,
}
