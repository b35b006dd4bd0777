//! Whether a request may still be sent; checked right before each stage is sent.

use {
  super::{request::RoutedRequest, send_mode::SendMode},
  crate::gateway::{
    decisions::{Fingerprint, QuarantineStrategy, QuarantineVerdict},
    edge::Stage,
    state::Gateway,
  },
};

impl RoutedRequest {
  /// Whether the request is quarantined and passes once, as a probe.
  pub(crate) fn is_probe(&self) -> bool {
    self.send_mode.get() != SendMode::Normal
  }

  /// Whether the request may be sent to no endpoint any more: it may have been quarantined while it was queued or running.
  pub(crate) fn is_blocked(&self, gateway: &Gateway) -> bool {
    match self.send_mode.get() {
      SendMode::Probe(_) => false,
      SendMode::ProbeSent => true,
      SendMode::Normal => is_quarantined(gateway, || self.fingerprint()),
    }
  }

  /// Whether the request's prompt may be sent to no prefill engine any more.
  pub(crate) fn is_prefill_blocked(&self, gateway: &Gateway) -> bool {
    is_quarantined(gateway, || self.prefill_fingerprint())
  }

  /// Claims the right to send one stage; `false` when the request is blocked.
  pub(super) fn begin_send(&self, gateway: &Gateway, stage: &Stage) -> bool {
    let is_prefill = *stage == Stage::Prefill;
    if self.is_blocked(gateway) || (is_prefill && self.is_prefill_blocked(gateway)) {
      return false;
    }
    if self.is_probe() {
      self.send_mode.set(SendMode::ProbeSent);
    }
    true
  }

  /// Undoes [`Self::begin_send`] for a stage that never reached its endpoint.
  pub(super) fn undo_send(&self, before: SendMode) {
    self.send_mode.set(before);
  }
}

/// Whether a fingerprint is quarantined. The fingerprint is computed only when the registry has entries.
fn is_quarantined(gateway: &Gateway, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
  let registry = gateway.quarantine.registry.borrow();
  if registry.is_empty() || gateway.settings.quarantine.strategy == QuarantineStrategy::Off {
    return false;
  }
  registry.verdict(fingerprint(), gateway.now_ms()) != QuarantineVerdict::Allowed
}
