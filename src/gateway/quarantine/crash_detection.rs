//! Detects whether an endpoint crashed when a stage of a request was lost there, and attributes the crash to the request.

use {
  super::screening::publish,
  crate::gateway::{
    connections::{Liveness, probe},
    decisions::{
      EndpointIncarnation, Fingerprint, QuarantineKey, QuarantineMark, QuarantineStrategy,
    },
    edge::EndpointEntry,
    stages::RoutedRequest,
    state::Gateway,
  },
  std::{cmp::Reverse, rc::Rc, time::Duration},
  tokio::{task::spawn_local, time::sleep},
};

/// Segments of a prompt that are logged.
const MAX_LOGGED: usize = 8;
/// A crash at the beginning of an answer is attributed to the segments of its prompt.
const BEGINNING_MS: u64 = 500;

/// An endpoint registers as it starts, and its entry reaches a box within this time.
const ENTRY_TIMEOUT_MS: u64 = 1_000;
const ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A stage of a request that was lost after it had been sent.
#[derive(Clone, Debug)]
pub(crate) struct LostStage {
  /// The endpoint as it was when the stage was sent.
  pub(crate) entry: EndpointEntry,
  pub(crate) sent_ms: u64,
  pub(crate) error: String,
  /// The same for all attempts of the same stage.
  pub(crate) fingerprint: Fingerprint,
  /// Those of the segments of its prompt.
  pub(crate) segments: Rc<[Fingerprint]>,
  /// For how long the endpoint had been answering; `None` when no byte of the body had arrived.
  pub(crate) answering_ms: Option<u64>,
}

/// Whether an endpoint has answered for so long that a crash has another cause than the segments of the prompt.
pub(crate) fn is_past_beginning(answering_ms: u64) -> bool {
  answering_ms >= BEGINNING_MS
}

/// Finds out whether an endpoint crashed on a stage of a request, and publishes that. Waits for the result only when this crash
/// may quarantine the request: that has to be known before the request is sent again.
pub(crate) async fn record_lost_stage(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  lost: LostStage,
) {
  let is_near = is_near_quarantine(gateway, &lost);
  // A task of its own: it completes even when the caller disconnects.
  let examined = spawn_local(examine(gateway.clone(), request.clone(), lost));
  if is_near && let Err(error) = examined.await {
    log::error!("E528 lost stage not examined: {error}");
  }
}

/// Finds out whether an endpoint that is silent crashed on a stage of a request, if this crash may quarantine the request: that has
/// to be known before the request is sent again.
pub(crate) async fn record_silent_stage(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  silent: LostStage,
) {
  if is_near_quarantine(gateway, &silent) {
    record_lost_stage(gateway, request, silent).await;
  }
}

/// Whether a crash on a stage may quarantine its request or a segment of its prompt.
fn is_near_quarantine(gateway: &Gateway, lost: &LostStage) -> bool {
  let registry = gateway.quarantine.registry.borrow();
  let fingerprints = [lost.fingerprint];
  let mut suspects = fingerprints.iter().chain(lost.segments.iter());
  !registry.is_empty() && suspects.any(|suspect| registry.is_near_quarantine(*suspect))
}

async fn examine(gateway: Rc<Gateway>, request: Rc<RoutedRequest>, lost: LostStage) {
  let ran_ms = gateway.now_ms() - lost.sent_ms;
  let liveness = endpoint_liveness(&gateway, &lost.entry).await;
  let LostStage {
    answering_ms,
    entry,
    error,
    fingerprint,
    segments,
    sent_ms,
  } = lost;
  log::info!(
    "E528 stage lost: {} ({fingerprint}) at {} started {:?}, {ran_ms} ms after it was sent, answering for {answering_ms:?} ms: {error}; endpoint {liveness}, segments {}",
    request.id(),
    entry.id,
    entry.started_ms,
    fingerprint_list(segments.iter())
  );
  match liveness {
    Liveness::Terminated | Liveness::Closing => {}
    Liveness::Alive | Liveness::Unknown => return,
  }
  gateway.counters.lost_with_endpoint.inc();
  if gateway.settings.quarantine.strategy != QuarantineStrategy::Off {
    let incarnation = reached_incarnation(&gateway, &entry, fingerprint, sent_ms).await;
    record_crash(&gateway, fingerprint, incarnation);
    if !answering_ms.is_some_and(is_past_beginning) {
      blame_segments(&gateway, &request, &segments, incarnation);
    }
  }
}

