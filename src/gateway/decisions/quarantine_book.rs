//! Which requests have ended endpoints, and whether they may still be sent. Free of I/O.
//!
//! Load pattern: one body ends each engine that runs it, within a tenth of a second, and its caller comes again under another id,
//! at any box; an engine is back after seconds. Dozens of innocent requests run beside it, and share its engine's end. So no
//! single end says who was at fault. A request is held once it was there at the end of three lives of endpoints and has not come to
//! an end of its own since: an innocent one has to meet three ends in a row for that. Held means one run at a time, over
//! all boxes: a trial. One that comes back whole clears the request, so that an innocent one is held for as long as one run
//! takes. One that ends a further endpoint leads to the next trial, much later; after the last, nothing is sent until nobody has asked
//! for it for [`KEPT_MS`].
//!
//! Limits: three ends are what the users allow before it is a fault. They allow three more after that; two trials leave one for a
//! run that began before its box had heard of the third end.

use {
  super::{
    endpoint_life::EndpointLife,
    fingerprint::Fingerprint,
    quarantine_key::{QuarantineKey, QuarantineMark},
  },
  std::collections::{BTreeMap, HashMap},
};

/// Lives of endpoints that end with a request before it is held.
const MOST_ENDS: usize = 3;
/// Pauses before the trials. The first comes at once: it frees the innocent, whose endpoints went for another reason. The second
/// comes after the endpoints that the request ended are back and have served others for some seconds.
const TRIAL_PAUSES_MS: [u64; 2] = [0, 15_000];
/// How long something is kept that nobody asks for.
const KEPT_MS: u64 = 600_000;
/// A mark this old is written anew when its request is asked for.
const REFRESH_MS: u64 = KEPT_MS / 2;
/// Callers of a request that is being tried come back after this: most answers are whole within it.
const TRIAL_WAIT_MS: u64 = 1_000;
/// Requests that are kept: 1 MB. An engine with 128 seats that ends adds as many at the most.
const MOST_KEPT: usize = 4_096;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
  /// As any other.
  Free,
  /// Once, by the box that takes the trial with this number.
  Trial {
    /// From 1.
    number: u32,
  },
  /// Not now.
  Held {
    /// When it may be asked for again.
    retry_after_ms: u64,
  },
}

/// What is known of one request, each with the time since when it stands.
#[derive(Clone, Debug, Default)]
struct Case {
  ended: BTreeMap<EndpointLife, u64>,
  trials: BTreeMap<u32, u64>,
}

impl Case {
  fn is_held(&self) -> bool {
    self.ended.len() >= MOST_ENDS
  }

  fn newest_ms(&self) -> u64 {
    let times = self.ended.values().chain(self.trials.values());
    times.copied().max().unwrap_or(0)
  }

  fn verdict(&self, now_ms: u64) -> QuarantineVerdict {
    if !self.is_held() {
      return QuarantineVerdict::Free;
    }
    let latest = self.trials.last_key_value();
    let (taken, since_ms) = latest.map_or((0, 0), |(number, at_ms)| (*number, *at_ms));
    let Some(pause_ms) = TRIAL_PAUSES_MS.get(taken as usize) else {
      return QuarantineVerdict::Held {
        retry_after_ms: KEPT_MS,
      };
    };
    let left_ms = (since_ms + pause_ms).saturating_sub(now_ms);
    if left_ms == 0 {
      return QuarantineVerdict::Trial { number: taken + 1 };
    }
    // While the trial may still be running, its end is worth waiting for.
    let is_under_way = now_ms < since_ms + TRIAL_WAIT_MS;
    QuarantineVerdict::Held {
      retry_after_ms: if is_under_way { TRIAL_WAIT_MS } else { left_ms },
    }
  }

  fn keys(&self, fingerprint: Fingerprint) -> Vec<QuarantineKey> {
    let ended = self.ended.keys().copied().map(QuarantineMark::Ended);
    let trials = self.trials.keys().copied().map(QuarantineMark::Trial);
    ended
      .chain(trials)
      .map(|mark| QuarantineKey { fingerprint, mark })
      .collect()
  }
}

