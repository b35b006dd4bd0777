//! Which requests have ended endpoints, and whether they may still be sent. Free of I/O.
//!
//! Load pattern: one body ends each engine that runs it, within a tenth of a second, and its caller comes again under another id,
//! at any box; an engine is back after seconds. Dozens of innocent requests run beside it, and share its engine's end. So no
//! single end says who was at fault. A request is held once it was there at the end of three lives of endpoints and has not come to
//! an end of its own since: an innocent one has to meet three ends in a row for that. Held means one run at a time, over
//! all boxes: a trial. One that comes back whole clears the request, so that an innocent one is held for as long as one run
//! takes. One that ends a further endpoint leads to the next trial, much later; after the last, nothing is sent until nobody has asked
//! for it for [`RETENTION_MS`].
//!
//! Limits: three ends are what the users allow before it is a fault. They allow three more after that; two trials leave one for a
//! run that began before its box had heard of the third end.

use {
  super::{
    endpoint_incarnation::EndpointIncarnation,
    fingerprint::Fingerprint,
    quarantine_key::{QuarantineKey, QuarantineMark},
  },
  std::collections::{BTreeMap, HashMap},
};

/// Lives of endpoints that end with a request before it is held.
const MAX_CRASHES: usize = 3;
/// Pauses before the probes. The first comes at once: it frees the innocent, whose endpoints went for another reason. The second
/// comes after the endpoints that the request ended are back and have served others for some seconds.
const PROBE_DELAYS_MS: [u64; 2] = [0, 15_000];
/// How long something is kept that nobody asks for.
const RETENTION_MS: u64 = 600_000;
/// A mark this old is written anew when its request is asked for.
const REFRESH_MS: u64 = RETENTION_MS / 2;
/// Callers of a request that is being tried come back after this: most answers are whole within it.
const PROBE_WAIT_MS: u64 = 1_000;
/// Requests that are kept: 1 MB. An engine with 128 seats that ends adds as many at the most.
const MAX_REQUESTS: usize = 4_096;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
  /// As any other.
  Allowed,
  /// Once, by the box that takes the trial with this number.
  Probe {
    /// From 1.
    number: u32,
  },
  /// Not now.
  Quarantined {
    /// When it may be asked for again.
    retry_after_ms: u64,
  },
}