/// Attributes a crash to the segments of a prompt, but for those on which endpoints answered lately.
fn blame_segments(
  gateway: &Gateway,
  request: &RoutedRequest,
  segments: &[Fingerprint],
  incarnation: EndpointIncarnation,
) {
  let now_ms = gateway.now_ms();
  let quarantine = &gateway.quarantine;
  let mark = QuarantineMark::Crashed(incarnation);
  let mut suspected = segments.to_vec();
  suspected.retain(|segment| !quarantine.sound.borrow().contains(*segment, now_ms));
  let mut new = suspected.clone();
  new.retain(|fingerprint| {
    let key = QuarantineKey {
      fingerprint: *fingerprint,
      mark,
    };
    quarantine.registry.borrow_mut().record(key, now_ms)
  });
  quarantine.log_lack_of_room(now_ms);
  if !new.is_empty() && gateway.settings.quarantine.strategy == QuarantineStrategy::Shared {
    // Requests that share a segment may each be at another box, so that the first crash is published at once too.
    quarantine.write_suspects(incarnation, &new);
  }
  log_suspected(gateway, request, &suspected, incarnation);
}

/// Logs the segments that are suspected of a crash, those of the most crashes first.
fn log_suspected(
  gateway: &Gateway,
  request: &RoutedRequest,
  suspected: &[Fingerprint],
  incarnation: EndpointIncarnation,
) {
  let registry = gateway.quarantine.registry.borrow();
  let counted = suspected
    .iter()
    .map(|segment| (registry.counts(*segment), *segment));
  let mut counted: Vec<((usize, usize), Fingerprint)> = counted.collect();
  counted.sort_unstable_by_key(|(counts, _)| Reverse(*counts));
  for ((crashes, probes), segment) in counted.iter().take(MAX_LOGGED) {
    log::info!(
      "E563 segment suspected: {segment} of {} after crashes of {crashes} endpoints and {probes} probes, the last {}, one of {} suspected",
      request.id(),
      incarnation.key(),
      suspected.len()
    );
  }
}

/// The incarnation of an endpoint that a stage reached. When the chosen one had terminated before the stage was sent, it was the
/// next one, which may not be registered yet; its crash must not be taken for the known one.
async fn reached_incarnation(
  gateway: &Gateway,
  chosen: &EndpointEntry,
  fingerprint: Fingerprint,
  sent_ms: u64,
) -> EndpointIncarnation {
  let incarnation = EndpointIncarnation::of(&chosen.id, chosen.started_ms);
  let crashed_ms = gateway
    .quarantine
    .registry
    .borrow()
    .crashed_since_ms(fingerprint, incarnation);
  if crashed_ms.is_none_or(|crashed_ms| sent_ms <= crashed_ms) {
    return incarnation;
  }
  let until_ms = gateway.now_ms() + ENTRY_TIMEOUT_MS;
  loop {
    let started_ms = gateway
      .endpoints
      .borrow()
      .entry(&chosen.id)
      .and_then(|current| current.started_ms);
    if started_ms.is_some() && started_ms != chosen.started_ms {
      return EndpointIncarnation::of(&chosen.id, started_ms);
    }
    if gateway.now_ms() >= until_ms {
      return incarnation;
    }
    sleep(ENTRY_POLL_INTERVAL).await;
  }
}

/// Records that an incarnation of an endpoint crashed on a request.
fn record_crash(gateway: &Gateway, fingerprint: Fingerprint, incarnation: EndpointIncarnation) {
  let key = QuarantineKey {
    fingerprint,
    mark: QuarantineMark::Crashed(incarnation),
  };
  let now_ms = gateway.now_ms();
  let mut registry = gateway.quarantine.registry.borrow_mut();
  if !registry.record(key, now_ms) {
    return;
  }
  // Most requests see a single crash, which need not be published at once.
  let is_urgent = registry.counts(key.fingerprint).0 > 1;
  drop(registry);
  publish(gateway, &[key], is_urgent);
}

/// Finds out whether an endpoint has terminated.
async fn endpoint_liveness(gateway: &Gateway, entry: &EndpointEntry) -> Liveness {
  let (is_leaving, started_ms) = {
    let endpoints = gateway.endpoints.borrow();
    match endpoints.entry(&entry.id) {
      Some(current) => (
        endpoints.is_leaving(current, gateway.now_ms()),
        current.started_ms,
      ),
      None => return Liveness::Unknown,
    }
  };
  if is_leaving {
    return Liveness::Unknown;
  }
  if started_ms != entry.started_ms {
    return Liveness::Terminated;
  }
  probe(entry.address).await
}

/// The first fingerprints separated by spaces, and the number of further ones, for logs.
fn fingerprint_list<'a>(fingerprints: impl ExactSizeIterator<Item = &'a Fingerprint>) -> String {
  let further = fingerprints.len().saturating_sub(MAX_LOGGED);
  let mut texts: Vec<String> = fingerprints
    .take(MAX_LOGGED)
    .map(Fingerprint::to_string)
    .collect();
  if further > 0 {
    texts.push(format!("and {further} more"));
  }
  texts.join(" ")
}