/// The requests that have ended endpoints, by what this box and others saw.
///
/// ```
/// use rillford::gateway::{
///   EndpointLife, Fingerprint, QuarantineBook, QuarantineKey, QuarantineMark, QuarantineVerdict, RequestIdentity,
/// };
/// let fingerprint = Fingerprint::of(RequestIdentity {
///   body: b"prompt", host: "lectures.example", method: "POST", organisation: None, path: "/a/1",
/// });
/// let mut book = QuarantineBook::default();
/// for started_ms in [1, 2, 3] {
///   assert_eq!(book.verdict(fingerprint, 0), QuarantineVerdict::Free);
///   let mark = QuarantineMark::Ended(EndpointLife::of("e-1", Some(started_ms)));
///   book.note(QuarantineKey { fingerprint, mark }, 0);
/// }
/// assert_eq!(book.verdict(fingerprint, 0), QuarantineVerdict::Trial { number: 1 });
/// book.clear(fingerprint);
/// assert_eq!(book.verdict(fingerprint, 0), QuarantineVerdict::Free);
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuarantineBook {
  cases: HashMap<Fingerprint, Case>,
}

impl QuarantineBook {
  /// Takes over something that this box saw or heard of, and since when it stands; whether it is new to it.
  pub fn note(&mut self, key: QuarantineKey, since_ms: u64) -> bool {
    if !self.cases.contains_key(&key.fingerprint) && self.cases.len() >= MOST_KEPT {
      self.drop_least();
    }
    let case = self.cases.entry(key.fingerprint).or_default();
    let before = match key.mark {
      QuarantineMark::Ended(life) => case.ended.insert(life, since_ms),
      QuarantineMark::Trial(number) => case.trials.insert(number, since_ms),
    };
    before.is_none()
  }

  /// Forgets something that no longer holds.
  pub fn forget(&mut self, key: QuarantineKey) {
    let Some(case) = self.cases.get_mut(&key.fingerprint) else {
      return;
    };
    match key.mark {
      QuarantineMark::Ended(life) => case.ended.remove(&life),
      QuarantineMark::Trial(number) => case.trials.remove(&number),
    };
    if case.ended.is_empty() && case.trials.is_empty() {
      self.cases.remove(&key.fingerprint);
    }
  }

  /// Forgets a request that came back whole; what was known of it.
  pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<QuarantineKey> {
    let case = self.cases.remove(&fingerprint);
    case.map_or_else(Vec::new, |case| case.keys(fingerprint))
  }

  /// Forgets what nobody has asked for in a long time; what was known of it.
  pub fn forget_old(&mut self, now_ms: u64) -> Vec<QuarantineKey> {
    let is_old = |case: &Case| now_ms >= case.newest_ms() + KEPT_MS;
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
      None => QuarantineVerdict::Free,
    }
  }

  /// Since when a life of an endpoint is known to have ended with a request.
  pub fn ended_since_ms(&self, fingerprint: Fingerprint, life: EndpointLife) -> Option<u64> {
    self.cases.get(&fingerprint)?.ended.get(&life).copied()
  }

  /// How many lives of endpoints have ended with a request, and how many trials it had.
  pub fn counts(&self, fingerprint: Fingerprint) -> (usize, usize) {
    let case = self.cases.get(&fingerprint);
    case.map_or((0, 0), |case| (case.ended.len(), case.trials.len()))
  }

  /// Whether one more end holds a request: before it is sent on, that end has to be known.
  pub fn is_near(&self, fingerprint: Fingerprint) -> bool {
    self.counts(fingerprint).0 + 1 >= MOST_ENDS
  }

  /// What has to be written anew to be kept, now that a request is asked for.
  pub fn due(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<QuarantineKey> {
    match self.cases.get(&fingerprint) {
      Some(case) if case.is_held() && now_ms >= case.newest_ms() + REFRESH_MS => {
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
  pub fn held(&self) -> usize {
    self.cases.values().filter(|case| case.is_held()).count()
  }

  /// Whether no request is kept: then no fingerprint needs to be worked out.
  pub fn is_empty(&self) -> bool {
    self.cases.is_empty()
  }

  /// Drops the request with the fewest ends, the oldest of them.
  fn drop_least(&mut self) {
    let least = self
      .cases
      .iter()
      .min_by_key(|(_, case)| (case.ended.len(), case.newest_ms()))
      .map(|(fingerprint, _)| *fingerprint);
    if let Some(fingerprint) = least {
      self.cases.remove(&fingerprint);
    }
  }
}
