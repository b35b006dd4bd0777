//! Whether a request may still be sent, asked right before each part goes out.

use {
  super::{request::RoutedRequest, sending::Sending},
  crate::gateway::{
    decisions::{QuarantineVerdict, QuarantineWay},
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
      Sending::Usual => self.is_held(gateway),
    }
  }

  fn is_held(&self, gateway: &Gateway) -> bool {
    if gateway.settings.quarantine.way == QuarantineWay::Off {
      return false;
    }
    let book = gateway.quarantine.book.borrow();
    if book.is_empty() {
      return false;
    }
    book.verdict(self.fingerprint(), gateway.now_ms()) != QuarantineVerdict::Free
  }

  /// Takes leave to send one part; `false` when there is none.
  pub(super) fn take_leave(&self, gateway: &Gateway) -> bool {
    if self.is_barred(gateway) {
      return false;
    }
    if self.is_trial() {
      self.sending.set(Sending::TrialSent);
    }
    true
  }

  /// A part that went out never reached its endpoint: a trial is still to be sent.
  pub(super) fn give_leave_back(&self, before: Sending) {
    self.sending.set(before);
  }
}