/// What is known of one request, each with the time since when it stands.
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
    let latest = self.probes.last_key_value();
    let (taken, since_ms) = latest.map_or((0, 0), |(number, at_ms)| (*number, *at_ms));
    let Some(pause_ms) = PROBE_DELAYS_MS.get(taken as usize) else {
      return QuarantineVerdict::Quarantined {
        retry_after_ms: RETENTION_MS,
      };
    };
    let left_ms = (since_ms + pause_ms).saturating_sub(now_ms);
    if left_ms == 0 {
      return QuarantineVerdict::Probe { number: taken + 1 };
    }
    // While the trial may still be running, its end is worth waiting for.
    let is_in_flight = now_ms < since_ms + PROBE_WAIT_MS;
    QuarantineVerdict::Quarantined {
      retry_after_ms: if is_in_flight { PROBE_WAIT_MS } else { left_ms },
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

/// The requests that have ended endpoints, by what this box and others saw.
///
/// ```
/// use rillford::gateway::{
///   EndpointIncarnation, Fingerprint, QuarantineRegistry, QuarantineKey, QuarantineMark, QuarantineVerdict, RequestIdentity,
/// };
/// let fingerprint = Fingerprint::of(RequestIdentity {
///   body: b"prompt", host: "lectures.example", method: "POST", organisation: None, path: "/a/1",
/// });
/// let mut book = QuarantineRegistry::default();
/// for born_ms in [1, 2, 3] {
///   assert_eq!(book.verdict(fingerprint, 0), QuarantineVerdict::Allowed);
///   let mark = QuarantineMark::Crashed(EndpointIncarnation::of("e-1", Some(born_ms)));
///   book.record(QuarantineKey { fingerprint, mark }, 0);
/// }
/// assert_eq!(book.verdict(fingerprint, 0), QuarantineVerdict::Probe { number: 1 });
/// book.clear(fingerprint);
/// assert_eq!(book.verdict(fingerprint, 0), QuarantineVerdict::Allowed);
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuarantineRegistry {
  cases: HashMap<Fingerprint, Case>,
}

impl QuarantineRegistry {
  /// Takes over something that this box saw or heard of, and since when it stands; whether it is new to it.
  pub fn record(&mut self, key: QuarantineKey, since_ms: u64) -> bool {
    if !self.cases.contains_key(&key.fingerprint) && self.cases.len() >= MAX_REQUESTS {
      self.evict_least_crashed();
    }
    let case = self.cases.entry(key.fingerprint).or_default();
    let before = match key.mark {
      QuarantineMark::Crashed(life) => case.crashed.insert(life, since_ms),
      QuarantineMark::Probe(number) => case.probes.insert(number, since_ms),
    };
    before.is_none()
  }

  /// Forgets something that no longer holds.
  pub fn remove(&mut self, key: QuarantineKey) {
    let Some(case) = self.cases.get_mut(&key.fingerprint) else {
      return;
    };
    match key.mark {
      QuarantineMark::Crashed(life) => case.crashed.remove(&life),
      QuarantineMark::Probe(number) => case.probes.remove(&number),
    };
    if case.crashed.is_empty() && case.probes.is_empty() {
      self.cases.remove(&key.fingerprint);
    }
  }

  /// Forgets a request that came back whole; what was known of it.
  pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineKey> {
    let case = self.cases.remove(&fingerprint);
    case.map_or_else(Vec::new, |case| case.keys(fingerprint))
  }

  /// Forgets what nobody has asked for in a long time; what was known of it.
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

  /// Since when a life of an endpoint is known to have ended with a request.
  pub fn crashed_since_ms(
    &self,
    fingerprint: Fingerprint,
    life: EndpointIncarnation,
  ) -> Option<u64> {
    self.cases.get(&fingerprint)?.crashed.get(&life).copied()
  }

  /// How many lives of endpoints have ended with a request, and how many trials it had.
  pub fn counts(&self, fingerprint: Fingerprint) -> (usize, usize) {
    let case = self.cases.get(&fingerprint);
    case.map_or((0, 0), |case| (case.crashed.len(), case.probes.len()))
  }

  /// Whether one more end holds a request: before it is sent on, that end has to be known.
  pub fn is_near_quarantine(&self, fingerprint: Fingerprint) -> bool {
    self.counts(fingerprint).0 + 1 >= MAX_CRASHES
  }

  /// What has to be written anew to be kept, now that a request is asked for.
  pub fn marks_to_refresh(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<QuarantineKey> {
    match self.cases.get(&fingerprint) {
      Some(case) if case.is_quarantined() && now_ms >= case.newest_ms() + REFRESH_MS => {
        case.keys(fingerprint)
      }
      _ => Vec::new(),
    }
  }

  /// All that is known.
  pub fn keys(&self) -> Vec<QuarantineKey> {
    let cases = self.cases.iter();
    cases
      .flat_map(|(fingerprint, case)| case.keys(*fingerprint))
      .collect()
  }

  /// How many requests are kept.
  pub fn len(&self) -> usize {
    self.cases.len()
  }

  /// How many requests are held.
  pub fn quarantined(&self) -> usize {
    self
      .cases
      .values()
      .filter(|case| case.is_quarantined())
      .count()
  }

  /// Whether no request is kept: then no fingerprint needs to be worked out.
  pub fn is_empty(&self) -> bool {
    self.cases.is_empty()
  }

  /// Drops the request with the fewest ends, the oldest of them.
  fn evict_least_crashed(&mut self) {
    let least = self
      .cases
      .iter()
      .min_by_key(|(_, case)| (case.crashed.len(), case.newest_ms()))
      .map(|(fingerprint, _)| *fingerprint);
    if let Some(fingerprint) = least {
      self.cases.remove(&fingerprint);
    }
  }
}
