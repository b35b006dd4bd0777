//! The requests that crash endpoints, and whether they may still be sent. Free of I/O.
//!
//! Load pattern: one body crashes each engine that runs it within a tenth of a second, and its caller retries under another
//! id, at any box; an engine restarts within seconds. Dozens of innocent requests run beside it and are hit by the same
//! crash, so no single crash identifies the culprit. A request is quarantined once it was running in three crashed
//! incarnations without a success since. A quarantined request may run only as a probe, one at a time over all boxes. A
//! probe that succeeds clears the request, so that an innocent one is delayed by one run. A probe that crashes another
//! endpoint leads to the next probe, much later; after the last probe the request is rejected until it has not been seen for
//! [`RETENTION_MS`].
//!
//! Segments of prompts are tracked like requests. When several of a request's fingerprints are quarantined, a crash does not
//! show which of them is the cause, and a probe would use up those of the sound ones: it runs as a probe once, long after the
//! last crash. Other requests that share only the sound ones probe them before.
//!
//! Limits: three crashes are accepted, and three more after those; two probes leave one for a run that began before its box
//! had received the third crash.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    fingerprint::Fingerprint,
    quarantine_key::{QuarantineKey, QuarantineMark},
  },
  std::collections::{BTreeMap, HashMap},
};

/// Crashed incarnations from which on a request is quarantined.
const MAX_CRASHES: usize = 3;
/// Delays of the probes. The first runs at once: it clears innocent requests. The second runs after the crashed endpoints
/// have restarted and served others for some seconds.
const PROBE_DELAYS_MS: [u64; 2] = [0, 15_000];
/// The number of the probe of several at once, and its delay after the last crash.
const JOINT_PROBE: u32 = 3;
const JOINT_DELAY_MS: u64 = 15_000;
/// Retention of marks without a request.
pub(super) const RETENTION_MS: u64 = 600_000;
/// Age from which a mark is written again when its request comes in.
const REFRESH_MS: u64 = RETENTION_MS / 2;
/// Retry-after delay while a probe is in flight: most responses are complete within it.
const PROBE_WAIT_MS: u64 = 1_000;
/// Maximum number of tracked requests and segments, about 5 MB. A crash of an engine with 128 slots adds as many requests, and all
/// segments of their prompts that are not known to be sound.
const MAX_CASES: usize = 16_384;
/// Cases that are evicted at once, so that a long prompt does not search the registry for each of its segments.
const EVICTED_CASES: usize = MAX_CASES / 16;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
  /// Like any other request.
  Allowed,
  /// Once, by the box that claims the probe with this number.
  Probe {
    /// From 1.
    number: u32,
  },
  /// Not now.
  Quarantined {
    /// The retry-after delay.
    retry_after_ms: u64,
  },
}

/// The marks of one request, each with the time since when it stands.
#[derive(Clone, Debug, Default)]
struct Case {
  crashed: BTreeMap<EndpointIncarnation, u64>,
  probes: BTreeMap<u32, u64>,
}

impl Case {
  fn is_quarantined(&self) -> bool {
    self.crashed.len() >= MAX_CRASHES
  }

  fn newest_ms(&self) -> u64 {
    let times = self.crashed.values().chain(self.probes.values());
    times.copied().max().unwrap_or(0)
  }

  fn verdict(&self, now_ms: u64) -> QuarantineVerdict {
    if !self.is_quarantined() {
      return QuarantineVerdict::Allowed;
    }
    let latest = self.probes.range(..JOINT_PROBE).next_back();
    let (probes, since_ms) = latest.map_or((0, 0), |(number, at_ms)| (*number, *at_ms));
    let Some(delay_ms) = PROBE_DELAYS_MS.get(probes as usize) else {
      return QuarantineVerdict::Quarantined {
        retry_after_ms: RETENTION_MS,
      };
    };
    let remaining_ms = (since_ms + delay_ms).saturating_sub(now_ms);
    if remaining_ms == 0 {
      return QuarantineVerdict::Probe { number: probes + 1 };
    }
    // While the probe may still be running, its outcome is worth waiting for.
    let is_in_flight = now_ms < since_ms + PROBE_WAIT_MS;
    QuarantineVerdict::Quarantined {
      retry_after_ms: if is_in_flight {
        PROBE_WAIT_MS
      } else {
        remaining_ms
      },
    }
  }

