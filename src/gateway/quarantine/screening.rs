//! Screens requests on arrival for quarantine, and lifts the quarantine when a request succeeds.

use {
  crate::{
    gateway::{
      decisions::{
        Fingerprint, QuarantineKey, QuarantineMark, QuarantineStrategy, QuarantineVerdict,
      },
      stages::{RoutedRequest, SendMode},
      state::{Gateway, MarkOrigin, ProbeGrant},
    },
    observe::unix_ms,
  },
  std::rc::Rc,
};

/// Fingerprints of one request that are logged.
const MAX_LOGGED: usize = 8;
/// Retry-after delay when another box holds the probe, or the store does not answer.
const CLAIM_RETRY_MS: u64 = 1_000;

/// A request was rejected because its fingerprint has crashed too many endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Quarantined {
  pub(crate) retry_after_ms: u64,
}

/// Lets a request pass, or claims probes for it and the segments of its prompt. A quarantined one is rejected at once and reaches
/// no endpoint.
pub(crate) async fn screen(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
) -> Result<(), Quarantined> {
  let is_off = gateway.settings.quarantine.strategy == QuarantineStrategy::Off;
  if is_off || gateway.quarantine.registry.borrow().is_empty() {
    return Ok(());
  }
  clear_sound_segments(gateway, request);
  let mut due = Vec::new();
  for (fingerprint, verdict) in held_fingerprints(gateway, request) {
    match verdict {
      QuarantineVerdict::Allowed => {}
      QuarantineVerdict::Probe { number } => due.push((fingerprint, number)),
      QuarantineVerdict::Quarantined { retry_after_ms } => {
        return Err(reject(gateway, request, fingerprint, retry_after_ms));
      }
    }
  }
  if let Some((fingerprint, _)) = due.first().copied()
    && !claim_probes(gateway, request, &due).await
  {
    return Err(reject(gateway, request, fingerprint, CLAIM_RETRY_MS));
  }
  Ok(())
}

/// Those of a request and its segments that are quarantined, with their verdicts. Refreshes their marks.
fn held_fingerprints(
  gateway: &Gateway,
  request: &RoutedRequest,
) -> Vec<(Fingerprint, QuarantineVerdict)> {
  let now_ms = gateway.now_ms();
  let mut fingerprints = vec![request.fingerprint()];
  fingerprints.extend(request.segment_fingerprints().iter());
  fingerprints.dedup();
  let (held, due) = {
    let registry = gateway.quarantine.registry.borrow();
    let due = fingerprints
      .iter()
      .flat_map(|fingerprint| registry.marks_to_refresh(*fingerprint, now_ms));
    (
      registry.verdicts(&fingerprints, now_ms),
      due.collect::<Vec<_>>(),
    )
  };
  refresh_marks(gateway, &due, now_ms);
  held
}

/// Lifts the quarantine of segments on which endpoints answered this box lately: other boxes may have blamed them without having
/// seen that.
fn clear_sound_segments(gateway: &Gateway, request: &RoutedRequest) {
  let now_ms = gateway.now_ms();
  let sound: Vec<Fingerprint> = {
    let sound = gateway.quarantine.sound.borrow();
    let segments = request.segment_fingerprints();
    let answered = segments
      .iter()
      .filter(|segment| sound.contains(**segment, now_ms));
    answered.copied().collect()
  };
  lift(gateway, request, &sound);
}

fn reject(
  gateway: &Gateway,
  request: &RoutedRequest,
  fingerprint: Fingerprint,
  retry_after_ms: u64,
) -> Quarantined {
  let quarantined = Quarantined { retry_after_ms };
  gateway.counters.quarantined.inc();
  log_quarantined(gateway, request, fingerprint, quarantined);
  quarantined
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
  let mut suspects = gateway.quarantine.suspects.borrow_mut();
  let marks = suspects.refresh(due, unix_ms());
  drop(suspects);
  publish(gateway, &marks, false);
}

/// Claims the probes of a request and its segments, unless another box holds one of them or the store does not answer. Such a claim
/// may be made again after a while: one that took effect all the same arrives as a mark.
async fn claim_probes(
  gateway: &Gateway,
  request: &RoutedRequest,
  due: &[(Fingerprint, u32)],
) -> bool {
  let key = |(fingerprint, number): &(Fingerprint, u32)| QuarantineKey {
    fingerprint: *fingerprint,
    mark: QuarantineMark::Probe(*number),
  };
  let keys: Vec<QuarantineKey> = due.iter().map(key).collect();
  let quarantine = &gateway.quarantine;
  if gateway.now_ms() < quarantine.claims_paused_until_ms.get() {
    return false;
  }
  let grant = match gateway.settings.quarantine.strategy {
    QuarantineStrategy::Off => ProbeGrant::Taken,
    QuarantineStrategy::OwnBox => ProbeGrant::Granted,
    QuarantineStrategy::Shared => quarantine.claim(keys.clone()).await,
  };
  let now_ms = gateway.now_ms();
  match grant {
    ProbeGrant::Granted => {}
    ProbeGrant::Taken => {
      // Which of several is held arrives as a mark.
      if let [key] = keys[..] {
        quarantine.registry.borrow_mut().record(key, now_ms);
      }
      return false;
    }
    ProbeGrant::Unknown => {
      let until_ms = now_ms + CLAIM_RETRY_MS;
      quarantine.claims_paused_until_ms.set(until_ms);
      return false;
    }
  }
  let mut registry = quarantine.registry.borrow_mut();
  for key in &keys {
    registry.record(*key, now_ms);
  }
  drop(registry);
  request.send_mode.set(SendMode::Probe);
  request.probes.borrow_mut().extend(&keys);
  for (fingerprint, number) in due.iter().take(MAX_LOGGED) {
    log::info!(
      "E530 probe {number}: {} ({fingerprint}), one of {}",
      request.id(),
      due.len()
    );
  }
  true
}

