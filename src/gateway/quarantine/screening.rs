//! Screens requests on arrival for quarantine, and lifts the quarantine when a request succeeds.

use {
  crate::gateway::{
    decisions::{
      Fingerprint, QuarantineKey, QuarantineMark, QuarantineStrategy, QuarantineVerdict,
    },
    stages::{RoutedRequest, SendMode},
    state::{Gateway, MarkOrigin},
  },
  std::rc::Rc,
};

/// Retry-after delay when another box holds the probe, or the store does not answer.
const CLAIM_RETRY_MS: u64 = 1_000;

/// A request was rejected because its fingerprint has crashed too many endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Quarantined {
  pub(crate) retry_after_ms: u64,
}

/// Lets a request pass, or claims a probe for it. A quarantined request is rejected at once and reaches no endpoint.
pub(crate) async fn screen(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
) -> Result<(), Quarantined> {
  let is_off = gateway.settings.quarantine.strategy == QuarantineStrategy::Off;
  if is_off || gateway.quarantine.registry.borrow().is_empty() {
    return Ok(());
  }
  let fingerprint = request.fingerprint();
  let now_ms = gateway.now_ms();
  let (verdict, due) = {
    let registry = gateway.quarantine.registry.borrow();
    (
      registry.verdict(fingerprint, now_ms),
      registry.marks_to_refresh(fingerprint, now_ms),
    )
  };
  refresh_marks(gateway, &due, now_ms);
  let quarantined = match verdict {
    QuarantineVerdict::Allowed => return Ok(()),
    QuarantineVerdict::Probe { number } => {
      if claim_probe(gateway, request, number).await {
        return Ok(());
      }
      Quarantined {
        retry_after_ms: CLAIM_RETRY_MS,
      }
    }
    QuarantineVerdict::Quarantined { retry_after_ms } => Quarantined { retry_after_ms },
  };
  gateway.counters.quarantined.inc();
  log_quarantined(gateway, request, quarantined);
  Err(quarantined)
}

/// Refreshes the marks of a fingerprint that is still requested, before they expire.
fn refresh_marks(gateway: &Gateway, due: &[QuarantineKey], now_ms: u64) {
  if due.is_empty() {
    return;
  }
  let mut registry = gateway.quarantine.registry.borrow_mut();
  for key in due {
    registry.record(*key, now_ms);
  }
  drop(registry);
  publish(gateway, due, false);
}

/// Claims a probe, unless another box holds it.
async fn claim_probe(gateway: &Gateway, request: &RoutedRequest, number: u32) -> bool {
  let key = QuarantineKey {
    fingerprint: request.fingerprint(),
    mark: QuarantineMark::Probe(number),
  };
  let is_own = match gateway.settings.quarantine.strategy {
    QuarantineStrategy::Off => false,
    QuarantineStrategy::OwnBox => true,
    QuarantineStrategy::Shared => gateway.quarantine.claim(key).await,
  };
  // Recorded either way: a probe that was not granted belongs to another box, or its holder is unknown.
  let now_ms = gateway.now_ms();
  gateway.quarantine.registry.borrow_mut().record(key, now_ms);
  if is_own {
    request.send_mode.set(SendMode::Probe(number));
    log::info!(
      "E530 probe {number}: {} ({})",
      request.id(),
      request.fingerprint()
    );
  }
  is_own
}

/// Logs a rejection with the data that it was based on, and its age.
fn log_quarantined(gateway: &Gateway, request: &RoutedRequest, quarantined: Quarantined) {
  let fingerprint = request.fingerprint();
  let (crashes, probes) = gateway.quarantine.registry.borrow().counts(fingerprint);
  let contact_ms = gateway.store_contact_ms.get();
  log::info!(
    "E529 quarantined: {} ({fingerprint}) after crashes of {crashes} endpoints and {probes} probes, last store contact {:?} ms ago, retry after {} ms",
    request.id(),
    contact_ms.map(|contact_ms| gateway.now_ms() - contact_ms),
    quarantined.retry_after_ms
  );
}

/// Releases the probe of a request that was sent to no endpoint.
pub(crate) fn release_unsent_probe(gateway: &Gateway, request: &RoutedRequest) {
  if let SendMode::Probe(number) = request.send_mode.get() {
    let key = QuarantineKey {
      fingerprint: request.fingerprint(),
      mark: QuarantineMark::Probe(number),
    };
    gateway.quarantine.registry.borrow_mut().remove(key);
    gateway.quarantine.remove(&[key]);
  }
}

/// Lifts the quarantine of a request, or of its prefill, that succeeded: earlier crashes had another cause. The mark of a single
/// crash stays, since it quarantines nothing and removing it costs a call to the store.
pub(crate) fn record_success(
  gateway: &Gateway,
  request: &RoutedRequest,
  fingerprint: impl FnOnce(&RoutedRequest) -> Fingerprint,
) {
  if gateway.quarantine.registry.borrow().is_empty() {
    return;
  }
  let fingerprint = fingerprint(request);
  let (crashes, probes) = gateway.quarantine.registry.borrow().counts(fingerprint);
  if crashes < 2 && probes == 0 {
    return;
  }
  let cleared = gateway.quarantine.registry.borrow_mut().clear(fingerprint);
  gateway.quarantine.remove(&cleared);
  log::info!(
    "E531 quarantine lifted: {} ({fingerprint}) succeeded after {crashes} crashes and {probes} probes",
    request.id()
  );
}

/// Publishes marks to the other boxes, where quarantine is shared.
pub(super) fn publish(gateway: &Gateway, keys: &[QuarantineKey], is_urgent: bool) {
  if gateway.settings.quarantine.strategy == QuarantineStrategy::Shared {
    gateway.quarantine.write(keys, MarkOrigin::Local, is_urgent);
  }
}