  /// The verdict on a request of which others are quarantined too.
  fn joint_verdict(&self, now_ms: u64) -> QuarantineVerdict {
    if !self.is_quarantined() {
      return QuarantineVerdict::Allowed;
    }
    if self.probes.contains_key(&JOINT_PROBE) {
      return QuarantineVerdict::Quarantined {
        retry_after_ms: RETENTION_MS,
      };
    }
    let crashed_ms = self.crashed.values().copied().max().unwrap_or(0);
    match (crashed_ms + JOINT_DELAY_MS).saturating_sub(now_ms) {
      0 => QuarantineVerdict::Probe {
        number: JOINT_PROBE,
      },
      retry_after_ms => QuarantineVerdict::Quarantined { retry_after_ms },
    }
  }

  fn keys(&self, fingerprint: Fingerprint) -> Vec<QuarantineKey> {
    let crashed = self.crashed.keys().copied().map(QuarantineMark::Crashed);
    let probes = self.probes.keys().copied().map(QuarantineMark::Probe);
    crashed
      .chain(probes)
      .map(|mark| QuarantineKey { fingerprint, mark })
      .collect()
  }
}

/// The requests that were running in crashed endpoints, as this box and others observed.
///
/// ```
/// use rillford::gateway::{
///   EndpointIncarnation, Fingerprint, QuarantineKey, QuarantineMark, QuarantineRegistry, QuarantineVerdict,
///   RequestIdentity,
/// };
/// let fingerprint = Fingerprint::of(RequestIdentity {
///   body: b"prompt", host: "lectures.example", method: "POST", organisation: None, path: "/a/1",
/// });
/// let mut registry = QuarantineRegistry::default();
/// for started_ms in [1, 2, 3] {
///   assert_eq!(registry.verdict(fingerprint, 0), QuarantineVerdict::Allowed);
///   let mark = QuarantineMark::Crashed(EndpointIncarnation::of("e-1", Some(started_ms)));
///   registry.record(QuarantineKey { fingerprint, mark }, 0);
/// }
/// assert_eq!(registry.verdict(fingerprint, 0), QuarantineVerdict::Probe { number: 1 });
/// registry.clear(fingerprint);
/// assert_eq!(registry.verdict(fingerprint, 0), QuarantineVerdict::Allowed);
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuarantineRegistry {
  cases: HashMap<Fingerprint, Case>,
  evicted: u64,
}

impl QuarantineRegistry {
  /// Records a mark that this box made or received, and since when it stands; whether it is new.
  pub fn record(&mut self, key: QuarantineKey, since_ms: u64) -> bool {
    if !self.cases.contains_key(&key.fingerprint) && self.cases.len() >= MAX_CASES {
      self.evict_least_crashed();
    }
    let case = self.cases.entry(key.fingerprint).or_default();
    let before = match key.mark {
      QuarantineMark::Crashed(incarnation) => case.crashed.insert(incarnation, since_ms),
      QuarantineMark::Probe(number) => case.probes.insert(number, since_ms),
    };
    before.is_none()
  }

  pub fn remove(&mut self, key: QuarantineKey) {
    let Some(case) = self.cases.get_mut(&key.fingerprint) else {
      return;
    };
    match key.mark {
      QuarantineMark::Crashed(incarnation) => case.crashed.remove(&incarnation),
      QuarantineMark::Probe(number) => case.probes.remove(&number),
    };
    if case.crashed.is_empty() && case.probes.is_empty() {
      self.cases.remove(&key.fingerprint);
    }
  }

  /// Clears a request that succeeded; returns its marks.
  pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineKey> {
    let case = self.cases.remove(&fingerprint);
    case.map_or_else(Vec::new, |case| case.keys(fingerprint))
  }

  /// Evicts requests that were not seen for the retention period; returns their marks.
  pub fn expire(&mut self, now_ms: u64) -> Vec<QuarantineKey> {
    let is_old = |case: &Case| now_ms >= case.newest_ms() + RETENTION_MS;
    let old: Vec<Fingerprint> = self
      .cases
      .iter()
      .filter(|(_, case)| is_old(case))
      .map(|(fingerprint, _)| *fingerprint)
      .collect();
    old
      .into_iter()
      .flat_map(|fingerprint| self.clear(fingerprint))
      .collect()
  }