/// Logs a rejection with the data that it was based on, and its age.
fn log_quarantined(
  gateway: &Gateway,
  request: &RoutedRequest,
  fingerprint: Fingerprint,
  quarantined: Quarantined,
) {
  let (crashes, probes) = gateway.quarantine.registry.borrow().counts(fingerprint);
  let contact_ms = gateway.store_contact_ms.get();
  let held = if fingerprint == request.fingerprint() {
    "request"
  } else {
    "segment"
  };
  log::info!(
    "E529 quarantined: {} ({held} {fingerprint}) after crashes of {crashes} endpoints and {probes} probes, last store contact {:?} ms ago, retry after {} ms",
    request.id(),
    contact_ms.map(|contact_ms| gateway.now_ms() - contact_ms),
    quarantined.retry_after_ms
  );
}

/// Releases the probes of a request that was sent to no endpoint.
pub(crate) fn release_unsent_probe(gateway: &Gateway, request: &RoutedRequest) {
  if request.send_mode.get() == SendMode::Probe {
    release_probes(gateway, request);
  }
}

fn release_probes(gateway: &Gateway, request: &RoutedRequest) {
  request.send_mode.set(SendMode::Normal);
  let keys = request.probes.take();
  if keys.is_empty() {
    return;
  }
  for key in &keys {
    gateway.quarantine.registry.borrow_mut().remove(*key);
  }
  gateway.quarantine.remove(&keys);
}

/// Lifts the quarantine of a request, or of its prefill, that succeeded: earlier crashes had another cause.
pub(crate) fn record_success(
  gateway: &Gateway,
  request: &RoutedRequest,
  fingerprint: impl FnOnce(&RoutedRequest) -> Fingerprint,
) {
  if !gateway.quarantine.registry.borrow().is_empty() {
    lift(gateway, request, &[fingerprint(request)]);
  }
}

/// Records that an endpoint answered on the segments of a prompt, and lifts their quarantine.
pub(crate) fn record_sound_segments(
  gateway: &Gateway,
  request: &RoutedRequest,
  segments: impl FnOnce(&RoutedRequest) -> Rc<[Fingerprint]>,
) {
  let now_ms = gateway.now_ms();
  let quarantine = &gateway.quarantine;
  let segments = segments(request);
  let mut sound = quarantine.sound.borrow_mut();
  for segment in segments.iter() {
    sound.record(*segment, now_ms);
  }
  drop(sound);
  quarantine.log_lack_of_room(now_ms);
  lift(gateway, request, &segments);
}

/// Removes the marks of a request or of segments on which an endpoint answered. The mark of a single crash stays, since it
/// quarantines nothing and removing it costs a call to the store.
fn lift(gateway: &Gateway, request: &RoutedRequest, fingerprints: &[Fingerprint]) {
  let marked: Vec<(Fingerprint, (usize, usize))> = {
    let registry = gateway.quarantine.registry.borrow();
    let counts = |fingerprint: &Fingerprint| (*fingerprint, registry.counts(*fingerprint));
    let counted = fingerprints.iter().map(counts);
    counted
      .filter(|(_, (crashes, probes))| *crashes > 1 || *probes > 0)
      .collect()
  };
  if marked.is_empty() {
    return;
  }
  let now_ms = gateway.now_ms();
  for (fingerprint, (crashes, probes)) in marked.iter().take(MAX_LOGGED) {
    let sound = gateway.quarantine.sound.borrow();
    let answered_ms = sound.answered_ms(*fingerprint, now_ms).unwrap_or(now_ms);
    log::info!(
      "E531 quarantine lifted: {} ({fingerprint}) after {crashes} crashes and {probes} probes, answered {} ms ago, one of {}",
      request.id(),
      now_ms - answered_ms,
      marked.len()
    );
  }
  let lifted = marked.iter().map(|(fingerprint, _)| *fingerprint);
  gateway.quarantine.clear(&lifted.collect());
}

/// Publishes marks to the other boxes, where quarantine is shared.
pub(super) fn publish(gateway: &Gateway, keys: &[QuarantineKey], is_urgent: bool) {
  if gateway.settings.quarantine.strategy == QuarantineStrategy::Shared {
    gateway.quarantine.write(keys, MarkOrigin::Local, is_urgent);
  }
}
