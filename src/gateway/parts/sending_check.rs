//! Whether a request may still be sent, asked right before each part goes out.

use {
  super::{request::RoutedRequest, sending::Sending},
  crate::gateway::{
    decisions::{Fingerprint, QuarantineStrategy, QuarantineVerdict},
    edge::Part,
    state::Gateway,
  },
};

impl RoutedRequest {
  /// Whether it is one that has ended endpoints, let pass once.
  pub(crate) fn is_trial(&self) -> bool {
    self.sending.get() != Sending::Usual
  }

  /// Whether no endpoint may be sent it any more: while it waited or ran, too many have ended with it or with one that is the same.
  pub(crate) fn is_barred(&self, gateway: &Gateway) -> bool {
    match self.sending.get() {
      Sending::Trial(_) => false,
      Sending::TrialSent => true,
      Sending::Usual => is_held(gateway, || self.fingerprint()),
    }
  }

  /// Whether no engine may be asked any more to read its prompt apart.
  pub(crate) fn is_reading_barred(&self, gateway: &Gateway) -> bool {
    is_held(gateway, || self.reading_fingerprint())
  }

  /// Takes a permit to send one part; `false` when there is none.
  pub(super) fn begin_sending(&self, gateway: &Gateway, part: &Part) -> bool {
    let is_reading = *part == Part::ReadPrompt;
    if self.is_barred(gateway) || (is_reading && self.is_reading_barred(gateway)) {
      return false;
    }
    if self.is_trial() {
      self.sending.set(Sending::TrialSent);
    }
    true
  }

  /// A part never reached its endpoint: its permit is there for the next one.
  pub(super) fn undo_sending(&self, before: Sending) {
    self.sending.set(before);
  }
}

/// Whether a fingerprint is held; it is worked out only when something is.
fn is_held(gateway: &Gateway, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
  let book = gateway.quarantine.registry.borrow();
  if book.is_empty() || gateway.settings.quarantine.way == QuarantineStrategy::Off {
    return false;
  }
  book.verdict(fingerprint(), gateway.now_ms()) != QuarantineVerdict::Allowed
}