  /// Whether a request may be sent now.
  pub fn verdict(&self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineVerdict {
    match self.cases.get(&fingerprint) {
      Some(case) => case.verdict(now_ms),
      None => QuarantineVerdict::Allowed,
    }
  }

  /// The fingerprints of a request and its segments that are quarantined, with their verdicts.
  pub fn verdicts(
    &self,
    fingerprints: &[Fingerprint],
    now_ms: u64,
  ) -> Vec<(Fingerprint, QuarantineVerdict)> {
    let is_held = |fingerprint: &&Fingerprint| {
      let case = self.cases.get(fingerprint);
      case.is_some_and(Case::is_quarantined)
    };
    let held: Vec<Fingerprint> = fingerprints.iter().filter(is_held).copied().collect();
    let verdict = |fingerprint: Fingerprint| match (held.len(), self.cases.get(&fingerprint)) {
      (_, None) => QuarantineVerdict::Allowed,
      (1, Some(case)) => case.verdict(now_ms),
      (_, Some(case)) => case.joint_verdict(now_ms),
    };
    let with_verdict = |fingerprint: &Fingerprint| (*fingerprint, verdict(*fingerprint));
    held.iter().map(with_verdict).collect()
  }

  /// Since when an incarnation of an endpoint is known to have crashed with a request.
  pub fn crashed_since_ms(
    &self,
    fingerprint: Fingerprint,
    incarnation: EndpointIncarnation,
  ) -> Option<u64> {
    self
      .cases
      .get(&fingerprint)?
      .crashed
      .get(&incarnation)
      .copied()
  }

  /// The numbers of incarnations that crashed with a request, and of its probes.
  pub fn counts(&self, fingerprint: Fingerprint) -> (usize, usize) {
    let case = self.cases.get(&fingerprint);
    case.map_or((0, 0), |case| (case.crashed.len(), case.probes.len()))
  }

  /// Whether one more crash quarantines a request: before it is retried, the outcome of the last run has to be known.
  pub fn is_near_quarantine(&self, fingerprint: Fingerprint) -> bool {
    self.counts(fingerprint).0 + 1 >= MAX_CRASHES
  }

  /// The marks that have to be written again, now that a request came in.
  pub fn marks_to_refresh(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<QuarantineKey> {
    match self.cases.get(&fingerprint) {
      Some(case) if case.is_quarantined() && now_ms >= case.newest_ms() + REFRESH_MS => {
        case.keys(fingerprint)
      }
      _ => Vec::new(),
    }
  }

  pub fn keys(&self) -> Vec<QuarantineKey> {
    let cases = self.cases.iter();
    cases
      .flat_map(|(fingerprint, case)| case.keys(*fingerprint))
      .collect()
  }

  /// The number of tracked requests.
  pub fn len(&self) -> usize {
    self.cases.len()
  }

  /// The number of cases that were evicted for lack of room: their crashes no longer count.
  pub fn evicted(&self) -> u64 {
    self.evicted
  }

  /// The number of quarantined requests.
  pub fn quarantined(&self) -> usize {
    self
      .cases
      .values()
      .filter(|case| case.is_quarantined())
      .count()
  }

  /// Whether no request is tracked: then no fingerprint needs to be computed.
  pub fn is_empty(&self) -> bool {
    self.cases.is_empty()
  }

  /// Evicts the cases with the fewest crashes, the oldest of these.
  fn evict_least_crashed(&mut self) {
    let rank = |(fingerprint, case): (&Fingerprint, &Case)| {
      (case.crashed.len(), case.newest_ms(), *fingerprint)
    };
    let mut cases: Vec<(usize, u64, Fingerprint)> = self.cases.iter().map(rank).collect();
    let (least, _, _) = cases.select_nth_unstable(EVICTED_CASES);
    for (_, _, fingerprint) in least {
      self.cases.remove(fingerprint);
      self.evicted += 1;
    }
  }
}
