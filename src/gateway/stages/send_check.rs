//! Whether a request may still be sent; checked right before each stage is sent.

use {
  super::{request::RoutedRequest, send_mode::SendMode},
  crate::gateway::{
    decisions::{Fingerprint, QuarantineStrategy, QuarantineVerdict},
    edge::Stage,
    state::Gateway,
  },
  std::rc::Rc,
};

impl RoutedRequest {
  /// Whether the request is quarantined and passes once, as a probe.
  pub(crate) fn is_probe(&self) -> bool {
    self.send_mode.get() != SendMode::Normal
  }

  /// Whether the request may be sent to no endpoint any more: it may have been quarantined while it was queued or running.
  pub(crate) fn is_blocked(&self, gateway: &Gateway) -> bool {
    match self.send_mode.get() {
      SendMode::Probe => false,
      SendMode::ProbeSent => true,
      SendMode::Normal => is_quarantined(gateway, || {
        (self.fingerprint(), self.segment_fingerprints())
      }),
    }
  }

  /// Whether the request's prompt may be sent to no prefill engine any more.
  pub(crate) fn is_prefill_blocked(&self, gateway: &Gateway) -> bool {
    is_quarantined(gateway, || {
      (
        self.prefill_fingerprint(),
        self.prefill_segment_fingerprints(),
      )
    })
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

/// Whether a request or a segment of its prompt is quarantined. Fingerprints are computed only when the registry has entries.
fn is_quarantined(
  gateway: &Gateway,
  fingerprints: impl FnOnce() -> (Fingerprint, Rc<[Fingerprint]>),
) -> bool {
  let quarantine = &gateway.quarantine;
  let registry = quarantine.registry.borrow();
  if registry.is_empty() || gateway.settings.quarantine.strategy == QuarantineStrategy::Off {
    return false;
  }
  let (request, segments) = fingerprints();
  let now_ms = gateway.now_ms();
  let is_held = |fingerprint| registry.verdict(fingerprint, now_ms) != QuarantineVerdict::Allowed;
  let sound = quarantine.sound.borrow();
  is_held(request)
    || segments
      .iter()
      .any(|segment| is_held(*segment) && !sound.contains(*segment, now_ms))
}
