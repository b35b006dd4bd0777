//! How a request may be sent.

/// How a request may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Sending {
  /// As often as its route allows.
  #[default]
  Usual,
  /// Once, as the trial with this number.
  Trial(u32),
  /// The trial has been sent.
  TrialSent,
}
